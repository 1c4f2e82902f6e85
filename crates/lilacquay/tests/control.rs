//! Operators' orders at a running node, by its control socket and the commands for scripts.

mod common;

use std::io::{BufRead, BufReader, Write};
use std::os::unix::fs::{FileTypeExt, PermissionsExt};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::thread;
use std::time::{Duration, Instant};

use common::*;
use serde_json::Value;

/// A node with two caches, an origin, and a state folder.
struct Stage {
    caches: Vec<Fake>,
    _others: [Fake; 2],
    node: Option<Node>,
    folder: tempfile::TempDir,
}

const NAMES: [&str; 2] = ["s-1", "s-2"];

impl Stage {
    fn new() -> Stage {
        let caches = [Fake::cache(), Fake::cache()];
        let (origin, discovery) = (Fake::http(), Fake::http());
        let named: Vec<_> = NAMES.into_iter().zip(caches.iter().map(|cache| cache.addr)).collect();
        let (known, discovery_at) = (list(41, &named, origin.addr), discovery.addr);
        let config = format!(
            r#"{{"listen":"127.0.0.1:0","discovery":"{discovery_at}","seed":"8c1f","known":{known},"settings":{SETTINGS}}}"#
        );
        let folder = tempfile::tempdir().unwrap();
        let file = |name: &str, text: &str| std::fs::write(folder.path().join(name), text).unwrap();
        file("node.json", &config);
        file("serve.toml", "node = \"node.json\"\n[control]\nfolder = \"state\"\n");
        let node = Some(Node::serving(folder.path()));
        Stage { caches: caches.into(), _others: [origin, discovery], node, folder }
    }

    fn state(&self) -> PathBuf {
        self.folder.path().join("state")
    }

    /// Kills the node and starts another in its place.
    fn restart(&mut self) {
        self.node = None;
        self.node = Some(Node::serving(self.folder.path()));
    }

    fn run(&self, args: &[&str]) -> Output {
        run(&self.state(), args)
    }

    /// Serves fifty reads; tells how many went to each cache.
    fn fifty(&self, round: &str) -> [usize; 2] {
        let mut client = self.node.as_ref().unwrap().client();
        let mut to = [0; 2];
        for n in 0..50 {
            let name = format!("{round}-{n}");
            client.send(&["CACHE.GET", &name, &name, "c=read,d=60000"]);
            let (which, call) = loop {
                let called = self.caches.iter().enumerate().find_map(|(n, c)| Some((n, c.called()?)));
                // A copy of the read before may have been sent, too.
                match called.filter(|(_, call)| call.words[2] == name) {
                    Some(call) => break call,
                    None => thread::sleep(Duration::from_micros(200)),
                }
            };
            to[which] += 1;
            call.value("v");
            assert_eq!(client.answer().as_deref(), Some("v"));
        }
        to
    }
}

fn run(state: &Path, args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lilacquay"));
    command.args(args).arg("--state").arg(state).output().unwrap()
}

fn json(output: &Output) -> Value {
    serde_json::from_slice(&output.stdout).unwrap_or_else(|_| panic!("{output:?}"))
}

