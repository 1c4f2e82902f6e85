//! `status`, `orders`, `drain` and `undrain`: what operators say to a running node.

use std::process::ExitCode;
use std::thread::sleep;
use std::time::{Duration, Instant, UNIX_EPOCH};

use lilacquay_control::{Answer, Client, ClientError, Sight, Standing, Verb};
use lilacquay_observe::{BoxNow, Event, Snapshot};

use crate::cli::{ControlArgs, DrainArgs, EventsArgs, LevelArgs, ReplicaArgs, ReplicaOrder, UndrainArgs};
use crate::replica;

/// The node did not obey; nothing has changed.
const REFUSED: u8 = 3;
/// No node listens there.
const NO_NODE: u8 = 4;
/// How long a drain is followed, and how often it is looked at.
const LONGEST_DRAIN: Duration = Duration::from_secs(60);
const STEP: Duration = Duration::from_millis(100);
/// A node that answers nothing for so long is held to be stuck.
const PATIENCE: Duration = Duration::from_secs(5);

pub fn status(args: &ControlArgs) -> ExitCode {
    code(ask(args, Verb::Look))
}

/// Gives an order on the node itself.
pub fn node_command(args: &ControlArgs, verb: Verb) -> ExitCode {
    code(ask(args, verb))
}

pub fn level(args: LevelArgs) -> ExitCode {
    code(ask(&args.control, Verb::Level { level: args.level, everywhere: args.everywhere }))
}

/// Shows events; with `--follow` until it is ended, or the node is.
pub fn events(args: &EventsArgs) -> ExitCode {
    let EventsArgs { control, follow, after, search } = args;
    let search = search.as_ref().map(|words| words.to_lowercase());
    let shown = || {
        let verb = Verb::Events { after: *after, follow: *follow };
        let mut stream =
            connect(control)?.stream(verb, if *follow { None } else { Some(PATIENCE) }).map_err(other)?;
        loop {
            let Answer::Events { told } = stream.next_answer().map_err(other)? else {
                return Err(Failure::Other("the node told no events".into()));
            };
            if told.missed > 0 && !control.json {
                eprintln!("lilacquay: {} events before these are no longer kept", told.missed);
            }
            let wanted = |event: &&Event| {
                search.as_ref().is_none_or(|words| event.text.to_lowercase().contains(words))
            };
            for event in told.events.iter().filter(wanted) {
                match control.json {
                    true => println!("{}", serde_json::to_string(event).unwrap_or_default()),
                    false => println!(
                        "{:6} {} {:5} {}",
                        event.number,
                        clock(event.at_ms),
                        event.level,
                        event.text.escape_debug()
                    ),
                }
            }
            if !follow {
                return Ok(());
            }
        }
    };
    code(shown())
}

fn clock(at_ms: u64) -> String {
    let at = UNIX_EPOCH + Duration::from_millis(at_ms);
    humantime::format_rfc3339_seconds(at).to_string()
}

pub fn orders(args: &ControlArgs) -> ExitCode {
    code(ask(args, Verb::Orders))
}

pub fn siblings(args: &ControlArgs) -> ExitCode {
    code(ask(args, Verb::Siblings))
}

/// Shows a node's copy of what all hold in common, or compares two.
pub fn replica(args: &ReplicaArgs) -> ExitCode {
    match (&args.order, &args.state) {
        (Some(ReplicaOrder::Diff { one, other }), _) => replica::diff(one, other),
        (None, Some(state)) => {
            code(ask(&ControlArgs { state: state.clone(), json: args.json }, Verb::Replica))
        }
        (None, None) => ExitCode::FAILURE, // the command line asks for it
    }
}

pub fn undrain(args: UndrainArgs) -> ExitCode {
    let UndrainArgs { server, control, seen, wait_for } = args;
    code(ask(&control, Verb::Undrain { server, seen, wait_for }))
}

pub fn drain(args: DrainArgs) -> ExitCode {
    let DrainArgs { server, control, time, lasting, force, wait, seen, wait_for } = args;
    let seconds = time.map(|time| time.as_secs_f64().ceil() as u64);
    let verb = Verb::Drain { server: server.clone(), seconds, lasting, force, seen, wait_for };
    let obeyed = ask(&control, verb);
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
    connect(args)?.ask(verb).map_err(other)
}

fn connect(args: &ControlArgs) -> Result<Client, Failure> {
    Client::connect(&args.state).map_err(other)
}

fn other(error: ClientError) -> Failure {
    match error {
        ClientError::NoNode(_) => Failure::NoNode(error.to_string()),
        other => Failure::Other(other.to_string()),
    }
}

/// Asks, and prints the answer.
fn ask(args: &ControlArgs, verb: Verb) -> Result<(), Failure> {
    let wanted = verb.wait_for();
    let answer = answer(args, verb)?;
    if args.json {
        println!("{}", serde_json::to_string(&answer).unwrap_or_default());
    }
    match &answer {
        Answer::Refused { why } => return Err(Failure::Refused(why.clone())),
        _ if args.json => {}
        other => print(other),
    }
    match (wanted, &answer) {
        (Some(wanted), Answer::Obeyed { held, .. }) if held.is_none_or(|held| held.nodes < wanted) => {
            let held =
                held.map_or("this node alone holds it".into(), |held| format!("{} hold it", held.nodes));
            Err(Failure::Other(format!(
                "it is obeyed, but not yet by {wanted} nodes: {held}; look at `replica`"
            )))
        }
        _ => Ok(()),
    }
}

