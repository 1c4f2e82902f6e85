//! The appliance: its first run, its fixed list, its log, and what it says where it can't start.

mod common;

use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

use common::{Client, Fake, PATIENCE, Running};
use serde_json::Value;

fn program(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lilacquay"));
    command.args(args).env_clear();
    command
}

fn said(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

/// A folder with the documented file, changed so that it fits these boxes.
struct Appliance {
    folder: tempfile::TempDir,
    caches: Vec<Fake>,
    origin: Fake,
    running: Option<(Running, SocketAddr)>,
}

impl Appliance {
    fn new() -> Appliance {
        let (folder, caches, origin) =
            (tempfile::tempdir().unwrap(), vec![Fake::cache(), Fake::cache()], Fake::http());
        let file = folder.path().join("appliance.toml");
        let init = program(&["appliance", "init"]).arg(&file).output().unwrap();
        assert!(init.status.success(), "{}", said(&init));
        let again = program(&["appliance", "init"]).arg(&file).output().unwrap();
        assert!(!again.status.success() && said(&again).contains("left as it is"), "{}", said(&again));
        let check = program(&["check"]).arg(&file).output().unwrap();
        assert!(check.status.success(), "{}", said(&check));
        let appliance = Appliance { folder, caches, origin, running: None };
        appliance.write(&["box-1", "box-2"], "");
        appliance
    }

    fn file(&self) -> PathBuf {
        self.folder.path().join("appliance.toml")
    }

    /// The documented file with the boxes of these names, and more behind it.
    fn write(&self, names: &[&str], more: &str) {
        let documented =
            std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/appliance.toml"));
        let mut text = documented.unwrap().replace("127.0.0.1:6379", "127.0.0.1:0");
        text = text.replace("127.0.0.1:8080", &self.origin.addr.to_string());
        for (n, cache) in self.caches.iter().enumerate() {
            let (name, addr) = (format!("box-{}", n + 1), format!("127.0.0.1:700{}", n + 1));
            let entry = format!("[[box]]\nname = \"{name}\"\naddr = \"{addr}\"\n");
            let listed = format!("[[box]]\nname = \"{name}\"\naddr = \"{}\"\n", cache.addr);
            assert!(text.contains(&entry));
            text = text.replace(&entry, if names.contains(&name.as_str()) { &listed } else { "" });
        }
        std::fs::write(self.file(), text + more).unwrap();
    }

    fn start(&mut self) {
        let mut child =
            program(&["appliance", "--config"]).arg(self.file()).stdout(Stdio::piped()).spawn().unwrap();
        let mut first = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut first).unwrap();
        assert!(first.starts_with("serving on"), "{first}");
        let running = Running(child);
        let start = Instant::now();
        let addr = loop {
            let told = said(&self.run(&["events"]));
            let listening = told.lines().find_map(|line| line.rsplit_once("listening on ")?.1.parse().ok());
            match listening {
                Some(addr) => break addr,
                None => assert!(start.elapsed() < PATIENCE, "{told}"),
            }
        };
        self.running = Some((running, addr));
    }

    fn state(&self) -> PathBuf {
        self.folder.path().join("state")
    }

    fn log(&self) -> String {
        std::fs::read_to_string(self.state().join("log/node.log")).unwrap_or_default()
    }

    fn run(&self, args: &[&str]) -> Output {
        program(args).arg("--state").arg(self.state()).output().unwrap()
    }

    fn boxes(&self) -> Vec<String> {
        let status: Value = serde_json::from_slice(&self.run(&["status", "--json"]).stdout).unwrap();
        let boxes = status["snapshot"]["boxes"].as_array().unwrap();
        boxes.iter().map(|one| one["name"].as_str().unwrap().to_owned()).collect()
    }

    fn client(&self) -> Client {
        Client::to(self.running.as_ref().unwrap().1)
    }
}

#[test]
fn from_the_first_run_to_a_box_replaced_and_the_end() {
    let mut site = Appliance::new();
    site.start();
    assert_eq!(site.boxes(), ["box-1", "box-2", "origin"]);
    let mut client = site.client();
    client.send(&["CACHE.GET", "k", "id-1", "c=read,d=5000"]);
    let start = Instant::now();
    let call = loop {
        match site.caches.iter().find_map(Fake::called) {
            Some(call) => break call,
            None => assert!(start.elapsed() < PATIENCE),
        }
    };
    call.value("v");
    assert_eq!(client.answer().as_deref(), Some("v"));
    // A box goes from the file, and by a reload from the node; a mistake in the file changes nothing.
    site.write(&["box-2"], "");
    let reload = site.run(&["reload"]);
    assert!(reload.status.success() && said(&reload).contains("read again"), "{}", said(&reload));
    assert_eq!(site.boxes(), ["box-2", "origin"]);
    site.write(&["box-1"], "\n[lag]\n");
    let refused = site.run(&["reload"]);
    assert_eq!(
        (refused.status.code(), said(&refused).contains("lag: no such key")),
        (Some(3), true),
        "{}",
        said(&refused)
    );
    assert_eq!(site.boxes(), ["box-2", "origin"]);
    let events = site.run(&["events", "--json", "--search", "HAS LEFT"]);
    let events: Vec<Value> = said(&events).lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    assert!(events.len() == 1 && events[0]["text"].as_str().unwrap().contains("box-1"), "{events:?}");
    assert_eq!(site.run(&["level", "loud"]).status.code(), Some(3));
    assert!(site.run(&["level", "debug"]).status.success());
    let bundle = said(&site.run(&["diagnose"]));
    let path = bundle.trim().strip_prefix("written to ").expect(&bundle);
    let mut text = String::new();
    flate2::read::GzDecoder::new(std::fs::File::open(path).unwrap()).read_to_string(&mut text).unwrap();
    let contents: Value = serde_json::from_str(&text).unwrap();
    assert_eq!(contents["configuration"]["classes"], serde_json::json!(["read", "write"]));
    assert!(contents["snapshot"]["boxes"].is_array() && contents["events"]["events"].is_array());
    assert!(site.run(&["stop"]).status.success());
    let (mut running, _) = site.running.take().unwrap();
    assert!(running.0.wait().unwrap().success());
    assert_eq!(site.run(&["status"]).status.code(), Some(4));
}