fn said(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn a_drain_is_obeyed_recorded_and_lifted() {
    let s = Stage::new();
    assert!(s.fifty("before").iter().all(|&n| n > 10));
    assert_eq!(json(&s.run(&["orders", "--json"])), serde_json::json!({"answer": "orders", "orders": []}));
    assert!(s.run(&["drain", "s-1"]).status.success());
    assert_eq!(s.fifty("drained"), [0, 50]);
    let orders = json(&s.run(&["orders", "--json"]));
    let held = serde_json::json!([{"server": "s-1", "seconds_left": null, "lasting": false, "number": 1}]);
    assert_eq!(orders["orders"], held);
    let last = s.run(&["drain", "s-2"]);
    assert_eq!((last.status.code(), said(&last).contains("no cache would serve")), (Some(3), true));
    let unknown = s.run(&["drain", "s-9"]);
    assert_eq!((unknown.status.code(), said(&unknown).contains("no server of that name")), (Some(3), true));
    let late = s.run(&["undrain", "s-1", "--seen", "0"]);
    assert_eq!((late.status.code(), said(&late).contains("order 1 ")), (Some(3), true));
    assert!(s.run(&["undrain", "s-1", "--seen", "1"]).status.success());
    assert!(s.fifty("lifted")[0] > 10);
    let audit = std::fs::read_to_string(s.state().join("audit.log")).unwrap();
    let lines: Vec<Value> = audit.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    let outcomes: Vec<&str> = lines.iter().map(|line| line["outcome"].as_str().unwrap()).collect();
    assert_eq!(outcomes.len(), 5, "{audit}");
    assert!(outcomes[0] == "obeyed as order 1" && outcomes[1].starts_with("refused: no cache"), "{audit}");
    assert!(lines.iter().all(|line| line["at_ms"].as_u64() > Some(1_700_000_000_000)));
}

#[test]
fn a_drain_is_followed_until_the_last_answer_and_status_tells_what_is_out() {
    let s = Stage::new();
    let mut clients: Vec<Client> = (0..20).map(|_| s.node.as_ref().unwrap().client()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&["CACHE.GET", &format!("k{n}"), &format!("id-{n}"), "c=read,d=60000"]);
    }
    // As many as are let out at once; those beyond wait for a place. What is told comes to what the box has.
    let (mut held, start) = (vec![s.caches[0].call()], Instant::now());
    let status = loop {
        held.extend(std::iter::from_fn(|| s.caches[0].called()));
        let status = json(&s.run(&["status", "--json"]));
        if status["snapshot"]["boxes"][1]["out"].as_u64() == Some(held.len() as u64) {
            break status;
        }
        assert!(start.elapsed() < PATIENCE, "{status}");
    };
    let servers = status["snapshot"]["boxes"].as_array().unwrap();
    let names: Vec<&str> = servers.iter().map(|one| one["name"].as_str().unwrap()).collect();
    assert_eq!(names, ["o", "s-1", "s-2"]);
    assert_eq!((&servers[1]["serves"], &servers[1]["order"]), (&Value::Bool(true), &Value::Null));
    let state = s.state();
    let drain = thread::spawn(move || run(&state, &["drain", "s-1", "--wait"]));
    let drained =
        || json(&s.run(&["status", "--json"]))["snapshot"]["boxes"][1]["serves"] == Value::Bool(false);
    while !drained() {
        assert!(start.elapsed() < PATIENCE);
    }
    assert!(!drain.is_finished(), "while answers are owed");
    held.into_iter().for_each(|call| call.value("v"));
    // Copies and those that waited go to the other.
    while !drain.is_finished() {
        assert!(s.caches[0].called().is_none(), "something new to a box that drains");
        s.caches[1].called().into_iter().for_each(|call| call.value("v"));
        assert!(start.elapsed() < PATIENCE);
    }
    let drain = drain.join().unwrap();
    assert!(drain.status.success() && said(&drain).contains("0 requests still in progress"), "{drain:?}");
    let text = String::from_utf8(s.run(&["status"]).stdout).unwrap();
    assert!(text.lines().any(|l| l.starts_with("s-1 ") && l.ends_with("out of service (order 1)")), "{text}");
}

#[test]
fn what_lasts_holds_in_the_next_node_which_takes_the_place_of_one_that_was_killed() {
    let mut s = Stage::new();
    assert!(s.run(&["drain", "s-2", "--lasting"]).status.success());
    s.restart(); // the old one's socket is still there
    assert_eq!(s.fifty("again"), [50, 0]);
    let socket = std::fs::metadata(s.state().join("control.sock")).unwrap();
    assert!(socket.file_type().is_socket());
    assert_eq!(socket.permissions().mode() & 0o777, 0o600);
    assert!(s.run(&["undrain", "s-2"]).status.success());
    assert!(s.run(&["drain", "s-1"]).status.success(), "not told to last");
    s.restart();
    assert_eq!(json(&s.run(&["orders", "--json"]))["orders"], serde_json::json!([]));
}

