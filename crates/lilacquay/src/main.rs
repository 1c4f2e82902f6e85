//! One cache-proxy node: reads its configuration, serves until it is told to stop.

mod config;
mod node;

use std::fmt::Display;
use std::process::ExitCode;

use config::Config;

fn main() -> ExitCode {
    let config = match Config::from_env() {
        Ok(config) => config,
        Err(error) => return failed(error),
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return failed(error),
    };
    match runtime.block_on(node::run(config)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => failed(error),
    }
}

fn failed(error: impl Display) -> ExitCode {
    eprintln!("lilacquay: {error}");
    ExitCode::FAILURE
}
