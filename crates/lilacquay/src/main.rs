//! One cache-proxy node, and the tools beside it: see `cli`.

mod admin;
mod appliance;
mod check;
mod cli;
mod config;
mod config_error;
mod control;
mod etcd;
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
use cli::{ApplianceArgs, ApplianceOrder, Cli, Command, ConsoleArgs};
use config::{Config, ConfigError, Source};
use lilacquay_control::Verb;
use lilacquay_core::stall;
use node::Failure;
use supervisor::Backoff;
use tokio::runtime::Runtime;
use tokio::time::{Instant, sleep};
use tracing::error;

fn main() -> ExitCode {
    match Cli::parse().command {
        None => serve(Source::Platform),
        Some(Command::Serve { config }) => serve(Source::Options(config)),
        Some(Command::Check { file }) => check::run(&file),
        Some(Command::Fleet(args)) => end(fleet::run(args)),
        Some(Command::Load(args)) => load::run(args),
        Some(Command::Members(args)) => end(members::run(args)),
        Some(Command::Appliance(args)) => appliance(args),
        Some(Command::Status(args)) => control::status(&args),
        Some(Command::Console(args)) => console(args),
        Some(Command::Events(args)) => control::events(&args),
        Some(Command::Reload(args)) => control::node_command(&args, Verb::Reload),
        Some(Command::Level(args)) => control::level(args),
        Some(Command::Leave(args)) => control::node_command(&args, Verb::Leave),
        Some(Command::Join(args)) => control::node_command(&args, Verb::Join),
        Some(Command::Stop(args)) => control::node_command(&args, Verb::Stop),
        Some(Command::Diagnose(args)) => control::node_command(&args, Verb::Diagnose),
        Some(Command::Siblings(args)) => control::siblings(&args),
        Some(Command::Replica(args)) => control::replica(&args),
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
    let logging = match logging::start(&config.log) {
        Ok(logging) => logging,
        Err(error) => return failed(format_args!("the log can't be written: {error}; mend [log]")),
    };
    end(runtime().and_then(|runtime| runtime.block_on(node::run(config, source, &logging))))
}

/// Serves as an appliance: a core that fails is started again, with the configuration as it is then.
fn appliance(args: ApplianceArgs) -> ExitCode {
    let file = match args {
        ApplianceArgs { order: Some(ApplianceOrder::Init { file }), .. } => return init(&file),
        ApplianceArgs { config: Some(file), .. } => file,
        ApplianceArgs { .. } => {
            return failed("name the appliance's file, as in `lilacquay appliance --config FILE`");
        }
    };
    let source = Source::Appliance(file.clone());
    let config = match Config::read(&source) {
        Ok(config) => config,
        Err(ConfigError::Mistakes(_, mistakes)) => {
            eprint!("{}", appliance::screen(&file, &mistakes));
            return ExitCode::FAILURE;
        }
        Err(error) => return failed(error),
    };
    let logging = match logging::start(&config.log) {
        Ok(logging) => logging,
        Err(error) => {
            return failed(format_args!("the log can't be written: {error}; mend `state` or [log]"));
        }
    };
    let started = |config: Config| {
        println!(
            "serving on {} with {} servers; the log is in the state folder",
            config.listen,
            config.known.list.servers.len()
        );
        node::run(config, source.clone(), &logging)
    };
    let runtime = match runtime() {
        Ok(runtime) => runtime,
        Err(error) => return failed(error),
    };
    end(runtime.block_on(async {
        let (mut next, mut backoff) = (Some(config), Backoff::default());
        loop {
            let start = Instant::now();
            let ended = match next.take().map_or_else(|| Config::read(&source), Ok) {
                Ok(config) => started(config).await,
                Err(error) => Err(Failure::Core(error.to_string())),
            };
            match ended {
                Err(Failure::Core(what)) => {
                    let pause = backoff.delay_after_failure(start.elapsed());
                    error!(
                        pause_ms = pause.as_millis() as u64,
                        "the node has failed and is started again: {what}"
                    );
                    sleep(pause).await;
                }
                ended => return ended,
            }
        }
    }))
}

fn console(args: ConsoleArgs) -> ExitCode {
    let ConsoleArgs { state, bytes_per_second, no_colour } = args;
    let unwanted = std::env::var_os("NO_COLOR").is_some_and(|value| !value.is_empty());
    let options = lilacquay_console::Options { state, bytes_per_second, colours: !no_colour && !unwanted };
    end(lilacquay_console::run(&options))
}

fn init(file: &Path) -> ExitCode {
    match appliance::init(file) {
        Ok(()) => {
            let file = file.display();
            println!("{file} is written: name the boxes and the origin in it, then");
            println!("  lilacquay check {file}\n  lilacquay appliance --config {file}");
            ExitCode::SUCCESS
        }
        Err(error) => failed(error),
    }
}

fn runtime() -> Result<Runtime, Failure> {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_all().on_thread_unpark(stall::record_wakeup);
    builder.build().map_err(Failure::Start)
}

fn end(result: Result<(), impl Display>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => failed(error),
    }
}

fn failed(error: impl Display) -> ExitCode {
    // Guards against: a panic where the terminal has gone.
    let _ = writeln!(io::stderr(), "lilacquay: {error}");
    ExitCode::FAILURE
}
