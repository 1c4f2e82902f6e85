//! `lilacquay members` against a stand-in etcd, as a user meets it.

mod common;

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};

use common::Running;
use lilacquay_fleet::Clock;
use lilacquay_fleet::etcd::{Etcd, EtcdFaults, EtcdPlan};
use lilacquay_fleet::record::Log;
use lilacquay_members::etcd::layout;
use lilacquay_members::etcd::list_cache::CachedList;

struct Site {
    etcd: Etcd,
    runtime: tokio::runtime::Runtime,
    folder: tempfile::TempDir,
}

impl Site {
    fn new() -> Site {
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build().unwrap();
        let plan = EtcdPlan { endpoints: 1, prefix: "/m/".into(), ..EtcdPlan::default() };
        let etcd = runtime.block_on(Etcd::start(plan, Log::new(Clock::default(), false))).unwrap();
        let folder = tempfile::tempdir().unwrap();
        let text =
            format!("endpoints = [\"http://{}\"]\nprefix = \"/m/\"\nkeep = \".\"\n", etcd.endpoints[0]);
        std::fs::write(folder.path().join("etcd.toml"), text).unwrap();
        Site { etcd, runtime, folder }
    }

    fn command(&self, words: &[&str]) -> Command {
        let file: PathBuf = self.folder.path().join("etcd.toml");
        let mut command = Command::new(env!("CARGO_BIN_EXE_lilacquay"));
        command.args(["members", "--etcd"]).arg(file).args(words);
        command.stdout(Stdio::piped()).stderr(Stdio::piped());
        command
    }

    fn run(&self, words: &[&str]) -> (bool, String) {
        let Output { status, stdout, stderr } = self.command(words).output().unwrap();
        let text = String::from_utf8_lossy(&stdout).into_owned() + &String::from_utf8_lossy(&stderr);
        (status.success(), text)
    }

    /// The words of each line of the list.
    fn list(&self) -> Vec<Vec<String>> {
        let (good, text) = self.run(&[]);
        assert!(good, "{text}");
        let words = |line: &str| line.split_whitespace().map(str::to_owned).collect();
        text.lines().skip(2).map(words).collect()
    }

    fn listed(&self, id: &str) -> bool {
        self.etcd.with_store(|store| store.get(format!("/m/{id}").as_bytes()).is_some())
    }
}

#[test]
fn a_server_is_put_drained_undrained_and_removed() {
    let site = Site::new();
    let put = ["put", "box-1", "--addr", "10.0.0.7:6379", "--zone", "a", "--kind", "m", "--weight", "2"];
    assert_eq!(site.run(&put), (true, "box-1 is listed, revision 2\n".into()));
    let row = |state: &str, revision: &str| {
        ["box-1", "10.0.0.7:6379", "a", "m", state, "2", "0", revision, "-"].map(str::to_owned).to_vec()
    };
    assert_eq!(site.list(), [row("serving", "2")]);
    assert_eq!(site.run(&["drain", "box-1"]).1, "box-1 drains, revision 3\n");
    assert_eq!(site.list(), [row("draining", "3")]);
    assert_eq!(site.run(&["undrain", "box-1"]).1, "box-1 serves, revision 4\n");
    assert_eq!(site.list(), [row("serving", "4")]);
    let head = site.run(&["list"]).1;
    assert!(head.starts_with("revision 4, 0 s old, from http://127.0.0.1:"), "{head}");
    assert_eq!(site.run(&["remove", "box-1"]).1, "box-1 is removed, revision 5\n");
    let (good, text) = site.run(&["drain", "box-1"]);
    assert!(!good && text.contains("no server box-1 is listed"), "{text}");
    site.etcd.put("junk", "?");
    assert!(site.run(&[]).1.contains("can't be read, nodes keep it as it was"));
    let (good, text) = site.run(&["put", "a b", "--addr", "10.0.0.7:6379"]);
    assert!(!good && text.contains("the id has a blank"), "{text}");
}

#[test]
fn without_etcd_the_kept_list_is_printed_with_its_age() {
    let site = Site::new();
    site.etcd.set_all_faults(&EtcdFaults { refuse: true, ..EtcdFaults::default() });
    while std::net::TcpStream::connect(site.etcd.endpoints[0]).is_ok() {}
    let (good, text) = site.run(&[]);
    assert!(!good && text.contains("no endpoint can be reached") && text.contains("refused"), "{text}");
    let entry = layout::parse_value("box-1", br#"{"addr":"10.0.0.7:6379","state":"draining"}"#).unwrap();
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    let as_of = now.as_micros() as u64 - 90_000_000;
    let kept =
        CachedList { prefix: "/m/".into(), cluster: 1, revision: 812, as_of, servers: vec![(entry, 7)] };
    kept.write(site.folder.path()).unwrap();
    let (good, text) = site.run(&["list"]);
    assert!(good && text.starts_with("revision 812, 9") && text.contains("this is the kept list"), "{text}");
    assert!(text.contains("box-1") && text.contains("draining"), "{text}");
}

#[test]
fn a_server_on_a_lease_lives_as_long_as_who_holds_it() {
    let site = Site::new();
    let hold = ["put", "box-1", "--addr", "10.0.0.7:6379", "--lease", "1"];
    let start = || {
        let mut child = site.command(&hold).spawn().unwrap();
        let mut first = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut first).unwrap();
        assert!(first.contains("is listed while this runs"), "{first}");
        Running(child)
    };
    let holder = start();
    let begun = std::time::Instant::now();
    while begun.elapsed().as_secs_f64() < 2.5 {
        assert!(site.listed("box-1"), "renewed");
        std::thread::sleep(std::time::Duration::from_millis(10));
    }
    let kill = |holder: &Running, signal: &str| {
        assert!(Command::new("kill").args([signal, &holder.0.id().to_string()]).status().unwrap().success());
    };
    kill(&holder, "-KILL");
    while site.listed("box-1") {
        std::thread::sleep(std::time::Duration::from_millis(10)); // its lease runs out
    }
    let mut holder = start();
    kill(&holder, "-TERM");
    assert!(holder.0.wait().unwrap().success());
    assert!(!site.listed("box-1"), "given back at once");
    // A lease that was lost, as after a long cut, is taken anew.
    let _holder = start();
    site.runtime.block_on(async {
        let lease = site.etcd.with_store(|store| store.get(b"/m/box-1").map(|kv| kv.lease)).unwrap();
        site.etcd.with_store(|store| store.revoke_lease(lease)).unwrap();
    });
    while !site.listed("box-1") {
        std::thread::sleep(std::time::Duration::from_millis(10));
    }
}
