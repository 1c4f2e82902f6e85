//! The node with its list of servers from a stand-in etcd.

mod common;

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use common::{Fake, Node, PATIENCE};
use lilacquay_fleet::clients::{self, Load, Report};
use lilacquay_fleet::etcd::{Etcd, EtcdFaults, EtcdPlan};
use lilacquay_fleet::record::{Event, Log, ServerState};
use lilacquay_fleet::script::{Script, Step, watch_faults};
use lilacquay_fleet::verdict::check;
use lilacquay_fleet::{Clock, Fleet, FleetConfig};
use serde_json::{Value, json};
use tokio::runtime::Runtime;

/// What the settings allow between word of a drain and the last thing sent, in microseconds.
const GRACE: u64 = 500_000;

fn runtime() -> Runtime {
    tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build().unwrap()
}

/// A folder with all that `serve` reads, for a fleet with etcd. The JSON knows of no server and no discovery.
fn folder(fleet: &Fleet) -> tempfile::TempDir {
    let json = fleet.configuration(([127, 0, 0, 1], 0).into(), 512);
    let mut json: Value = serde_json::from_str(&json).unwrap();
    json["known"] = json!({});
    json.as_object_mut().unwrap().remove("discovery");
    options(&json.to_string(), &fleet.etcd_options().unwrap())
}

fn options(json: &str, etcd: &str) -> tempfile::TempDir {
    let folder = tempfile::tempdir().unwrap();
    let write = |name: &str, text: &str| std::fs::write(folder.path().join(name), text).unwrap();
    write("node.json", json);
    write("serve.toml", "node = \"node.json\"\netcd = \"etcd.toml\"\n");
    write("etcd.toml", &format!("keep = \"state\"\n{etcd}"));
    folder
}

fn play(fleet: &Fleet, load: Load, script: Script) -> Report {
    let (start, runtime) = (Instant::now(), runtime());
    let load = Load { keep_requests: true, ..load };
    let running = runtime.spawn(clients::run(load, fleet.clock().clone(), Arc::default()));
    for (at, step) in script {
        std::thread::sleep((start + at).saturating_duration_since(Instant::now()));
        fleet.step(step).unwrap();
    }
    runtime.block_on(running).unwrap()
}

#[test]
fn no_rule_breaks_while_watches_are_compacted_and_lost_on_twenty_seeds() {
    let time = Duration::from_secs(4);
    let drains = AtomicUsize::new(0);
    for seeds in (0..20).collect::<Vec<u64>>().chunks(5) {
        std::thread::scope(|scope| {
            for &seed in seeds {
                let drains = &drains;
                scope.spawn(move || {
                    let fleet =
                        Fleet::start(FleetConfig { seed, etcd_endpoints: 3, ..FleetConfig::default() })
                            .unwrap();
                    let folder = folder(&fleet);
                    let node = Node::serving(folder.path());
                    node.logged("following");
                    let load = Load { rate: 150.0, ..Load::standard(node.addr(), time, seed) };
                    let report = play(&fleet, load, watch_faults(seed, 6, 3, time));
                    let (records, dropped) = fleet.records();
                    let broken =
                        check((&records, dropped), &report.requests, report.unsolicited_answers, GRACE);
                    assert_eq!(broken, [], "seed {seed}");
                    let served = report.served_latencies().len() as usize;
                    assert!(served > report.requests.len() * 3 / 4, "seed {seed}: {served}");
                    let told = records.iter().filter(|r| r.event == Event::StateSent(ServerState::Draining));
                    drains.fetch_add(told.count(), Ordering::Relaxed);
                });
            }
        });
    }
    let drains = drains.into_inner();
    assert!(drains > 100, "{drains} drains were told, so the verdict says little");
}

