//! The commands that operators give a running node through its control socket (`status`, `events`, `orders`, `siblings`,
//! `replica`, `drain`, `undrain`, `level`, `reload` and others), and the text that they print.

use std::process::ExitCode;
use std::thread::sleep;
use std::time::{Duration, Instant, UNIX_EPOCH};

use lilacquay_control::{Answer, Client, ClientError, ControlRequest, OrderReport, SiblingsReport};
use lilacquay_observe::{BoxStatus, Event, Snapshot};

use crate::cli::{ControlArgs, DrainArgs, EventsArgs, LevelArgs, ReplicaArgs, ReplicaCommand, UndrainArgs};
use crate::replica;

/// Exit code if the node refused the order; nothing has changed then.
const EXIT_REFUSED: u8 = 3;
/// Exit code if no node listens at the state folder.
const EXIT_NO_NODE: u8 = 4;
/// How long `drain --wait` waits for the requests in progress to end.
const DRAIN_WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which `drain --wait` asks for the requests in progress.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// A node that does not answer within this time is taken to be stuck.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Prints the status of the node.
pub fn status(args: &ControlArgs) -> ExitCode {
    exit_code(ask(args, ControlRequest::Snapshot))
}

/// Sends a command about the node itself.
pub fn node_command(args: &ControlArgs, verb: ControlRequest) -> ExitCode {
    exit_code(ask(args, verb))
}

/// Sets the log level, at this node or at all.
pub fn level(args: LevelArgs) -> ExitCode {
    exit_code(ask(&args.control, ControlRequest::Level { level: args.level, everywhere: args.everywhere }))
}

