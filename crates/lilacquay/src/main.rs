//! One cache-proxy node, and the tools beside it: see `cli`.

mod check;
mod cli;
mod config;
mod control;
mod etcd;
mod fleet;
mod load;
mod members;
mod memcached;
mod node;
mod options;
mod quota;
mod script;
mod section;

use std::fmt::Display;
use std::process::ExitCode;

use clap::Parser;
use cli::{Cli, Command};
use config::{Config, Source};

fn main() -> ExitCode {
    match Cli::parse().command {
        None => serve(Source::Platform),
        Some(Command::Serve { config }) => serve(Source::Options(config)),
        Some(Command::Check { file }) => check::run(&file),
        Some(Command::Fleet(args)) => end(fleet::run(args)),
        Some(Command::Load(args)) => load::run(args),
        Some(Command::Members(args)) => end(members::run(args)),
        Some(Command::Status(args)) => control::status(&args),
        Some(Command::Orders(args)) => control::orders(&args),
        Some(Command::Drain(args)) => control::drain(args),
        Some(Command::Undrain(args)) => control::undrain(args),
    }
}

/// Serves until it is told to stop.
fn serve(source: Source) -> ExitCode {
    let config = match Config::read(&source) {
        Ok(config) => config,
        Err(error) => return failed(error),
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return failed(error),
    };
    end(runtime.block_on(node::run(config, source)))
}

fn end(result: Result<(), impl Display>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => failed(error),
    }
}

fn failed(error: impl Display) -> ExitCode {
    eprintln!("lilacquay: {error}");
    ExitCode::FAILURE
}
