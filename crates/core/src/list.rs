//! The list of servers, as a source of members tells it.

use std::net::SocketAddr;

/// What a source tells: the whole list, or what has changed in it.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct ServerList {
    /// Servers that a whole list leaves out are gone.
    pub full: bool,
    /// The entries.
    pub servers: Vec<ServerEntry>,
}

/// A server in the list.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerEntry {
    /// Its name, the same at every node.
    pub id: String,
    /// Where it listens, as this node sees it.
    pub addr: SocketAddr,
    /// The zone it stands in, by name.
    pub zone: String,
    /// Its kind of machine, by name; one kind is the origin's.
    pub kind: String,
    /// The cell, for classes whose repeats a cell discards.
    pub cell: u32,
    /// Whether it takes requests.
    pub state: ServerState,
    /// Its size in comparison with the others.
    pub weight: Option<f64>,
    /// When it last started, Unix time in milliseconds; 0 is long ago.
    pub started_ms: f64,
}

/// Whether a server takes requests.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ServerState {
    /// In service.
    Serving,
    /// Finishing what it has; wants nothing new.
    Draining,
    /// Gone.
    Deleted,
}
