//! Runs the bench's wire protocol on standard input and output.

use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    let input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let output = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    match paddlefold::wire::run(input, output, io::stderr()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("paddlefold-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