#[test]
fn a_restart_while_etcd_is_down_for_30_s_serves_from_the_kept_list_and_catches_up() {
    let fleet = Fleet::start(FleetConfig { etcd_endpoints: 2, ..FleetConfig::default() }).unwrap();
    let folder = folder(&fleet);
    let mut node = Node::serving(folder.path());
    node.logged("following 7 servers");
    let kept = folder.path().join("state/members");
    wait_until(|| kept.exists());
    let faults = |refuse| Step::Etcd { endpoint: None, faults: EtcdFaults { refuse, ..Default::default() } };
    fleet.step(faults(true)).unwrap();
    node.terminate();
    assert!(node.exit());
    let down = Duration::from_secs(30);
    let node = Node::serving(folder.path());
    let told = node.logged("kept list");
    assert!(told.contains("7 servers from the kept list of revision 8") && told.contains(" s old"), "{told}");
    let load = Load { rate: 100.0, ..Load::standard(node.addr(), down + Duration::from_secs(4), 3) };
    let script = vec![(down / 2, Step::Drain { server: "box-0".into() }), (down, faults(false))];
    let report = play(&fleet, load, script);
    let following = node.logged("following 7 servers");
    assert!(following.contains("revision 9"), "{following}");
    let (records, dropped) = fleet.records();
    let broken = check((&records, dropped), &report.requests, report.unsolicited_answers, GRACE);
    assert_eq!(broken, []);
    assert!(report.served_latencies().len() as usize > report.requests.len() * 9 / 10, "{report:?}");
    let drained = Event::StateSent(ServerState::Draining);
    let at = records.iter().find(|r| &*r.server == "box-0" && r.event == drained).expect("it was told").at;
    let asked = |from: u64, to: u64| {
        let there = records.iter().filter(|r| &*r.server == "box-0" && r.event == Event::FirstByte);
        there.filter(|r| (from..to).contains(&r.at)).count()
    };
    assert!(asked(at - 5_000_000, at) > 10, "the kept list knows of no drain");
    assert_eq!(asked(at + GRACE + 50_000, u64::MAX), 0, "it has caught up");
}

/// Waits for something that another process does on the disk.
fn wait_until(done: impl Fn() -> bool) {
    let start = Instant::now();
    while !done() {
        assert!(start.elapsed() < PATIENCE);
        std::thread::sleep(std::time::Duration::from_millis(10));
    }
}

fn value(addr: std::net::SocketAddr, kind: &str, state: &str) -> String {
    json!({"addr": addr.to_string(), "zone": "a", "kind": kind, "state": state}).to_string()
}

fn etcd(runtime: &Runtime, endpoints: usize) -> (Etcd, String) {
    let plan = EtcdPlan { endpoints, prefix: "/m/".into(), ..EtcdPlan::default() };
    let etcd = runtime.block_on(Etcd::start(plan, Log::new(Clock::default(), false))).unwrap();
    let ends: Vec<_> = etcd.endpoints.iter().map(|addr| format!("\"http://{addr}\"")).collect();
    (etcd, format!("prefix = \"/m/\"\nendpoints = [{}]\n", ends.join(",")))
}

fn json_with(known: &str, discovery: &Fake) -> String {
    let (settings, discovery) = (common::SETTINGS, discovery.addr);
    format!(
        r#"{{"name":"n0","seed":"1","listen":"127.0.0.1:0","discovery":"{discovery}","known":{known},"settings":{settings}}}"#
    )
}

#[test]
fn etcd_goes_before_discovery_from_its_first_list_on() {
    let (runtime, discovery, origin) = (runtime(), Fake::http(), Fake::http());
    let (known, told, listed) = (Fake::cache(), Fake::cache(), Fake::cache());
    let (etcd, settings) = etcd(&runtime, 1);
    etcd.put("c", &value(listed.addr, "m", "serving"));
    etcd.put("o", &value(origin.addr, "origin", "serving"));
    etcd.set_all_faults(&EtcdFaults { refuse: true, ..Default::default() });
    let json = json_with(&common::list(1, &[("a", known.addr)], origin.addr), &discovery);
    let folder = options(&json, &settings);
    let node = Node::serving(folder.path());
    let mut client = node.client();
    client.get("k1", "c=read,d=2000");
    known.call().value("known"); // neither has told anything
    assert_eq!(client.answer().as_deref(), Some("known"));
    discovery.call().http("200 OK", &common::list(5, &[("b", told.addr)], origin.addr));
    let watch = discovery.call(); // the list has been taken
    client.get("k2", "c=read,d=2000");
    told.call().value("told"); // etcd is not there yet
    assert_eq!(client.answer().as_deref(), Some("told"));
    etcd.set_all_faults(&EtcdFaults::default());
    node.logged("etcd goes before discovery");
    node.logged("following 2 servers");
    assert_eq!(discovery.closed(), 0, "its watch is over");
    drop(watch);
    client.get("k3", "c=read,d=2000");
    listed.call().value("listed");
    assert_eq!(client.answer().as_deref(), Some("listed"));
    // And it stays so while etcd is lost.
    etcd.set_all_faults(&EtcdFaults { refuse: true, ..Default::default() });
    node.logged("failure 2");
    client.rest();
    client.get("k4", "c=read,d=2000");
    listed.call().value("still");
    assert_eq!(client.answer().as_deref(), Some("still"));
    assert!(discovery.called().is_none());
}

