//! Five processes of the program that are siblings, with a relay between each two.
#![allow(dead_code)] // not each file needs all of it

use lilacquay_fleet::cluster::{Cluster, ClusterPlan, Fault, LinkFaults};

pub const NODES: usize = 5;

pub struct Site {
    pub cluster: Cluster,
    pub folder: tempfile::TempDir,
}

/// What is out of the ordinary at none of them.
pub fn plan(seed: u64) -> ClusterPlan {
    ClusterPlan::new(env!("CARGO_BIN_EXE_lilacquay").into(), NODES, seed)
}

impl Site {
    pub fn of(plan: ClusterPlan) -> Site {
        let folder = tempfile::tempdir().unwrap();
        Site { cluster: Cluster::start(plan, folder.path()).unwrap(), folder }
    }

    /// One whose nodes all hold each other to be here.
    pub fn whole(seed: u64) -> Site {
        Site::of(plan(seed)).once_whole()
    }

    /// Once they do.
    pub fn once_whole(self) -> Site {
        self.until("all are here", |cluster| cluster.is_converged(&all()));
        self
    }

    pub fn until(&self, what: &str, holds: impl Fn(&Cluster) -> bool) {
        if !self.cluster.wait_until(holds) {
            let file = self.folder.path().join("events.jsonl");
            self.cluster.write_events(&file).unwrap();
            panic!("not {what}: {}", std::fs::read_to_string(file).unwrap());
        }
    }

    pub fn fault(&mut self, fault: Fault) {
        self.cluster.inject(&fault).unwrap();
    }

    /// Cuts all ways between two sides, or mends all ways.
    pub fn split(&mut self, one: &[usize], other: &[usize]) {
        for (from, to) in [(one, other), (other, one)] {
            self.fault(Fault::Links(from.into(), to.into(), LinkFaults::CUT));
        }
    }

    pub fn heal(&mut self) {
        self.fault(Fault::Links(all(), all(), LinkFaults::NONE));
    }

    /// What the nodes use together, of `NODES` whole parts.
    pub fn parts(&self) -> f64 {
        all().iter().map(|&node| self.part(node)).sum()
    }

    pub fn part(&self, node: usize) -> f64 {
        self.cluster.sibling_view(node).map_or(0.0, |sight| sight["part"].as_f64().unwrap())
    }

    /// How often the log of a node says something.
    pub fn said(&self, node: usize, words: &str) -> usize {
        let noted = self.cluster.events();
        noted.iter().filter(|noted| noted.node == Some(node) && noted.text.contains(words)).count()
    }

    /// Runs the program's command on a node; tells whether it went well, and what it printed.
    pub fn command(&self, node: usize, words: &[&str]) -> (bool, String) {
        let out = std::process::Command::new(env!("CARGO_BIN_EXE_lilacquay"))
            .args(words)
            .arg("--state")
            .arg(self.cluster.state_folder(node))
            .output()
            .unwrap();
        let text = String::from_utf8_lossy(&out.stdout).into_owned() + &String::from_utf8_lossy(&out.stderr);
        (out.status.success(), text)
    }
}

pub fn all() -> Vec<usize> {
    (0..NODES).collect()
}

pub fn others(node: usize) -> Vec<usize> {
    all().into_iter().filter(|&other| other != node).collect()
}
