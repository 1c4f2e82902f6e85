//! The command line, as a user meets it.

mod common;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::process::{Command, Output, Stdio};

use common::Running;
use lilacquay_fleet::{Fleet, FleetConfig};

fn lilacquay(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lilacquay"));
    command.args(args).env_remove("EDGE_CONFIG").stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

fn text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

/// A folder with a fleet's JSON and these options beside it.
fn folder(fleet: &Fleet, options: &str) -> tempfile::TempDir {
    let folder = tempfile::tempdir().unwrap();
    let json = fleet.configuration(([127, 0, 0, 1], 0).into(), 512);
    std::fs::write(folder.path().join("node.json"), json).unwrap();
    std::fs::write(folder.path().join("serve.toml"), options).unwrap();
    folder
}

fn fleet() -> Fleet {
    Fleet::start(FleetConfig { boxes: 2, ..FleetConfig::default() }).unwrap()
}

#[test]
fn serve_runs_a_node_by_its_options_which_go_before_the_json() {
    let fleet = fleet();
    let other = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let discovery = other.local_addr().unwrap();
    let options = format!(
        "node = \"node.json\"\n[resp]\nlisten = \"127.0.0.1:0\"\n[discovery]\naddress = \"{discovery}\"\n"
    );
    let folder = folder(&fleet, &options);
    let file = folder.path().join("serve.toml");
    let mut node = Running(lilacquay(&["serve", "--config", file.to_str().unwrap()]).spawn().unwrap());
    let mut log = BufReader::new(node.0.stderr.take().unwrap());
    let mut first = String::new();
    log.read_line(&mut first).unwrap();
    let addr = first.trim().rsplit_once("listening on ").expect(&first).1;
    let mut client = TcpStream::connect(addr).unwrap();
    client.write_all(common::words(&["CACHE.GET", "k", "i1", "c=lookup,d=1000"]).as_bytes()).unwrap();
    let mut answer = [0; 4];
    client.read_exact(&mut answer).unwrap();
    assert_eq!(answer[0], b'$', "served from the fleet");
    drop(other.accept().unwrap()); // it asks discovery where the options say
}

#[test]
fn check_tells_each_mistake_with_file_line_field_and_mend() {
    let fleet = fleet();
    let folder = folder(&fleet, "node = \"node.json\"\n[limits]\nsockets = 1024\n");
    let (options, json) = (folder.path().join("serve.toml"), folder.path().join("node.json"));
    let check = |file: &std::path::Path| lilacquay(&["check", file.to_str().unwrap()]).output().unwrap();
    let good = check(&options);
    assert!(good.status.success(), "{}", text(&good));
    assert!(check(&json).status.success());
    let unnamed = folder.path().join("configuration");
    std::fs::copy(&json, &unnamed).unwrap();
    assert!(check(&unnamed).status.success(), "the platform's file may have any name");
    let right = std::fs::read_to_string(&json).unwrap();
    let cases = [
        (
            "\"seed\":\"1\"",
            "\"seed\":\"x\"",
            "node.json:1: seed: bad seed \"x\"; write 16 hex digits at most",
        ),
        ("\"safe\"", "\"sure\"", "settings.Classes: unknown effect \"sure\"; write safe, keyed or unsafe"),
        ("\"Zone\":\"a\"", "\"Zone\":\"b\"", "settings.Zone: \"b\" is not among Dcs; name one of Dcs"),
        ("\"OriginKind\":1", "\"OriginKind\":3", "settings.FamilyInfo.OriginKind: is not an index into Skus"),
        (
            "\"HardLimit\":1000.0",
            "\"HardLimit\":1.0",
            "class lookup has no positive HardLimit, or one below its Aim",
        ),
        ("\"sockets\":512", "\"sockets\":7", "limits.sockets: limit too low; set at least 48"),
        (
            "\"sockets\":512",
            "\"sockets\":\"7\"",
            "limits.sockets: invalid type: string \"7\", expected usize",
        ),
        (
            "\"listen\":\"127.0.0.1:0\"",
            "\"listen\":\"here\"",
            "listen: \"here\" is not an address with a port",
        ),
        ("{", "{\n{", "node.json:2"),
    ];
    for (from, to, told) in cases {
        assert!(right.contains(from), "{from}");
        std::fs::write(&json, right.replacen(from, to, 1)).unwrap();
        let bad = check(&options);
        assert!(!bad.status.success() && text(&bad).contains(told), "{told}: {}", text(&bad));
    }
    std::fs::write(&json, right.replace("\"seed\":\"1\"", "\"seed\":\"x\"").replace("\"safe\"", "\"sure\""))
        .unwrap();
    assert!(text(&check(&options)).contains("2 to fix"));
    // And for the file that the options name for etcd.
    let etcd = folder.path().join("etcd.toml");
    std::fs::write(&options, "node = \"node.json\"\netcd = \"etcd.toml\"\n").unwrap();
    std::fs::write(&json, &right).unwrap();
    std::fs::write(&etcd, "endpoints = [\"http://127.0.0.1:2379\"]\n").unwrap();
    assert!(check(&options).status.success() && check(&etcd).status.success());
    std::fs::write(&etcd, "endpoints = [\"https://127.0.0.1:2379\"]\n[tls]\nca = \"none.pem\"\n").unwrap();
    assert!(text(&check(&etcd)).contains("none.pem: cannot be read"));
    std::fs::write(&etcd, "endpoints = [\"127.0.0.1:2379\"]\n").unwrap();
    assert!(text(&check(&options)).contains("etcd.toml:1: endpoints: \"127.0.0.1:2379\" is not an address"));
    // And for the one for memcached, whose classes the JSON has.
    let memcached = folder.path().join("memcached.toml");
    std::fs::write(&options, "node = \"node.json\"\nmemcached = \"memcached.toml\"\n").unwrap();
    std::fs::write(&memcached, fleet.memcached_options(([127, 0, 0, 1], 0).into())).unwrap();
    assert!(check(&options).status.success() && check(&memcached).status.success());
    std::fs::write(
        &memcached,
        "[[listener]]\nname = \"m\"\naddress = \"127.0.0.1:0\"\n[others]\nread = \"x\"\n",
    )
    .unwrap();
    assert!(check(&memcached).status.success(), "no settings to look it up in");
    assert!(text(&check(&options)).contains("memcached.toml:5: others.read: no class \"x\"; name one of"));
    let missing = check(&folder.path().join("none.toml"));
    assert!(text(&missing).contains("cannot be read"));
}

#[test]
fn fleet_shows_an_answer_takes_a_load_and_ends_all() {
    let mut fleet = Running(lilacquay(&["fleet", "--boxes", "3"]).spawn().unwrap());
    let mut lines = BufReader::new(fleet.0.stdout.take().unwrap()).lines().map(Result::unwrap);
    let mut line = |wanted: &str| lines.find(|line| line.contains(wanted)).expect("a line");
    let (node, answer, paste) = (line("node  "), line("CACHE.GET"), line("To load it"));
    assert!(answer.contains("first calendar:12 v1"), "{answer}");
    let addr = node.split_whitespace().nth(1).unwrap();
    assert!(paste.contains(addr));
    let load = lilacquay(&["load", "--to", addr, "--for", "1s", "--rate", "200", "--mix", "9,1,0"])
        .output()
        .unwrap();
    assert!(load.status.success(), "{}", text(&load));
    let served: u64 = text(&load)
        .lines()
        .find(|l| l.starts_with("lookup"))
        .unwrap()
        .split_whitespace()
        .nth(1)
        .unwrap()
        .parse()
        .unwrap();
    assert!(served > 100);
    // As Ctrl-C does.
    let id = fleet.0.id().to_string();
    assert!(Command::new("kill").args(["-INT", &id]).status().unwrap().success());
    assert!(line("rules broken").ends_with(" 0"));
    assert!(fleet.0.wait().unwrap().success());
    assert!(TcpStream::connect(addr).is_err(), "the node has ended with it");
}

#[test]
fn a_fleet_with_etcd_has_a_node_that_follows_it() {
    let folder = tempfile::tempdir().unwrap();
    let script = folder.path().join("script.toml");
    let steps = "[[step]]\nat = \"0s\"\ndo = \"drain\"\nserver = \"box-1\"\n\
                 [[step]]\nat = \"0s\"\ndo = \"compact\"\n\
                 [[step]]\nat = \"0s\"\ndo = \"etcd\"\nfaults = { late_ms = 5 }\n";
    std::fs::write(&script, steps).unwrap();
    let words = ["fleet", "--boxes", "2", "--etcd", "2", "--script", script.to_str().unwrap()];
    let mut fleet = Running(lilacquay(&words).spawn().unwrap());
    let mut log = BufReader::new(fleet.0.stderr.take().unwrap()).lines().map(Result::unwrap);
    let mut lines = BufReader::new(fleet.0.stdout.take().unwrap()).lines().map(Result::unwrap);
    let mut line = |wanted: &str| lines.find(|line| line.contains(wanted)).expect("a line");
    let (answer, list) = (line("CACHE.GET"), line("To list it"));
    assert!(answer.contains("first calendar:12 v1"), "{answer}");
    assert!(log.any(|line| line.contains("etcd goes before discovery")));
    line("Etcd"); // the script's last step
    let file = list.split_whitespace().last().unwrap();
    let listed = lilacquay(&["members", "--etcd", file]).output().unwrap();
    let listed = text(&listed);
    assert!(listed.starts_with("revision 5, 0 s old") && listed.contains("draining"), "{listed}");
    let id = fleet.0.id().to_string();
    assert!(Command::new("kill").args(["-INT", &id]).status().unwrap().success());
    assert!(line("rules broken").ends_with(" 0"));
    assert!(fleet.0.wait().unwrap().success());
}

#[test]
fn a_fleet_with_boxes_of_both_kinds_takes_a_load_over_both_protocols() {
    let mut fleet = Running(lilacquay(&["fleet", "--boxes", "4", "--memcached", "2"]).spawn().unwrap());
    let mut lines = BufReader::new(fleet.0.stdout.take().unwrap()).lines().map(Result::unwrap);
    let mut line = |wanted: &str| lines.find(|line| line.contains(wanted)).expect("a line");
    let (node, memcached, paste) = (line("node  "), line("memcached  "), line("Over memcached"));
    let (node, memcached) = [&node, &memcached].map(|line| line.split_whitespace().nth(1).unwrap()).into();
    assert!(paste.contains(memcached) && paste.contains("--memcached"));
    for to in [vec![node], vec![memcached, "--memcached"]] {
        let words = [&["load", "--for", "1s", "--rate", "200", "--to"], &to[..]].concat();
        let load = lilacquay(&words).output().unwrap();
        assert!(load.status.success(), "{to:?}: {}", text(&load));
        let all = text(&load);
        let served =
            all.lines().find(|l| l.starts_with("lookup")).unwrap().split_whitespace().nth(1).unwrap();
        assert!(served.parse::<u64>().unwrap() > 100, "{to:?}: {all}");
    }
    let id = fleet.0.id().to_string();
    assert!(Command::new("kill").args(["-INT", &id]).status().unwrap().success());
    assert!(line("rules broken").ends_with(" 0"));
    assert!(fleet.0.wait().unwrap().success());
}

#[test]
fn a_fleet_told_to_end_while_it_starts_leaves_no_node_behind() {
    let mut fleet = Running(lilacquay(&["fleet", "--boxes", "1"]).spawn().unwrap());
    let mut out = BufReader::new(fleet.0.stdout.take().unwrap());
    let mut first = String::new();
    out.read_line(&mut first).unwrap(); // the node is up, and is asked its first read next
    let id = fleet.0.id().to_string();
    assert!(Command::new("kill").args(["-INT", &id]).status().unwrap().success());
    let mut rest = String::new();
    out.read_to_string(&mut rest).unwrap();
    assert!(fleet.0.wait().unwrap().success());
    let node = rest.lines().find(|line| line.starts_with("node  ")).unwrap();
    assert!(TcpStream::connect(node.split_whitespace().nth(1).unwrap()).is_err());
}

#[test]
fn a_load_on_nobody_fails_and_says_so() {
    // Bound, so that no other test gets the port, and not listened on.
    let nobody = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    nobody.bind(&"127.0.0.1:0".parse::<std::net::SocketAddr>().unwrap().into()).unwrap();
    let addr = nobody.local_addr().unwrap().as_socket().unwrap().to_string();
    let load = lilacquay(&["load", "--to", &addr, "--for", "200ms"]).output().unwrap();
    assert!(!load.status.success() && text(&load).contains("was not reached by"), "{}", text(&load));
    for mix in ["1,0", "0,0,0", "1,-1,0", "a,b,c"] {
        let bad = lilacquay(&["load", "--to", &addr, "--mix", mix]).output().unwrap();
        assert!(!bad.status.success() && text(&bad).contains("write three shares"), "{}", text(&bad));
    }
}