#[test]
fn a_reload_follows_etcd_to_other_endpoints() {
    let (runtime, discovery, origin) = (runtime(), Fake::http(), Fake::http());
    let (old_box, new_box) = (Fake::cache(), Fake::cache());
    let (old, settings) = etcd(&runtime, 1);
    old.put("c", &value(old_box.addr, "m", "serving"));
    old.put("o", &value(origin.addr, "origin", "serving"));
    let folder = options(&json_with("{}", &discovery), &settings);
    let node = Node::serving(folder.path());
    node.logged("following 2 servers");
    let (new, settings) = etcd(&runtime, 2);
    new.put("c", &value(new_box.addr, "m", "serving"));
    new.put("o", &value(origin.addr, "origin", "serving"));
    new.put("x", &value(old_box.addr, "m", "draining"));
    let file = folder.path().join("etcd.toml");
    std::fs::write(&file, "endpoints = 7").unwrap();
    node.reload_files();
    assert!(node.logged("kept as it was").contains("not a list of strings"));
    std::fs::write(&file, format!("keep = \"state\"\n{settings}")).unwrap();
    node.reload_files();
    node.logged("etcd is at");
    node.logged("following 3 servers");
    let mut client = node.client();
    client.get("k", "c=read,d=2000");
    new_box.call().value("new");
    assert_eq!(client.answer().as_deref(), Some("new"));
}

#[test]
fn a_box_of_which_nothing_can_be_read_stays_and_is_named_in_the_log() {
    let (runtime, discovery, origin, cache) = (runtime(), Fake::http(), Fake::http(), Fake::cache());
    let (etcd, settings) = etcd(&runtime, 1);
    etcd.put("c", &value(cache.addr, "m", "serving"));
    etcd.put("o", &value(origin.addr, "origin", "serving"));
    let folder = options(&json_with("{}", &discovery), &settings);
    let node = Node::serving(folder.path());
    node.logged("following 2 servers");
    etcd.put("c", "{\"addr\":\"nowhere\",\"state\":\"serving\"}");
    let told = node.logged("can't be read");
    assert!(told.contains("\"c\"") && told.contains("socket address"), "{told}");
    let mut client = node.client();
    client.get("k", "c=read,d=2000");
    cache.call().value("as it was");
    assert_eq!(client.answer().as_deref(), Some("as it was"));
}

#[test]
fn a_kept_list_that_is_damaged_is_set_aside_and_the_known_one_serves() {
    let (runtime, discovery, origin, cache) = (runtime(), Fake::http(), Fake::http(), Fake::cache());
    let (etcd, settings) = etcd(&runtime, 1);
    etcd.set_all_faults(&EtcdFaults { refuse: true, ..Default::default() });
    let json = json_with(&common::list(1, &[("a", cache.addr)], origin.addr), &discovery);
    let folder = options(&json, &settings);
    let state = |name: &str| Path::join(folder.path(), format!("state/{name}"));
    std::fs::create_dir(state("")).unwrap();
    std::fs::write(state("members"), "lilacquay members 1 0 2\n{}").unwrap();
    let node = Node::serving(folder.path());
    assert!(node.logged("can't be used").contains("checksum"));
    assert!(state("members.bad").exists() && !state("members").exists());
    let mut client = node.client();
    client.get("k", "c=read,d=2000");
    cache.call().value("known");
    assert_eq!(client.answer().as_deref(), Some("known"));
}

#[test]
fn a_folder_that_cannot_be_written_is_said_once_and_the_node_serves_on() {
    let (runtime, discovery, origin, cache) = (runtime(), Fake::http(), Fake::http(), Fake::cache());
    let (etcd, settings) = etcd(&runtime, 1);
    etcd.put("c", &value(cache.addr, "m", "serving"));
    etcd.put("o", &value(origin.addr, "origin", "serving"));
    let folder = options(&json_with("{}", &discovery), &settings);
    std::fs::write(folder.path().join("state"), "no folder").unwrap();
    let node = Node::serving(folder.path());
    node.logged("can't be kept for now");
    // Tried again at the next change, a second later, and not said again before what comes of the reload.
    std::thread::sleep(Duration::from_millis(1100));
    etcd.put("d", &value(cache.addr, "m", "draining"));
    let mut client = node.client();
    client.get("k", "c=read,d=2000");
    cache.call().value("served");
    assert_eq!(client.answer().as_deref(), Some("served"));
    std::thread::sleep(Duration::from_millis(200));
    node.reload_files();
    let between = node.logged_until("etcd is at");
    assert!(!between.iter().any(|line| line.contains("can't be kept")), "{between:#?}");
}
