//! `orders`, `drain` and `undrain`: what operators say to a running node.

use std::process::ExitCode;

use lilacquay_control::{Answer, Client, ClientError, Standing, Verb};

use crate::cli::{ControlArgs, DrainArgs, UndrainArgs};

/// The node did not obey; nothing has changed.
const REFUSED: u8 = 3;
/// No node listens there.
const NO_NODE: u8 = 4;

pub fn orders(args: &ControlArgs) -> ExitCode {
    ask(args, Verb::Orders)
}

pub fn drain(args: DrainArgs) -> ExitCode {
    let DrainArgs { server, control, time, lasting, force, seen } = args;
    let seconds = time.map(|time| time.as_secs_f64().ceil() as u64);
    ask(&control, Verb::Drain { server, seconds, lasting, force, seen })
}

pub fn undrain(args: UndrainArgs) -> ExitCode {
    let UndrainArgs { server, control, seen } = args;
    ask(&control, Verb::Undrain { server, seen })
}

fn ask(args: &ControlArgs, verb: Verb) -> ExitCode {
    let answer = Client::connect(&args.state).and_then(|mut client| client.ask(verb));
    let answer = match answer {
        Ok(answer) => answer,
        Err(error) => {
            eprintln!("lilacquay: {error}");
            let none = matches!(error, ClientError::NoNode(_));
            return if none { ExitCode::from(NO_NODE) } else { ExitCode::FAILURE };
        }
    };
    if args.json {
        println!("{}", serde_json::to_string(&answer).unwrap_or_default());
    } else {
        print(&answer);
    }
    if matches!(answer, Answer::Refused { .. }) { ExitCode::from(REFUSED) } else { ExitCode::SUCCESS }
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
        Answer::Refused { why } => eprintln!("lilacquay: refused: {why}"),
        Answer::Error { what, .. } => eprintln!("lilacquay: {what}"),
    }
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
