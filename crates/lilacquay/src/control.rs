//! `status`, `orders`, `drain` and `undrain`: what operators say to a running node.

use std::process::ExitCode;
use std::thread::sleep;
use std::time::{Duration, Instant};

use lilacquay_control::{Answer, Client, ClientError, Server, Standing, Verb};

use crate::cli::{ControlArgs, DrainArgs, UndrainArgs};

/// The node did not obey; nothing has changed.
const REFUSED: u8 = 3;
/// No node listens there.
const NO_NODE: u8 = 4;
/// How long a drain is followed, and how often it is looked at.
const LONGEST_DRAIN: Duration = Duration::from_secs(60);
const STEP: Duration = Duration::from_millis(100);

pub fn status(args: &ControlArgs) -> ExitCode {
    code(ask(args, Verb::Servers))
}

pub fn orders(args: &ControlArgs) -> ExitCode {
    code(ask(args, Verb::Orders))
}

pub fn undrain(args: UndrainArgs) -> ExitCode {
    let UndrainArgs { server, control, seen } = args;
    code(ask(&control, Verb::Undrain { server, seen }))
}

pub fn drain(args: DrainArgs) -> ExitCode {
    let DrainArgs { server, control, time, lasting, force, wait, seen } = args;
    let seconds = time.map(|time| time.as_secs_f64().ceil() as u64);
    let obeyed = ask(&control, Verb::Drain { server: server.clone(), seconds, lasting, force, seen });
    match obeyed {
        Ok(()) if wait => code(until_free(&control, &server)),
        other => code(other),
    }
}

/// Follows a drain to its end.
fn until_free(args: &ControlArgs, name: &str) -> Result<(), Failure> {
    let (until, mut last) = (Instant::now() + LONGEST_DRAIN, None);
    loop {
        let Answer::Servers { servers } = answer(args, Verb::Servers)? else {
            return Err(Failure::Other("the node told no servers".into()));
        };
        // One that has left the list holds nothing of ours that it could still finish for the list's sake.
        let out = servers.iter().find(|server| server.server == name).map_or(0, |server| server.out);
        if last.replace(out) != Some(out) {
            eprintln!("{}: {out} requests are out there yet", name.escape_debug());
        }
        if out == 0 {
            return Ok(());
        }
        if Instant::now() >= until {
            return Err(Failure::Other(format!("{out} requests are still out there; the order holds")));
        }
        sleep(STEP);
    }
}

/// Why a command has failed.
enum Failure {
    NoNode(String),
    Refused(String),
    Other(String),
}

fn code(done: Result<(), Failure>) -> ExitCode {
    let (code, what) = match done {
        Ok(()) => return ExitCode::SUCCESS,
        Err(Failure::Refused(why)) => (ExitCode::from(REFUSED), format!("refused: {why}")),
        Err(Failure::NoNode(what)) => (ExitCode::from(NO_NODE), what),
        Err(Failure::Other(what)) => (ExitCode::FAILURE, what),
    };
    eprintln!("lilacquay: {what}");
    code
}

fn answer(args: &ControlArgs, verb: Verb) -> Result<Answer, Failure> {
    Client::connect(&args.state).and_then(|mut client| client.ask(verb)).map_err(|error| match error {
        ClientError::NoNode(_) => Failure::NoNode(error.to_string()),
        other => Failure::Other(other.to_string()),
    })
}

/// Asks, and prints the answer.
fn ask(args: &ControlArgs, verb: Verb) -> Result<(), Failure> {
    let answer = answer(args, verb)?;
    if args.json {
        println!("{}", serde_json::to_string(&answer).unwrap_or_default());
    }
    match answer {
        Answer::Refused { why } => return Err(Failure::Refused(why)),
        _ if args.json => {}
        other => print(&other),
    }
    Ok(())
}

fn print(answer: &Answer) {
    match answer {
        Answer::Orders { orders } if orders.is_empty() => println!("no orders hold"),
        Answer::Orders { orders } => orders.iter().for_each(|order| println!("{}", words(order))),
        Answer::Obeyed { number, replaced, unrecorded } => {
            println!("obeyed as order {number}");
            if let Some(replaced) = replaced {
                println!("in place of: {}", words(replaced));
            }
            if let Some(why) = unrecorded {
                eprintln!(
                    "lilacquay: the order holds but is not recorded: {why}; make room in the state folder"
                );
            }
        }
        Answer::Servers { servers } => {
            println!("{:24} {:8} {:10} {:>5} {:>5}  state", "server", "zone", "kind", "out", "idle");
            servers.iter().for_each(row);
        }
        Answer::Refused { .. } | Answer::Error { .. } => {} // told as failures
    }
}

fn row(server: &Server) {
    let plain = |text: &str| text.escape_debug().to_string();
    let (name, zone, kind) = (plain(&server.server), plain(&server.zone), plain(&server.kind));
    let order = server.order.map(|number| format!(" (order {number})")).unwrap_or_default();
    let state = match (server.serves, server.listed) {
        (true, _) => "serves",
        (false, true) => "out of service",
        (false, false) => "drains by the list",
    };
    println!("{name:24} {zone:8} {kind:10} {:>5} {:>5}  {state}{order}", server.out, server.idle);
}

/// A server's name comes from the list and may hold anything: none of it reaches the terminal as a command.
fn words(order: &Standing) -> String {
    let server = order.server.escape_debug();
    let until = match order.seconds_left {
        None => "until it is lifted".to_owned(),
        Some(left) => format!("for {left:.0} s yet"),
    };
    let lasting = if order.lasting { ", over a restart" } else { "" };
    format!("{server}: out of service {until}{lasting} (order {})", order.number)
}