#[test]
fn what_is_kept_is_what_holds_however_many_order_at_once() {
    let s = Stage::new();
    let socket = s.state().join("control.sock");
    let ask = &|what: &str| {
        let mut asker = BufReader::new(UnixStream::connect(&socket).unwrap());
        asker.get_mut().write_all(format!("{{\"v\":1,{what}}}\n").as_bytes()).unwrap();
        let mut answer = String::new();
        asker.read_line(&mut answer).unwrap();
        serde_json::from_str::<Value>(&answer).unwrap()
    };
    let drain = r#""ask":"drain","server":"s-1","lasting":true"#;
    let undrain = r#""ask":"undrain","server":"s-1""#;
    for round in 0..100 {
        thread::scope(|scope| [drain, undrain, drain].map(|what| _ = scope.spawn(move || ask(what))));
        let holds = ask(r#""ask":"orders""#)["orders"].as_array().unwrap().len();
        let kept: Value =
            serde_json::from_slice(&std::fs::read(s.state().join("orders.json")).unwrap()).unwrap();
        assert_eq!(kept["orders"].as_array().unwrap().len(), holds, "round {round}");
    }
}

#[test]
fn one_that_is_left_out_is_back_after_its_time() {
    let s = Stage::new();
    assert!(s.run(&["drain", "s-1", "--for", "1s"]).status.success());
    let start = Instant::now();
    while json(&s.run(&["orders", "--json"]))["orders"] != serde_json::json!([]) {
        assert!(start.elapsed() < PATIENCE);
    }
    assert!(start.elapsed() < Duration::from_secs(3), "a second, and as much for the grain");
    assert!(s.fifty("back")[0] > 10);
}

#[test]
fn a_folder_is_one_nodes_alone_and_without_a_node_commands_say_so() {
    let s = Stage::new();
    let config = s.folder.path().join("serve.toml");
    let second =
        Command::new(env!("CARGO_BIN_EXE_lilacquay")).args(["serve", "--config"]).arg(config).output();
    let second = second.unwrap();
    assert!(!second.status.success() && said(&second).contains("a node answers at"), "{}", said(&second));
    assert!(s.run(&["orders"]).status.success(), "the first still listens");
    let none = run(&s.folder.path().join("elsewhere"), &["orders"]);
    assert_eq!((none.status.code(), said(&none).contains("no node listens there")), (Some(4), true));
}

#[test]
fn what_is_no_question_gets_an_error_and_holds_up_nobody() {
    let s = Stage::new();
    let connect = || {
        let stream = UnixStream::connect(s.state().join("control.sock")).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        BufReader::new(stream)
    };
    let long = format!("{{\"v\":1,\"ask\":\"{}\"}}", "x".repeat(9000));
    let cases = [
        ("{\"v\":7,\"ask\":\"orders\"}", "speaks version 2, not 7"),
        ("orders", "write a line of JSON"),
        ("{\"v\":1,\"ask\":\"reboot\"}", "unknown variant `reboot`"),
        ("{\"v\":1,\"ask\":\"drain\"}", "missing field `server`"),
        (&long, "no line"),
    ];
    for (line, wanted) in cases {
        let mut asker = connect();
        asker.get_mut().write_all(format!("{line}\n").as_bytes()).unwrap();
        let mut answer = String::new();
        asker.read_line(&mut answer).unwrap();
        assert!(answer.contains(wanted), "{line:.40}: {answer}");
        assert_eq!(asker.read_line(&mut answer).unwrap_or(0), 0, "and is hung up on");
    }
    // Fifteen who say nothing, or never read what they asked for, leave room for one more.
    let silent: Vec<_> = (0..15).map(|_| connect()).collect();
    for (n, mut one) in silent.iter().map(BufReader::get_ref).enumerate() {
        if n % 2 == 0 {
            one.write_all(b"{\"v\":1,\"ask\":\"orders\"}\n").unwrap();
        }
    }
    assert!(s.run(&["orders"]).status.success());
    assert!(s.fifty("served").iter().all(|&n| n > 10));
}

#[test]
fn an_order_that_cannot_be_recorded_holds_and_says_so() {
    let s = Stage::new();
    // What stands in for a disk that takes no more: a name that can't be written.
    std::fs::create_dir(s.state().join("audit.log")).unwrap();
    let drained = s.run(&["drain", "s-1"]);
    assert!(drained.status.success() && said(&drained).contains("holds but is not recorded"), "{drained:?}");
    assert_eq!(s.fifty("drained"), [0, 50]);
}

#[test]
fn a_kept_file_that_cannot_be_read_is_told_at_the_start_and_left_as_it_is() {
    let mut s = Stage::new();
    s.node = None;
    let kept = s.state().join("orders.json");
    std::fs::write(&kept, "{").unwrap();
    let serve = Command::new(env!("CARGO_BIN_EXE_lilacquay"))
        .args(["serve", "--config"])
        .arg(s.folder.path().join("serve.toml"))
        .output()
        .unwrap();
    assert!(!serve.status.success() && said(&serve).contains("orders.json"), "{}", said(&serve));
    assert_eq!(std::fs::read_to_string(kept).unwrap(), "{");
}

#[test]
fn a_name_with_control_characters_does_not_reach_the_terminal() {
    let s = Stage::new();
    let odd = s.run(&["drain", "s-1\u{1b}[2J"]);
    assert_eq!(odd.status.code(), Some(3));
    assert!(!said(&odd).contains('\u{1b}'));
    let folder = tempfile::tempdir().unwrap();
    let listener = std::os::unix::net::UnixListener::bind(folder.path().join("control.sock")).unwrap();
    let node = thread::spawn(move || {
        let (stream, _) = listener.accept().unwrap();
        let mut reader = BufReader::new(stream);
        reader.read_line(&mut String::new()).unwrap();
        let order = r#"{"server":"s\u001b[2J","seconds_left":null,"lasting":false,"number":1}"#;
        let answer = format!("{{\"answer\":\"orders\",\"orders\":[{order}]}}\n");
        reader.get_mut().write_all(answer.as_bytes()).unwrap();
    });
    let orders = run(folder.path(), &["orders"]);
    node.join().unwrap();
    let text = String::from_utf8(orders.stdout).unwrap();
    assert!(text.contains("[2J") && !text.contains('\u{1b}'), "{text:?}");
}
