//! `replica`: what a node holds of what all hold in common, and in what two nodes differ.

use std::collections::BTreeMap;
use std::path::Path;
use std::process::ExitCode;

use lilacquay_control::{Answer, Client, ControlRequest, RecordSummary, ReplicaReport};

/// The copies differ.
const DIFFER: u8 = 5;

/// Prints a copy. Names come from the list and may hold anything: none of it reaches the terminal as a command.
pub fn print(copy: &ReplicaReport) {
    println!(
        "node {} of {}: {} for {:.0} s, copy {}",
        copy.me,
        copy.nodes,
        copy.stage.escape_debug(),
        copy.since_s,
        copy.root.escape_debug()
    );
    for kind in &copy.kinds {
        let off = if kind.on { "" } else { " (off: kept and passed on)" };
        println!("{:>6} records of {}{off}", kind.records, kind.kind.escape_debug());
    }
    println!(
        "{} datagrams sent with {} bytes, {} read, {} could not be read, {} records kept out by a bound",
        copy.sent, copy.sent_bytes, copy.read, copy.unread, copy.dropped
    );
    for order in &copy.orders {
        let of = if order.server.is_empty() {
            "all nodes".into()
        } else {
            order.server.escape_debug().to_string()
        };
        let left = order.seconds_left.map_or(String::new(), |left| format!(", {left:.0} s yet"));
        let over = if order.tombstone { " (kept for what it lifted)" } else { "" };
        println!("{of}: {} by node {}{left}{over}", order.action.escape_debug(), order.node);
        for beside in &order.beside {
            println!("    beside: {}", beside.escape_debug());
        }
        if order.conflict {
            println!(
                "    CONFLICT: these had not seen each other; the first stands until somebody orders anew"
            );
        }
    }
    for server in &copy.left_out {
        println!("{}: left out on the word of other nodes", server.escape_debug());
    }
    for (server, slowness) in &copy.believed {
        println!("{}: {slowness:.1} times slower, as others have seen", server.escape_debug());
    }
    for peer in copy.peers.iter().filter(|peer| peer.behind || !peer.same) {
        let what = if peer.behind { "is behind" } else { "held another copy" };
        println!("node {} {what} {:.1} s ago", peer.node, peer.ago_s);
    }
}

/// What a node tells, or what one has told into a file.
fn copy(place: &Path) -> Result<ReplicaReport, String> {
    let wrong = |what: String| format!("{}: {what}", place.display());
    let answer = if place.is_dir() {
        let mut client = Client::connect(place).map_err(|error| wrong(error.to_string()))?;
        client.request(ControlRequest::Replica).map_err(|error| wrong(error.to_string()))?
    } else {
        let text = std::fs::read_to_string(place).map_err(|error| wrong(error.to_string()))?;
        let mend = "; name a state folder, or what `replica --json` has printed";
        serde_json::from_str(&text).map_err(|error| wrong(format!("{error}{mend}")))?
    };
    match answer {
        Answer::Replica { copy } => Ok(*copy),
        Answer::Refused { why } => Err(wrong(why)),
        _ => Err(wrong("it tells no copy; name a state folder, or what `replica --json` has printed".into())),
    }
}

/// Tells in which records two copies differ.
pub fn diff(one: &Path, other: &Path) -> ExitCode {
    let (one, other) = match (copy(one), copy(other)) {
        (Ok(one), Ok(other)) => (one, other),
        (Err(error), _) | (_, Err(error)) => {
            eprintln!("lilacquay: {error}");
            return ExitCode::FAILURE;
        }
    };
    let lines = differences(&one, &other);
    lines.iter().for_each(|line| println!("{line}"));
    if lines.is_empty() {
        println!("nodes {} and {} hold the same, {} records", one.me, other.me, one.records.len());
        return ExitCode::SUCCESS;
    }
    ExitCode::from(DIFFER)
}

/// In what two copies differ, a line each.
fn differences(one: &ReplicaReport, other: &ReplicaReport) -> Vec<String> {
    let by_id = |copy: &ReplicaReport| -> BTreeMap<u64, RecordSummary> {
        copy.records.iter().map(|record| (record.id, record.clone())).collect()
    };
    let (ours, theirs) = (by_id(one), by_id(other));
    let mut ids: Vec<u64> = ours.keys().chain(theirs.keys()).copied().collect();
    ids.sort_unstable();
    ids.dedup();
    let line = |id: u64| {
        let (here, there) = (ours.get(&id), theirs.get(&id));
        let what = match (here, there) {
            (Some(here), Some(there)) if here.sum == there.sum => return None,
            (Some(here), Some(there)) if here.version > there.version => format!("newer at node {}", one.me),
            (Some(_), Some(_)) => format!("newer at node {}", other.me),
            (Some(_), None) => format!("at node {} alone", one.me),
            _ => format!("at node {} alone", other.me),
        };
        let record = here.or(there)?;
        Some(format!("{} {id:012x} of node {}: {what}", record.kind.escape_debug(), record.origin))
    };
    ids.into_iter().filter_map(line).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_differs_is_named_with_the_side_that_has_it() {
        let record = |id: u64, counter: u32, sum: u32| RecordSummary {
            id,
            kind: "order".into(),
            origin: 3,
            version: (1, counter),
            sum,
        };
        let of = |me: usize, records: Vec<RecordSummary>| ReplicaReport {
            me,
            records,
            ..ReplicaReport::default()
        };
        let one = of(0, vec![record(1, 1, 1), record(2, 2, 9), record(3, 1, 1)]);
        let other = of(1, vec![record(1, 1, 1), record(2, 1, 8), record(4, 1, 1)]);
        let told = differences(&one, &other);
        assert_eq!(
            told,
            [
                "order 000000000002 of node 3: newer at node 0",
                "order 000000000003 of node 3: at node 0 alone",
                "order 000000000004 of node 3: at node 1 alone",
            ]
        );
        assert!(differences(&one, &one).is_empty());
    }
}
