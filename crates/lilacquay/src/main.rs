//! Entry point of a cache-proxy node and of the tools to run and control it; `cli` defines the commands.

mod admin;
mod appliance;
mod check;
mod cli;
mod config;
mod config_error;
mod control;
mod etcd;
mod final_answers;
mod fleet;
mod handover;
mod lifecycle;
mod load;
mod logging;
mod members;
mod memcached;
mod node;
mod options;
mod quota;
mod replica;
mod replicated_state;
mod script;
mod section;
mod siblings;
mod supervisor;

use std::fmt::Display;
use std::io::{self, Write};
use std::path::Path;
use std::process::ExitCode;

use clap::Parser;
use cli::{ApplianceArgs, ApplianceCommand, Cli, Command, ConsoleArgs};
use config::{Config, ConfigError, ConfigSource};
use lilacquay_control::ControlRequest;
use lilacquay_core::stall;
use node::Failure;
use supervisor::Backoff;
use tokio::runtime::Runtime;
use tokio::time::{Instant, sleep};
use tracing::error;

fn main() -> ExitCode {
    match Cli::parse().command {
        None => serve(ConfigSource::Platform),
        Some(Command::Serve { config }) => serve(ConfigSource::Options(config)),
        Some(Command::Check { file }) => check::run(&file),
        Some(Command::Fleet(args)) => exit_code(fleet::run(args)),
        Some(Command::Load(args)) => load::run(args),
        Some(Command::Members(args)) => exit_code(members::run(args)),
        Some(Command::Appliance(args)) => run_appliance(args),
        Some(Command::Status(args)) => control::status(&args),
        Some(Command::Console(args)) => run_console(args),
        Some(Command::Events(args)) => control::events(&args),
        Some(Command::Reload(args)) => control::node_command(&args, ControlRequest::Reload),
        Some(Command::Level(args)) => control::level(args),
        Some(Command::Leave(args)) => control::node_command(&args, ControlRequest::Leave),
        Some(Command::Join(args)) => control::node_command(&args, ControlRequest::Join),
        Some(Command::Stop(args)) => control::node_command(&args, ControlRequest::Stop),
        Some(Command::Diagnose(args)) => control::node_command(&args, ControlRequest::Diagnose),
        Some(Command::Siblings(args)) => control::siblings(&args),
        Some(Command::Replica(args)) => control::replica(&args),
        Some(Command::Orders(args)) => control::orders(&args),
        Some(Command::Drain(args)) => control::drain(args),
        Some(Command::Undrain(args)) => control::undrain(args),
    }
}

/// Runs a node until it is stopped.
fn serve(source: ConfigSource) -> ExitCode {
    let config = match Config::read(&source) {
        Ok(config) => config,
        Err(error) => return report_failure(error),
    };
    let logging = match logging::start(&config.log) {
        Ok(logging) => logging,
        Err(error) => return report_failure(format_args!("the log cannot be written: {error}; fix [log]")),
    };
    exit_code(build_runtime().and_then(|runtime| runtime.block_on(node::run(config, source, &logging))))
}

/// Runs a node as an appliance. If its core fails, the node is started again after a backoff, and the configuration
/// is read again.
fn run_appliance(args: ApplianceArgs) -> ExitCode {
    let file = match args {
        ApplianceArgs { command: Some(ApplianceCommand::Init { file }), .. } => return init_appliance(&file),
        ApplianceArgs { config: Some(file), .. } => file,
        ApplianceArgs { .. } => {
            return report_failure("name the appliance's file, as in `lilacquay appliance --config FILE`");
        }
    };
    let source = ConfigSource::Appliance(file.clone());
    let config = match Config::read(&source) {
        Ok(config) => config,
        Err(ConfigError::Invalid(_, issues)) => {
            eprint!("{}", appliance::startup_failure_screen(&file, &issues));
            return ExitCode::FAILURE;
        }
        Err(error) => return report_failure(error),
    };
    let logging = match logging::start(&config.log) {
        Ok(logging) => logging,
        Err(error) => {
            return report_failure(format_args!("the log cannot be written: {error}; fix `state` or [log]"));
        }
    };
    let run_node = |config: Config| {
        println!(
            "serving on {} with {} servers; the log is in the state folder",
            config.listen,
            config.initial_list.list.servers.len()
        );
        node::run(config, source.clone(), &logging)
    };
    let runtime = match build_runtime() {
        Ok(runtime) => runtime,
        Err(error) => return report_failure(error),
    };
    exit_code(runtime.block_on(async {
        let (mut next_config, mut backoff) = (Some(config), Backoff::default());
        loop {
            let start = Instant::now();
            let result = match next_config.take().map_or_else(|| Config::read(&source), Ok) {
                Ok(config) => run_node(config).await,
                Err(error) => Err(Failure::Core(error.to_string())),
            };
            match result {
                Err(Failure::Core(cause)) => {
                    let pause = backoff.delay_after_failure(start.elapsed());
                    error!(
                        pause_ms = pause.as_millis() as u64,
                        "the node has failed and is started again: {cause}"
                    );
                    sleep(pause).await;
                }
                result => return result,
            }
        }
    }))
}

fn run_console(args: ConsoleArgs) -> ExitCode {
    let ConsoleArgs { state, bytes_per_second, no_colour } = args;
    let no_color_requested = std::env::var_os("NO_COLOR").is_some_and(|value| !value.is_empty());
    let options =
        lilacquay_console::Options { state, bytes_per_second, colours: !no_colour && !no_color_requested };
    exit_code(lilacquay_console::run(&options))
}

/// Writes the documented example file of an appliance.
fn init_appliance(file: &Path) -> ExitCode {
    match appliance::init(file) {
        Ok(()) => {
            let file = file.display();
            println!("{file} is written: name the boxes and the origin in it, then run");
            println!("  lilacquay check {file}\n  lilacquay appliance --config {file}");
            ExitCode::SUCCESS
        }
        Err(error) => report_failure(error),
    }
}

fn build_runtime() -> Result<Runtime, Failure> {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_all().on_thread_unpark(stall::record_wakeup);
    builder.build().map_err(Failure::Start)
}

/// The exit code of a command; its error is printed.
fn exit_code(result: Result<(), impl Display>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report_failure(error),
    }
}

fn report_failure(error: impl Display) -> ExitCode {
    // `eprintln!` would panic if the terminal is gone.
    let _ = writeln!(io::stderr(), "lilacquay: {error}");
    ExitCode::FAILURE
}