#[test]
fn events_are_followed_as_they_come_and_the_log_has_its_bound() {
    let mut site = Appliance::new();
    site.write(&["box-1", "box-2"], "\n[log]\nformat = \"json\"\nsize_mb = 1\nfiles = 2\n");
    site.start();
    let mut follow = program(&["events", "--follow", "--search", "order"]);
    let child = follow.arg("--state").arg(site.state()).stdout(Stdio::piped()).spawn().unwrap();
    let mut running = Running(child);
    let mut lines = BufReader::new(running.0.stdout.take().unwrap()).lines();
    // Orders until the log has gone round: each is a line of some hundred bytes, and refused by the last box's rule.
    let socket = site.state().join("control.sock");
    let long = "x".repeat(3000);
    let mut asker = BufReader::new(UnixStream::connect(socket).unwrap());
    for _ in 0..1500 {
        let ask = format!("{{\"v\":2,\"ask\":\"level\",\"level\":\"{long}\"}}\n");
        std::io::Write::write_all(asker.get_mut(), ask.as_bytes()).unwrap();
        let mut answer = String::new();
        asker.read_line(&mut answer).unwrap();
        assert!(answer.contains("refused"), "{answer}");
    }
    assert!(lines.next().unwrap().unwrap().contains("refused: write error, warn"));
    let start = Instant::now();
    loop {
        let files: Vec<u64> = std::fs::read_dir(site.state().join("log"))
            .unwrap()
            .map(|f| f.unwrap().metadata().unwrap().len())
            .collect();
        assert!(files.len() <= 3 && files.iter().sum::<u64>() < 3 * (1 << 20) + 20_000, "{files:?}");
        if files.len() == 3 {
            break;
        }
        assert!(start.elapsed() < PATIENCE, "{files:?}");
        std::thread::sleep(Duration::from_millis(10));
    }
    let first = site.log().lines().next().unwrap_or_default().to_owned();
    assert!(first.is_empty() || serde_json::from_str::<Value>(&first).is_ok(), "{first}");
    let audit = |name: &str| std::fs::metadata(site.state().join(name)).map_or(0, |file| file.len());
    assert!(audit("audit.log") < (1 << 20) + 8_000 && audit("audit.old.log") > 0);
}

#[test]
fn what_is_wrong_at_the_start_is_told_in_one_screen_with_the_mend() {
    let site = Appliance::new();
    let start = || program(&["appliance", "--config"]).arg(site.file()).output().unwrap();
    std::fs::write(site.file(), "lisen = 1\nlisten = \"127.0.0.1:0\"\n[[box]]\nname = \"b\"\n[[class]]\nname = \"r\"\neffect = \"odd\"\n").unwrap();
    let wrong = start();
    let screen = said(&wrong);
    assert!(!wrong.status.success() && screen.lines().count() <= 24, "{screen}");
    for told in ["lisen", "remove it", "state", "effect", "write safe, keyed or unsafe"] {
        assert!(screen.contains(told), "{told}: {screen}");
    }
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    site.write(&["box-1"], "");
    let text = std::fs::read_to_string(site.file()).unwrap();
    let listen = format!("listen = \"{}\"", taken.local_addr().unwrap());
    std::fs::write(site.file(), text.replace("listen = \"127.0.0.1:0\"", &listen)).unwrap();
    let busy = start();
    assert!(!busy.status.success() && said(&busy).contains("cannot listen on"), "{}", said(&busy));
    std::fs::remove_dir_all(site.state()).unwrap();
    std::fs::write(site.state(), "a file").unwrap();
    let blocked = start();
    assert!(!blocked.status.success() && said(&blocked).contains("fix `state`"), "{}", said(&blocked));
}

#[test]
fn a_socket_that_somebody_clears_away_comes_back() {
    let mut site = Appliance::new();
    site.start();
    std::fs::remove_file(site.state().join("control.sock")).unwrap();
    let start = Instant::now();
    while !site.run(&["status"]).status.success() {
        assert!(start.elapsed() < PATIENCE);
        std::thread::sleep(Duration::from_millis(50));
    }
    assert!(said(&site.run(&["events"])).contains("made anew"));
}

#[test]
fn on_a_full_disk_it_serves_on_and_says_what_it_could_not_write() {
    let mut site = Appliance::new();
    let state = site.state();
    std::fs::create_dir_all(state.join("log")).unwrap();
    // A device that has no room for a byte (full(4)).
    for name in ["log/node.log", "audit.log"] {
        std::os::unix::fs::symlink("/dev/full", state.join(name)).unwrap();
    }
    site.start();
    let drained = site.run(&["drain", "box-1"]);
    assert!(
        drained.status.success() && said(&drained).contains("No space left on device"),
        "{}",
        said(&drained)
    );
    assert!(
        said(&site.run(&["events"])).contains("obeyed as order 1"),
        "what the log lacks is kept as events"
    );
    let mut client = site.client();
    client.send(&["CACHE.GET", "k", "id-1", "c=read,d=5000"]);
    site.caches[1].call().value("v");
    assert_eq!(client.answer().as_deref(), Some("v"));
}