fn print(answer: &Answer) {
    match answer {
        Answer::Orders { orders } if orders.is_empty() => println!("no orders hold"),
        Answer::Orders { orders } => orders.iter().for_each(|order| println!("{}", words(order))),
        Answer::Obeyed { number, replaced, unrecorded, held } => {
            println!("obeyed as order {number}");
            if let Some(held) = held {
                println!("held by {} of {} nodes after {} ms", held.nodes, held.of, held.after_ms);
                if held.conflict {
                    println!("another order that had not seen this one contradicts it: look at `replica`");
                }
            }
            if let Some(replaced) = replaced {
                println!("in place of: {}", words(replaced));
            }
            if let Some(why) = unrecorded {
                eprintln!(
                    "lilacquay: the order holds but is not recorded: {why}; make room in the state folder"
                );
            }
        }
        Answer::Snapshot { snapshot } => overview(snapshot),
        Answer::Siblings { sight } => fellows(sight),
        Answer::Replica { copy } => replica::print(copy),
        Answer::Done { what, unrecorded } => {
            println!("{}", what.escape_debug());
            if let Some(why) = unrecorded {
                eprintln!("lilacquay: it is done but not recorded: {why}; make room in the state folder");
            }
        }
        Answer::Servers { .. } | Answer::Events { .. } => {} // asked for elsewhere
        Answer::Refused { .. } | Answer::Error { .. } => {}  // told as failures
    }
}

fn overview(now: &Snapshot) {
    println!("version {}, up since {}", now.version.escape_debug(), clock(now.started_ms));
    println!(
        "{} requests open, {} connections to servers, {} of {} descriptors, {} KiB",
        now.open, now.connections, now.descriptors, now.descriptor_limit, now.memory_kb
    );
    let counted = now.since_start;
    println!(
        "{} served, {} refused, {} failed since then, by {} attempts",
        counted.served, counted.busy, counted.failed, now.tries
    );
    let failures = if now.list.failures > 0 {
        format!(", {} calls failed since", now.list.failures)
    } else {
        String::new()
    };
    if let Some(siblings) = now.siblings {
        println!(
            "siblings: {} here, {} gone, {} unknown; this node may use {:.3} of its part",
            siblings.here, siblings.gone, siblings.unknown, siblings.part
        );
    }
    if let Some(common) = now.common {
        println!(
            "in common: {}, {} records, {} orders contradict, {} servers left out on others' word",
            if common.behind { "BEHIND" } else { "level" },
            common.records,
            common.conflicts,
            common.left_out
        );
    }
    println!("list from {}, told {:.0} s ago{failures}", now.list.source.escape_debug(), now.list.told_s);
    println!("{:24} {:8} {:10} {:>5} {:>5}  state", "server", "zone", "kind", "out", "idle");
    now.boxes.iter().for_each(row);
}

fn fellows(sight: &Sight) {
    let yes = |yes: bool, word: &'static str, no: &'static str| if yes { word } else { no };
    println!(
        "node {} of {} in {:?}, incarnation {}, view {}: {}{}",
        sight.me,
        sight.nodes,
        sight.site,
        sight.incarnation,
        sight.epoch.escape_debug(),
        yes(sight.confirmed, "confirmed", "NOT CONFIRMED, it uses nothing shared"),
        yes(sight.superseded, "; ANOTHER PROCESS HAS ITS NAME", "")
    );
    println!(
        "{} here, {} gone, {} unknown; it may use {:.3} of its part; {} pauses of its own, doubt {} of 8",
        sight.here, sight.gone, sight.unknown, sight.part, sight.pauses, sight.doubt
    );
    println!(
        "{} datagrams sent with {} bytes, {} read, {} could not be read, {} of strangers, {} from nobody's address",
        sight.sent, sight.sent_bytes, sight.read, sight.unread, sight.strangers, sight.unlisted
    );
    println!("{:>5} {:21} {:8} {:>8} {:>8}  ways     evidence", "node", "address", "state", "for", "heard");
    for fellow in &sight.fellows {
        let (in_, out) = (fellow.we_hear, fellow.hears_us);
        let arrow = |open: Option<bool>, drawn: &'static str| match open {
            Some(true) => drawn,
            Some(false) => "cut",
            None => "-",
        };
        let heard = fellow.heard_s.map_or("-".to_owned(), |ago| format!("{ago:.1} s"));
        let suspected = if fellow.suspected { " (suspected)" } else { "" };
        println!(
            "{:>5} {:21} {:8} {:>6.0} s {heard:>8}  {:3} {:3}  {}{suspected}",
            fellow.node,
            fellow.address.escape_debug().to_string(),
            fellow.state.escape_debug().to_string(),
            fellow.since_s,
            arrow(in_, "in"),
            arrow(out, "out"),
            fellow.why.escape_debug()
        );
    }
    for way in sight.ways.iter().filter(|way| !way.open) {
        println!("node {} doesn't hear node {}", way.to, way.from);
    }
}

fn row(server: &BoxNow) {
    let plain = |text: &str| text.escape_debug().to_string();
    let (name, zone, kind) = (plain(&server.name), plain(&server.zone), plain(&server.kind));
    let order = server.order.as_ref().map(|order| format!(" (order {})", order.number)).unwrap_or_default();
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