/// Prints events; with `--follow` until this process or the node ends.
pub fn events(args: &EventsArgs) -> ExitCode {
    let EventsArgs { control, follow, after, search } = args;
    let search = search.as_ref().map(|text| text.to_lowercase());
    let print_events = || {
        let verb = ControlRequest::Events { after: *after, follow: *follow };
        let mut stream = connect(control)?
            .stream(verb, if *follow { None } else { Some(ANSWER_TIMEOUT) })
            .map_err(client_failure)?;
        loop {
            let Answer::Events { batch } = stream.next_answer().map_err(client_failure)? else {
                return Err(Failure::Other("the node answered with something other than events".into()));
            };
            if batch.missed > 0 && !control.json {
                eprintln!("lilacquay: {} earlier events are no longer kept", batch.missed);
            }
            let matches_search = |event: &&Event| {
                search.as_ref().is_none_or(|search| event.text.to_lowercase().contains(search))
            };
            for event in batch.events.iter().filter(matches_search) {
                match control.json {
                    true => println!("{}", serde_json::to_string(event).unwrap_or_default()),
                    false => println!(
                        "{:6} {} {:5} {}",
                        event.number,
                        format_time(event.at_ms),
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
    exit_code(print_events())
}

/// Formats a Unix time in milliseconds.
fn format_time(at_ms: u64) -> String {
    let at = UNIX_EPOCH + Duration::from_millis(at_ms);
    humantime::format_rfc3339_seconds(at).to_string()
}

/// Prints the orders in effect.
pub fn orders(args: &ControlArgs) -> ExitCode {
    exit_code(ask(args, ControlRequest::Orders))
}

/// Prints what the node knows of the other nodes.
pub fn siblings(args: &ControlArgs) -> ExitCode {
    exit_code(ask(args, ControlRequest::Siblings))
}

/// Prints a node's copy of the replicated state, or compares two copies.
pub fn replica(args: &ReplicaArgs) -> ExitCode {
    match (&args.command, &args.state) {
        (Some(ReplicaCommand::Diff { first, second }), _) => replica::diff(first, second),
        (None, Some(state)) => {
            exit_code(ask(&ControlArgs { state: state.clone(), json: args.json }, ControlRequest::Replica))
        }
        (None, None) => ExitCode::FAILURE, // the command-line parser requires one of the two
    }
}

/// Puts a server back into service.
pub fn undrain(args: UndrainArgs) -> ExitCode {
    let UndrainArgs { server, control, seen, wait_for } = args;
    exit_code(ask(&control, ControlRequest::Undrain { server, seen, wait_for }))
}

/// Takes a server out of service, and waits for its requests to end if asked to.
pub fn drain(args: DrainArgs) -> ExitCode {
    let DrainArgs { server, control, duration, lasting, force, wait, seen, wait_for } = args;
    let seconds = duration.map(|duration| duration.as_secs_f64().ceil() as u64);
    let verb = ControlRequest::Drain { server: server.clone(), seconds, lasting, force, seen, wait_for };
    let result = ask(&control, verb);
    match result {
        Ok(()) if wait => exit_code(wait_until_drained(&control, &server)),
        result => exit_code(result),
    }
}

/// Waits until no request of the node is in progress at a drained server.
fn wait_until_drained(args: &ControlArgs, name: &str) -> Result<(), Failure> {
    let (deadline, mut last_printed) = (Instant::now() + DRAIN_WAIT_TIMEOUT, None);
    loop {
        let Answer::Servers { servers } = send(args, ControlRequest::Servers)? else {
            return Err(Failure::Other("the node answered with something other than servers".into()));
        };
        // A server that is no longer listed counts as drained: the list no longer asks for its requests to be finished.
        let in_progress = servers.iter().find(|server| server.server == name).map_or(0, |server| server.out);
        if last_printed.replace(in_progress) != Some(in_progress) {
            eprintln!("{}: {in_progress} requests still in progress", name.escape_debug());
        }
        if in_progress == 0 {
            return Ok(());
        }
        if Instant::now() >= deadline {
            return Err(Failure::Other(format!(
                "{in_progress} requests are still in progress; the order stays in effect"
            )));
        }
        sleep(DRAIN_POLL_INTERVAL);
    }
}

/// Why a command has failed.
enum Failure {
    NoNode(String),
    Refused(String),
    Other(String),
}

fn exit_code(result: Result<(), Failure>) -> ExitCode {
    let (code, message) = match result {
        Ok(()) => return ExitCode::SUCCESS,
        Err(Failure::Refused(why)) => (ExitCode::from(EXIT_REFUSED), format!("refused: {why}")),
        Err(Failure::NoNode(message)) => (ExitCode::from(EXIT_NO_NODE), message),
        Err(Failure::Other(message)) => (ExitCode::FAILURE, message),
    };
    eprintln!("lilacquay: {message}");
    code
}

/// Sends a command and returns the answer.
fn send(args: &ControlArgs, verb: ControlRequest) -> Result<Answer, Failure> {
    connect(args)?.request(verb).map_err(client_failure)
}

fn connect(args: &ControlArgs) -> Result<Client, Failure> {
    Client::connect(&args.state).map_err(client_failure)
}

fn client_failure(error: ClientError) -> Failure {
    match error {
        ClientError::NoNode(_) => Failure::NoNode(error.to_string()),
        other => Failure::Other(other.to_string()),
    }
}

/// Sends a command and prints the answer.
fn ask(args: &ControlArgs, verb: ControlRequest) -> Result<(), Failure> {
    let required_holders = verb.wait_for();
    let answer = send(args, verb)?;
    if args.json {
        println!("{}", serde_json::to_string(&answer).unwrap_or_default());
    }
    match &answer {
        Answer::Refused { why } => return Err(Failure::Refused(why.clone())),
        _ if args.json => {}
        other => print(other),
    }
    match (required_holders, &answer) {
        (Some(required), Answer::Accepted { held, .. }) if held.is_none_or(|held| held.nodes < required) => {
            let held =
                held.map_or("only this node holds it".into(), |held| format!("{} hold it", held.nodes));
            Err(Failure::Other(format!(
                "it is obeyed, but not yet by {required} nodes: {held}; see `replica`"
            )))
        }
        _ => Ok(()),
    }
}

fn print(answer: &Answer) {
    match answer {
        Answer::Orders { orders } if orders.is_empty() => println!("no orders are in effect"),
        Answer::Orders { orders } => orders.iter().for_each(|order| println!("{}", order_text(order))),
        Answer::Accepted { number, replaced, unrecorded, held } => {
            println!("obeyed as order {number}");
            if let Some(held) = held {
                println!("held by {} of {} nodes after {} ms", held.nodes, held.of, held.after_ms);
                if held.conflict {
                    println!("an order issued concurrently contradicts it: see `replica`");
                }
            }
            if let Some(replaced) = replaced {
                println!("replaces: {}", order_text(replaced));
            }
            if let Some(why) = unrecorded {
                eprintln!(
                    "lilacquay: the order holds but is not recorded: {why}; free space in the state folder"
                );
            }
        }
        Answer::Snapshot { snapshot } => print_status(snapshot),
        Answer::Siblings { sight } => print_siblings(sight),
        Answer::Replica { copy } => replica::print(copy),
        Answer::Done { what, unrecorded } => {
            println!("{}", what.escape_debug());
            if let Some(why) = unrecorded {
                eprintln!("lilacquay: it is done but not recorded: {why}; free space in the state folder");
            }
        }
        Answer::Servers { .. } | Answer::Events { .. } => {} // printed where they are asked for
        Answer::Refused { .. } | Answer::Error { .. } => {}  // reported as failures
    }
}

fn print_status(snapshot: &Snapshot) {
    println!("version {}, up since {}", snapshot.version.escape_debug(), format_time(snapshot.started_ms));
    println!(
        "{} requests open, {} connections to servers, {} of {} descriptors, {} KiB",
        snapshot.open,
        snapshot.connections,
        snapshot.descriptors,
        snapshot.descriptor_limit,
        snapshot.memory_kb
    );
    let totals = snapshot.since_start;
    println!(
        "{} served, {} refused, {} failed since the start, with {} attempts",
        totals.served, totals.busy, totals.failed, snapshot.tries
    );
    let failures = if snapshot.list.failures > 0 {
        format!(", {} calls failed since then", snapshot.list.failures)
    } else {
        String::new()
    };
    if let Some(siblings) = snapshot.siblings {
        println!(
            "siblings: {} here, {} gone, {} unknown; this node may use {:.3} of its share",
            siblings.here, siblings.gone, siblings.unknown, siblings.part
        );
    }
    if let Some(common) = snapshot.common {
        println!(
            "replicated state: {}, {} records, {} conflicting orders, {} servers excluded by other nodes' reports",
            if common.behind { "BEHIND" } else { "level" },
            common.records,
            common.conflicts,
            common.left_out
        );
    }
    println!(
        "list from {}, received {:.0} s ago{failures}",
        snapshot.list.source.escape_debug(),
        snapshot.list.told_s
    );
    println!("{:24} {:8} {:10} {:>5} {:>5}  state", "server", "zone", "kind", "out", "idle");
    snapshot.boxes.iter().for_each(print_server);
}

fn print_siblings(sight: &SiblingsReport) {
    let choose = |condition: bool, text: &'static str, otherwise: &'static str| {
        if condition { text } else { otherwise }
    };
    println!(
        "node {} of {} in {:?}, incarnation {}, view {}: {}{}",
        sight.me,
        sight.nodes,
        sight.site,
        sight.incarnation,
        sight.epoch.escape_debug(),
        choose(sight.confirmed, "confirmed", "NOT CONFIRMED, it uses no shared resources"),
        choose(sight.superseded, "; SUPERSEDED BY ANOTHER PROCESS", "")
    );
    println!(
        "{} here, {} gone, {} unknown; it may use {:.3} of its share; {} pauses of this node, health penalty {} of 8",
        sight.here, sight.gone, sight.unknown, sight.part, sight.pauses, sight.doubt
    );
    println!(
        "{} datagrams sent with {} bytes, {} read, {} could not be read, {} of other sites, {} from unknown addresses",
        sight.sent, sight.sent_bytes, sight.read, sight.unread, sight.strangers, sight.unlisted
    );
    println!("{:>5} {:21} {:8} {:>8} {:>8}  ways     evidence", "node", "address", "state", "for", "heard");
    for peer in &sight.fellows {
        let link = |is_up: Option<bool>, name: &'static str| match is_up {
            Some(true) => name,
            Some(false) => "cut",
            None => "-",
        };
        let heard = peer.heard_s.map_or("-".to_owned(), |ago| format!("{ago:.1} s"));
        let suspected = if peer.suspected { " (suspected)" } else { "" };
        println!(
            "{:>5} {:21} {:8} {:>6.0} s {heard:>8}  {:3} {:3}  {}{suspected}",
            peer.node,
            peer.address.escape_debug().to_string(),
            peer.state.escape_debug().to_string(),
            peer.since_s,
            link(peer.we_hear, "in"),
            link(peer.hears_us, "out"),
            peer.why.escape_debug()
        );
    }
    for link in sight.ways.iter().filter(|link| !link.open) {
        println!("node {} does not receive from node {}", link.to, link.from);
    }
}

fn print_server(server: &BoxStatus) {
    let escape = |text: &str| text.escape_debug().to_string();
    let (name, zone, kind) = (escape(&server.name), escape(&server.zone), escape(&server.kind));
    let order = server.order.as_ref().map(|order| format!(" (order {})", order.number)).unwrap_or_default();
    let state = match (server.serves, server.listed) {
        (true, _) => "serves",
        (false, true) => "out of service",
        (false, false) => "draining by the list",
    };
    println!("{name:24} {zone:8} {kind:10} {:>5} {:>5}  {state}{order}", server.out, server.idle);
}

/// An order as text. The server's name comes from the list and may contain any characters; it is escaped, so that none
/// reaches the terminal as a control sequence.
fn order_text(order: &OrderReport) -> String {
    let server = order.server.escape_debug();
    let duration = match order.seconds_left {
        None => "until it is withdrawn".to_owned(),
        Some(seconds) => format!("for another {seconds:.0} s"),
    };
    let lasting = if order.lasting { ", across restarts" } else { "" };
    format!("{server}: out of service {duration}{lasting} (order {})", order.number)
}
