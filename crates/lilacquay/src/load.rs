//! `lilacquay load`: sends an open-loop load to a node and reports the outcomes and latencies.

use std::io::{self, IsTerminal, Write};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use lilacquay_fleet::Clock;
use lilacquay_fleet::cache::CacheProtocol;
use lilacquay_fleet::clients::{self, ClassReport, Load, Progress, Report};
use tokio::time::{MissedTickBehavior, interval};

use crate::cli::LoadArgs;

/// Interval between progress updates on a terminal.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);

/// Runs a load. The exit code is a success if no rule was broken and the node was always reached.
pub fn run(args: LoadArgs) -> ExitCode {
    let mut load = Load::standard(args.to, args.duration, args.seed);
    (load.rate, load.keys, load.skew) = (args.rate, args.keys, args.skew);
    if args.memcached {
        load.protocol = CacheProtocol::Memcached;
    }
    load.classes.iter_mut().zip(args.mix.0).for_each(|(class, share)| class.weight = share);
    let runtime = match tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("lilacquay: {error}");
            return ExitCode::FAILURE;
        }
    };
    let report = runtime.block_on(run_with_progress(load));
    let unreached: u64 = report.classes.iter().map(|class| class.unreached).sum();
    // A closed output pipe is not a failure of the load.
    let _ = print(&report, unreached);
    match report.broken() + unreached {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}

/// Runs the load, and prints the progress if standard error is a terminal.
async fn run_with_progress(load: Load) -> Report {
    let progress = Arc::<Progress>::default();
    let mut running = tokio::spawn(clients::run(load, Clock::default(), progress.clone()));
    let (mut updates, is_terminal) = (interval(PROGRESS_INTERVAL), io::stderr().is_terminal());
    updates.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        tokio::select! {
            report = &mut running => {
                if is_terminal {
                    eprint!("\r\x1b[K");
                }
                return report.expect("the load does not panic");
            }
            _ = updates.tick(), if is_terminal => {
                let Progress { started: asked, served, rejected: turned_away, broken } = &*progress;
                let counts = [asked, served, turned_away, broken].map(|count| count.load(Relaxed));
                let [asked, served, turned_away, broken] = counts;
                eprint!("\r\x1b[Kasked {asked}  served {served}  turned away {turned_away}  broken {broken}");
                let _ = io::stderr().flush();
            }
        }
    }
}

fn print(report: &Report, unreached: u64) -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(
        out,
        "class       served refused  failed  broken     p50     p99   p99.9     max  (ms, from when due)"
    )?;
    for class in &report.classes {
        print_class(&mut out, class)?;
    }
    writeln!(out, "answers without a request: {}", report.unsolicited_answers)?;
    if unreached > 0 {
        writeln!(out, "the node was not reached by {unreached} requests")?;
    }
    let max_lag_ms = report.max_send_lag_us as f64 / 1000.0;
    writeln!(out, "the load itself ran late by {max_lag_ms:.1} ms at most")
}

/// Prints one class of requests; latencies are in milliseconds.
fn print_class(out: &mut impl Write, class: &ClassReport) -> io::Result<()> {
    let ms = |quantile| class.served.value_at_quantile(quantile) as f64 / 1000.0;
    let ClassReport { name, served, refused, failed, broken, .. } = class;
    write!(out, "{name:<10} {:>7} {refused:>7} {failed:>7} {broken:>7}", served.len())?;
    let max = served.max() as f64 / 1000.0;
    writeln!(out, " {:>7.1} {:>7.1} {:>7.1} {max:>7.1}", ms(0.5), ms(0.99), ms(0.999))
}
