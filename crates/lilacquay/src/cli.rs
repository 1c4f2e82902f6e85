//! The command line: clap turns these types into commands, flags and help texts.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Args, Parser, Subcommand};

/// A cache-proxy node.
///
/// Without a command it runs as the platform's node: it reads the JSON file that EDGE_CONFIG names; EDGE_LISTEN and
/// EDGE_DISCOVERY override the addresses in that file.
#[derive(Parser)]
#[command(version)]
pub struct Cli {
    #[command(subcommand)]
    pub command: Option<Command>,
}

#[derive(Subcommand)]
pub enum Command {
    /// Run a node with a file of options; deploy/serve.toml documents each
    Serve {
        /// The options, in TOML
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Report each mistake in a file of options, or in a platform's JSON; start nothing
    Check {
        /// The file that `serve --config` or EDGE_CONFIG would name
        file: PathBuf,
    },
    /// Run a whole site on loopback: one node, with simulated cache boxes and origin
    Fleet(FleetArgs),
    /// Send load to a node of a simulated fleet, in an open loop
    Load(LoadArgs),
    /// Show or change the list of servers in etcd
    Members(MembersArgs),
    /// Run a node as an appliance, with one file; `init FILE` writes a documented one
    Appliance(ApplianceArgs),
    /// Show a running node: its answers, its list, and its servers with the requests in flight at each
    Status(ControlArgs),
    /// Watch and control a running node from a terminal
    Console(ConsoleArgs),
    /// Show the events of a running node
    Events(EventsArgs),
    /// Make a running node read its configuration again
    Reload(ControlArgs),
    /// Set the log level of a running node: error, warn, info, debug or trace
    Level(LevelArgs),
    /// Take a running node itself out of service: it fails health checks and closes idle connections, and keeps running
    Leave(ControlArgs),
    /// Put a node that has left back in service
    Join(ControlArgs),
    /// Drain a running node itself: it answers all requests that it has accepted, and exits
    Stop(ControlArgs),
    /// Make a running node write a bundle for diagnosing a fault
    Diagnose(ControlArgs),
    /// Show what a running node knows of the other nodes: which are here, gone or not known, and which hears which
    Siblings(ControlArgs),
    /// Show a running node's copy of the state that all nodes replicate: orders, conflicts, and which nodes are behind
    Replica(ReplicaArgs),
    /// Show the orders in force at a running node
    Orders(ControlArgs),
    /// Take a server out of service at a running node: it finishes its requests and gets no new ones
    Drain(DrainArgs),
    /// Lift the order that keeps a server out of service at a running node
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
    /// Print the answer in JSON, which `diff` accepts as well
    #[arg(long)]
    pub json: bool,
    #[command(subcommand)]
    pub command: Option<ReplicaCommand>,
}

#[derive(Subcommand)]
pub enum ReplicaCommand {
    /// Show in which records the copies of two nodes differ
    Diff {
        /// A state folder, or a file with the output of `replica --json`
        #[arg(value_name = "ONE")]
        first: PathBuf,
        /// Another state folder or file
        #[arg(value_name = "OTHER")]
        second: PathBuf,
    },
}

#[derive(Args)]
pub struct ApplianceArgs {
    /// The appliance's file, in TOML; deploy/appliance.toml documents it
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
    #[command(subcommand)]
    pub command: Option<ApplianceCommand>,
}

#[derive(Subcommand)]
pub enum ApplianceCommand {
    /// Write a documented file; an existing file is not overwritten
    Init {
        /// The file to write
        file: PathBuf,
    },
}

#[derive(Args)]
pub struct ConsoleArgs {
    /// The node's state folder
    #[arg(long, value_name = "FOLDER")]
    pub state: PathBuf,
    /// Most bytes a second to the terminal, on average over more than one screen; 960 suits a serial line of 9600 baud
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
    /// Keep running, and show new events as they come
    #[arg(long)]
    pub follow: bool,
    /// Only events after this number
    #[arg(long, value_name = "NUMBER", default_value_t = 0)]
    pub after: u64,
    /// Only events that contain this text, regardless of case
    #[arg(long, value_name = "WORDS")]
    pub search: Option<String>,
}

#[derive(Args)]
pub struct LevelArgs {
    /// The least severe level to log
    pub level: String,
    /// At all nodes, if they replicate orders
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
    /// Only for this duration, as in `10m`
    #[arg(long = "for", value_name = "TIME", value_parser = humantime::parse_duration)]
    pub duration: Option<Duration>,
    /// Keep the order over a restart of the node
    #[arg(long)]
    pub lasting: bool,
    /// Even if no cache is left in service
    #[arg(long, conflicts_with = "duration")]
    pub force: bool,
    /// Wait until the node has no request in flight at the server, and report what it still holds; 60 s at most
    #[arg(long)]
    pub wait: bool,
    /// Only if the server's latest order has this number; 0 for none
    #[arg(long, value_name = "NUMBER")]
    pub seen: Option<u64>,
    /// Wait until this many nodes hold the order, if they replicate orders; 3 s at most
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
    /// Wait until this many nodes hold the order, if they replicate orders; 3 s at most
    #[arg(long, value_name = "NODES")]
    pub wait_for: Option<usize>,
}

#[derive(Args)]
pub struct MembersArgs {
    /// How to reach etcd, in TOML; deploy/etcd.toml documents it
    #[arg(long, value_name = "FILE")]
    pub etcd: PathBuf,
    #[command(subcommand)]
    pub command: Option<MembersCommand>,
}

#[derive(Subcommand)]
pub enum MembersCommand {
    /// Print the list with its revision, age and source; the default
    List,
    /// Write a server's entry, and replace an existing one
    Put(PutArgs),
    /// Make a server finish its requests and get no new ones
    Drain {
        /// The server's id
        id: String,
    },
    /// Put a drained server back in service
    Undrain {
        /// The server's id
        id: String,
    },
    /// Remove a server
    Remove {
        /// The server's id
        id: String,
    },
}

#[derive(Args)]
pub struct PutArgs {
    /// The server's id, the same at every node
    pub id: String,
    /// The address at which nodes reach it
    #[arg(long)]
    pub addr: SocketAddr,
    /// The zone that it is in
    #[arg(long, default_value = "")]
    pub zone: String,
    /// Its kind of machine; one kind is reserved for the origin
    #[arg(long, default_value = "")]
    pub kind: String,
    /// Its cell, for classes whose duplicate requests are discarded within a cell
    #[arg(long, default_value_t = 0)]
    pub cell: u32,
    /// Its capacity relative to the other servers
    #[arg(long)]
    pub weight: Option<f64>,
    /// It has just started with an empty cache
    #[arg(long)]
    pub cold: bool,
    /// Hold the entry on a lease of this many seconds: keep running and renew it; on SIGINT or SIGTERM the entry
    /// is removed if etcd can be reached, otherwise once the lease has run out
    #[arg(long, value_name = "SECONDS", value_parser = clap::value_parser!(i64).range(1..=86_400))]
    pub lease: Option<i64>,
}

#[derive(Args)]
pub struct FleetArgs {
    /// Number of cache boxes
    #[arg(long, default_value_t = 6)]
    pub boxes: usize,
    /// The address on which the node listens; port 0 picks a free port
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Seed of all random choices
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of endpoints of a simulated etcd; the node follows it in place of discovery
    #[arg(long, value_name = "ENDPOINTS", default_value_t = 0)]
    pub etcd: usize,
    /// Number of boxes, counted from the last, that speak memcached; with this flag the node also speaks it to clients
    #[arg(long, value_name = "BOXES", num_args = 0..=1, default_missing_value = "0")]
    pub memcached: Option<usize>,
    /// Which faults occur and when, in TOML; docs/fleet.md has an example
    #[arg(long, value_name = "FILE")]
    pub script: Option<PathBuf>,
    /// Exit after this duration, as in `30s`
    #[arg(long = "for", value_name = "TIME", value_parser = humantime::parse_duration)]
    pub duration: Option<Duration>,
}

#[derive(Args)]
pub struct LoadArgs {
    /// The address of the node
    #[arg(long)]
    pub to: SocketAddr,
    /// Requests a second; they are sent at random times and do not wait for answers
    #[arg(long, default_value_t = 300.0)]
    pub rate: f64,
    /// Duration, as in `10s`
    #[arg(long = "for", value_name = "TIME", default_value = "10s", value_parser = humantime::parse_duration)]
    pub duration: Duration,
    /// Seed of all random choices; two loads at the same time need different seeds
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of keys
    #[arg(long, default_value_t = 1000)]
    pub keys: usize,
    /// How unevenly the keys are requested: a Zipf exponent; 0 requests all equally
    #[arg(long, default_value_t = 0.9)]
    pub skew: f64,
    /// Use memcached's binary protocol, on the node's listener for it; each key is prefixed with its class
    #[arg(long)]
    pub memcached: bool,
    /// Shares of lookup (a read), signup (a keyed write) and post (an unsafe write)
    #[arg(long, value_name = "LOOKUP,SIGNUP,POST", default_value = "0.94,0.05,0.01", value_parser = parse_class_shares)]
    pub mix: Mix,
}

/// The relative shares of the classes lookup, signup and post.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mix(pub [f64; 3]);

/// Parses three comma-separated shares; each must be finite and not negative, and their sum above 0.
fn parse_class_shares(text: &str) -> Result<Mix, String> {
    let shares: Vec<f64> = text.split(',').filter_map(|share| share.trim().parse().ok()).collect();
    let shares = <[f64; 3]>::try_from(shares).ok();
    let valid = shares.filter(|shares| {
        shares.iter().all(|share| *share >= 0.0 && share.is_finite()) && shares.iter().sum::<f64>() > 0.0
    });
    valid.map(Mix).ok_or_else(|| "write three shares, as in 0.94,0.05,0.01".into())
}
