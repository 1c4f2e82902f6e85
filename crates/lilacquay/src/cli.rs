//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Args, Parser, Subcommand};

/// A cache-proxy node.
///
/// Without a command it is the platform's node: it reads the JSON file that EDGE_CONFIG names, and EDGE_LISTEN
/// and EDGE_DISCOVERY go before what that says.
#[derive(Parser)]
#[command(version)]
pub struct Cli {
    #[command(subcommand)]
    pub command: Option<Command>,
}

#[derive(Subcommand)]
pub enum Command {
    /// Run a node by a file of options; deploy/serve.toml documents each
    Serve {
        /// The options, in TOML
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Tell each mistake in a file of options, or in a platform's JSON; start nothing
    Check {
        /// What `serve --config` or EDGE_CONFIG would name
        file: PathBuf,
    },
    /// Run a whole site on loopback: stand-ins and one node
    Fleet(FleetArgs),
    /// Load a node of a stand-in fleet, in an open loop
    Load(LoadArgs),
    /// Show or change the list of servers in etcd
    Members(MembersArgs),
    /// Run a node as an appliance, by one file; `init FILE` writes a documented one
    Appliance(ApplianceArgs),
    /// Show a running node: its answers, its list, and its servers with what it has out at each
    Status(ControlArgs),
    /// Watch and steer a running node from a terminal
    Console(ConsoleArgs),
    /// Show what has happened at a running node
    Events(EventsArgs),
    /// Have a running node read its configuration again
    Reload(ControlArgs),
    /// Have a running node log more or less: error, warn, info, debug or trace
    Level(LevelArgs),
    /// Take a running node itself out of service: it tells fronts no and closes resting connections, and runs on
    Leave(ControlArgs),
    /// Have a node that has left be in service again
    Join(ControlArgs),
    /// Drain a running node itself: it answers all that it has taken, and ends
    Stop(ControlArgs),
    /// Have a running node write a bundle for whoever looks for a fault
    Diagnose(ControlArgs),
    /// Show what a running node sees of the other nodes: who is here, gone or not known, and who hears whom
    Siblings(ControlArgs),
    /// Show what a running node holds of what all nodes hold in common: orders, conflicts, who is behind
    Replica(ReplicaArgs),
    /// Show the orders that hold at a running node
    Orders(ControlArgs),
    /// Take a server out of service at a running node: it finishes what it has and gets nothing new
    Drain(DrainArgs),
    /// Lift the order that holds a server at a running node
    Undrain(UndrainArgs),
}

#[derive(Args)]
pub struct ControlArgs {
    /// The node's state folder, `folder` of [control] in its options
    #[arg(long, value_name = "FOLDER")]
    pub state: PathBuf,
    /// Print the answer in JSON
    #[arg(long)]
    pub json: bool,
}

#[derive(Args)]
#[command(subcommand_negates_reqs = true)]
pub struct ReplicaArgs {
    /// The node's state folder
    #[arg(long, value_name = "FOLDER", required = true)]
    pub state: Option<PathBuf>,
    /// Print the answer in JSON, which `diff` takes as well
    #[arg(long)]
    pub json: bool,
    #[command(subcommand)]
    pub order: Option<ReplicaOrder>,
}

#[derive(Subcommand)]
pub enum ReplicaOrder {
    /// Show in which records the copies of two nodes differ
    Diff {
        /// A state folder, or a file with what `replica --json` has printed
        one: PathBuf,
        /// Another
        other: PathBuf,
    },
}

#[derive(Args)]
pub struct ApplianceArgs {
    /// The appliance's file, in TOML; deploy/appliance.toml documents it
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
    #[command(subcommand)]
    pub order: Option<ApplianceOrder>,
}

#[derive(Subcommand)]
pub enum ApplianceOrder {
    /// Write a documented file, where there is none yet
    Init {
        /// Where
        file: PathBuf,
    },
}

#[derive(Args)]
pub struct ConsoleArgs {
    /// The node's state folder
    #[arg(long, value_name = "FOLDER")]
    pub state: PathBuf,
    /// Most bytes a second to the terminal, over longer than one screen; 960 suits a serial line of 9600 baud
    #[arg(long, value_name = "BYTES", default_value_t = 20_000, value_parser = clap::value_parser!(u32).range(100..))]
    pub bytes_per_second: u32,
    /// No colours, as with NO_COLOR in the environment
    #[arg(long)]
    pub no_colour: bool,
}

#[derive(Args)]
pub struct EventsArgs {
    #[command(flatten)]
    pub control: ControlArgs,
    /// Stay, and show those to come
    #[arg(long)]
    pub follow: bool,
    /// Only those behind this number
    #[arg(long, value_name = "NUMBER", default_value_t = 0)]
    pub after: u64,
    /// Only those with these words, in capitals or not
    #[arg(long, value_name = "WORDS")]
    pub search: Option<String>,
}

#[derive(Args)]
pub struct LevelArgs {
    /// From which level on
    pub level: String,
    /// At all nodes, where they hold orders in common
    #[arg(long)]
    pub everywhere: bool,
    #[command(flatten)]
    pub control: ControlArgs,
}

#[derive(Args)]
pub struct DrainArgs {
    /// The server's name in the list
    pub server: String,
    #[command(flatten)]
    pub control: ControlArgs,
    /// Only for this time, as in `10m`
    #[arg(long = "for", value_name = "TIME", value_parser = humantime::parse_duration)]
    pub time: Option<Duration>,
    /// Also after a restart of the node
    #[arg(long)]
    pub lasting: bool,
    /// Also if no cache serves after it
    #[arg(long, conflicts_with = "time")]
    pub force: bool,
    /// Stay until the node has nothing out at the server, and tell what it still holds; 60 s at most
    #[arg(long)]
    pub wait: bool,
    /// Only if the server's latest order has this number, 0 for none
    #[arg(long, value_name = "NUMBER")]
    pub seen: Option<u64>,
    /// Stay until so many nodes hold the order, where they hold orders in common; 3 s at most
    #[arg(long, value_name = "NODES")]
    pub wait_for: Option<usize>,
}

#[derive(Args)]
pub struct UndrainArgs {
    /// The server's name in the list
    pub server: String,
    #[command(flatten)]
    pub control: ControlArgs,
    /// Only if the server's latest order has this number
    #[arg(long, value_name = "NUMBER")]
    pub seen: Option<u64>,
    /// Stay until so many nodes hold the order, where they hold orders in common; 3 s at most
    #[arg(long, value_name = "NODES")]
    pub wait_for: Option<usize>,
}

#[derive(Args)]
pub struct MembersArgs {
    /// How to reach etcd, in TOML; deploy/etcd.toml documents it
    #[arg(long, value_name = "FILE")]
    pub etcd: PathBuf,
    #[command(subcommand)]
    pub order: Option<MembersOrder>,
}

#[derive(Subcommand)]
pub enum MembersOrder {
    /// Print the list with its revision, age and source; this is what is done without an order
    List,
    /// Write a server, whatever was there
    Put(PutArgs),
    /// Have a server finish what it has and get nothing new
    Drain {
        /// Its id
        id: String,
    },
    /// Have a drained server serve again
    Undrain {
        /// Its id
        id: String,
    },
    /// Remove a server
    Remove {
        /// Its id
        id: String,
    },
}

#[derive(Args)]
pub struct PutArgs {
    /// Its id, the same at every node
    pub id: String,
    /// Where nodes reach it
    #[arg(long)]
    pub addr: SocketAddr,
    /// The zone it stands in
    #[arg(long, default_value = "")]
    pub zone: String,
    /// Its kind of machine; one kind is the origin's
    #[arg(long, default_value = "")]
    pub kind: String,
    /// The cell, for classes whose repeats a cell discards
    #[arg(long, default_value_t = 0)]
    pub cell: u32,
    /// Its size in comparison with the others
    #[arg(long)]
    pub weight: Option<f64>,
    /// It has just started, and is cold
    #[arg(long)]
    pub cold: bool,
    /// Hold it on a lease of so many seconds: stay, renew it, and let the server go with this process
    #[arg(long, value_name = "SECONDS", value_parser = clap::value_parser!(i64).range(1..=86_400))]
    pub lease: Option<i64>,
}

#[derive(Args)]
pub struct FleetArgs {
    /// How many cache boxes
    #[arg(long, default_value_t = 6)]
    pub boxes: usize,
    /// Where the node listens; port 0 takes a free one
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// For all random choices
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Endpoints of a stand-in etcd; the node follows that in place of discovery
    #[arg(long, value_name = "ENDPOINTS", default_value_t = 0)]
    pub etcd: usize,
    /// How many of the boxes, the last of them, speak memcached; the node speaks it to clients too then
    #[arg(long, value_name = "BOXES", num_args = 0..=1, default_missing_value = "0")]
    pub memcached: Option<usize>,
    /// What goes wrong and when, in TOML; docs/fleet.md has an example
    #[arg(long, value_name = "FILE")]
    pub script: Option<PathBuf>,
    /// End by itself after this time, as in `30s`
    #[arg(long = "for", value_name = "TIME", value_parser = humantime::parse_duration)]
    pub time: Option<Duration>,
}

#[derive(Args)]
pub struct LoadArgs {
    /// The node
    #[arg(long)]
    pub to: SocketAddr,
    /// Requests a second; they come at random and don't wait for answers
    #[arg(long, default_value_t = 300.0)]
    pub rate: f64,
    /// For how long, as in `10s`
    #[arg(long = "for", value_name = "TIME", default_value = "10s", value_parser = humantime::parse_duration)]
    pub time: Duration,
    /// For all random choices; two loads at once need two seeds
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// How many keys
    #[arg(long, default_value_t = 1000)]
    pub keys: usize,
    /// How unevenly they are asked for: a Zipf exponent, 0 for all alike
    #[arg(long, default_value_t = 0.9)]
    pub skew: f64,
    /// Speak memcached's binary protocol, at the node's listener for that; each key has its class before it
    #[arg(long)]
    pub memcached: bool,
    /// Shares of lookup (a read), signup (a keyed write) and post (an unsafe write)
    #[arg(long, value_name = "LOOKUP,SIGNUP,POST", default_value = "0.94,0.05,0.01", value_parser = mix)]
    pub mix: Mix,
}

/// The shares of the classes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mix(pub [f64; 3]);

fn mix(text: &str) -> Result<Mix, String> {
    let shares: Vec<f64> = text.split(',').filter_map(|share| share.trim().parse().ok()).collect();
    let shares = <[f64; 3]>::try_from(shares).ok();
    let good = shares.filter(|shares| {
        shares.iter().all(|s| *s >= 0.0 && s.is_finite()) && shares.iter().sum::<f64>() > 0.0
    });
    good.map(Mix).ok_or_else(|| "write three shares, as in 0.94,0.05,0.01".into())
}
