//! `lilacquay replica`: prints a node's copy of the replicated state, and compares the copies of two nodes.

use std::collections::BTreeMap;
use std::path::Path;
use std::process::ExitCode;

use lilacquay_control::{Answer, Client, ControlRequest, RecordSummary, ReplicaReport};

/// Exit code if two copies differ.
const EXIT_DIFFERENT: u8 = 5;

/// Prints a copy. Names come from the server list and may contain any characters; they are escaped, so that none reaches
/// the terminal as a control sequence.
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
        let off = if kind.on { "" } else { " (off: stored and forwarded only)" };
        println!("{:>6} records of {}{off}", kind.records, kind.kind.escape_debug());
    }
    println!(
        "{} datagrams sent with {} bytes, {} read, {} could not be read, {} records rejected by a limit",
        copy.sent, copy.sent_bytes, copy.read, copy.unread, copy.dropped
    );
    for order in &copy.orders {
        let subject = if order.server.is_empty() {
            "all nodes".into()
        } else {
            order.server.escape_debug().to_string()
        };
        let remaining = order.seconds_left.map_or(String::new(), |seconds| format!(", {seconds:.0} s left"));
        let tombstone =
            if order.tombstone { " (no longer in effect, kept to cancel earlier orders)" } else { "" };
        println!("{subject}: {} by node {}{remaining}{tombstone}", order.action.escape_debug(), order.node);
        for concurrent in &order.beside {
            println!("    concurrent: {}", concurrent.escape_debug());
        }
        if order.conflict {
            println!(
                "    CONFLICT: these were issued concurrently; the first applies until a new order is given"
            );
        }
    }
    for server in &copy.left_out {
        println!("{}: excluded because of other nodes' reports", server.escape_debug());
    }
    for (server, slowness) in &copy.believed {
        println!("{}: {slowness:.1} times slower, as other nodes have observed", server.escape_debug());
    }
    for peer in copy.peers.iter().filter(|peer| peer.behind || !peer.same) {
        let state = if peer.behind { "was behind" } else { "held a different copy" };
        println!("node {} {state} {:.1} s ago", peer.node, peer.ago_s);
    }
}

/// Reads a copy from the node with the state folder `path`, or from a file with the output of `replica --json`.
fn read_copy(path: &Path) -> Result<ReplicaReport, String> {
    let with_path = |error: String| format!("{}: {error}", path.display());
    let answer = if path.is_dir() {
        let mut client = Client::connect(path).map_err(|error| with_path(error.to_string()))?;
        client.request(ControlRequest::Replica).map_err(|error| with_path(error.to_string()))?
    } else {
        let text = std::fs::read_to_string(path).map_err(|error| with_path(error.to_string()))?;
        let remedy = "; name a state folder, or a file with the output of `replica --json`";
        serde_json::from_str(&text).map_err(|error| with_path(format!("{error}{remedy}")))?
    };
    match answer {
        Answer::Replica { copy } => Ok(*copy),
        Answer::Refused { why } => Err(with_path(why)),
        _ => Err(with_path(
            "this is not a copy; name a state folder, or a file with the output of `replica --json`".into(),
        )),
    }
}

/// Prints the records in which two copies differ; the exit code says whether any do.
pub fn diff(one: &Path, other: &Path) -> ExitCode {
    let (one, other) = match (read_copy(one), read_copy(other)) {
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
    ExitCode::from(EXIT_DIFFERENT)
}

/// One line for each record that differs between two copies.
fn differences(one: &ReplicaReport, other: &ReplicaReport) -> Vec<String> {
    let by_id = |copy: &ReplicaReport| -> BTreeMap<u64, RecordSummary> {
        copy.records.iter().map(|record| (record.id, record.clone())).collect()
    };
    let (records_of_one, records_of_other) = (by_id(one), by_id(other));
    let mut ids: Vec<u64> = records_of_one.keys().chain(records_of_other.keys()).copied().collect();
    ids.sort_unstable();
    ids.dedup();
    let line = |id: u64| {
        let (in_one, in_other) = (records_of_one.get(&id), records_of_other.get(&id));
        let difference = match (in_one, in_other) {
            (Some(a), Some(b)) if a.sum == b.sum => return None,
            (Some(a), Some(b)) if a.version > b.version => format!("newer at node {}", one.me),
            (Some(_), Some(_)) => format!("newer at node {}", other.me),
            (Some(_), None) => format!("only at node {}", one.me),
            _ => format!("only at node {}", other.me),
        };
        let record = in_one.or(in_other)?;
        Some(format!("{} {id:012x} of node {}: {difference}", record.kind.escape_debug(), record.origin))
    };
    ids.into_iter().filter_map(line).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn differing_records_are_listed_with_the_node_that_has_them() {
        let record = |id: u64, counter: u32, sum: u32| RecordSummary {
            id,
            kind: "order".into(),
            origin: 3,
            version: (1, counter),
            sum,
        };
        let copy = |me: usize, records: Vec<RecordSummary>| ReplicaReport {
            me,
            records,
            ..ReplicaReport::default()
        };
        let one = copy(0, vec![record(1, 1, 1), record(2, 2, 9), record(3, 1, 1)]);
        let other = copy(1, vec![record(1, 1, 1), record(2, 1, 8), record(4, 1, 1)]);
        let lines = differences(&one, &other);
        assert_eq!(
            lines,
            [
                "order 000000000002 of node 3: newer at node 0",
                "order 000000000003 of node 3: only at node 0",
                "order 000000000004 of node 3: only at node 1",
            ]
        );
        assert!(differences(&one, &one).is_empty());
    }
}
