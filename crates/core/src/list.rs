//! The list of servers, as a membership source reports it.

use std::net::SocketAddr;

/// The full list of servers, or the changes since the last one.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct ServerList {
    /// Whether this is the full list. Servers that a full list omits have been removed.
    pub full: bool,
    /// The listed or changed servers.
    pub servers: Vec<ServerEntry>,
}

/// A server in the list.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerEntry {
    /// The server's name, the same at every node.
    pub id: String,
    /// The address at which this node reaches the server.
    pub addr: SocketAddr,
    /// The name of the server's zone.
    pub zone: String,
    /// The name of the machine type; one type denotes the origin.
    pub kind: String,
    /// The server's cell, for classes whose repeated writes are deduplicated within a cell.
    pub cell: u32,
    /// Whether the server takes requests.
    pub state: ServerState,
    /// The server's capacity relative to the others.
    pub weight: Option<f64>,
    /// When the server last started, Unix time in milliseconds; 0 means long ago.
    pub started_ms: f64,
}

/// Whether a server takes requests.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ServerState {
    /// In service.
    Serving,
    /// Finishing its open requests; must not be sent new ones.
    Draining,
    /// Removed from the list.
    Deleted,
}
