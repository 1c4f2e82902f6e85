//! The JSON responses of the discovery service.

use std::net::SocketAddr;

use lilacquay_core::{ServerEntry, ServerList, ServerState};
use serde::Deserialize;
use serde::de::IgnoredAny;

/// A response of the discovery service.
#[derive(Deserialize, Default, Debug)]
#[serde(from = "ResponseBody")]
pub struct DiscoveryResponse {
    /// Version of the list, from which a watch continues.
    pub version: u64,
    /// The full list, or the changes to it.
    pub list: ServerList,
    /// Number of entries that could not be parsed.
    pub skipped: usize,
}

#[derive(Deserialize)]
struct ResponseBody {
    #[serde(default)]
    version: u64,
    #[serde(default)]
    full: bool,
    #[serde(default)]
    servers: Vec<ListedEntry>,
}

/// An entry of the list. Entries are parsed one by one, so that a malformed entry does not make the others unusable.
#[derive(Deserialize)]
#[serde(untagged)]
enum ListedEntry {
    Server(Server),
    Malformed(IgnoredAny),
}

/// A server in the JSON format of the discovery service.
#[derive(Deserialize)]
struct Server {
    id: String,
    addr: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    kind: String,
    #[serde(default)]
    cell: u32,
    state: ReportedState,
    #[serde(default)]
    weight: Option<f64>,
    #[serde(default)]
    started_ms: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "UPPERCASE")]
enum ReportedState {
    Serving,
    Draining,
    Deleted,
}

impl From<ResponseBody> for DiscoveryResponse {
    fn from(body: ResponseBody) -> DiscoveryResponse {
        let listed = body.servers.len();
        let well_formed = body.servers.into_iter().filter_map(|entry| match entry {
            ListedEntry::Server(server) => Some(ServerEntry::from(server)),
            ListedEntry::Malformed(_) => None,
        });
        let servers: Vec<ServerEntry> = well_formed.collect();
        let skipped = listed - servers.len();
        DiscoveryResponse { version: body.version, list: ServerList { full: body.full, servers }, skipped }
    }
}

impl From<Server> for ServerEntry {
    fn from(server: Server) -> ServerEntry {
        let Server { id, addr, zone, kind, cell, state, weight, started_ms } = server;
        let state = match state {
            ReportedState::Serving => ServerState::Serving,
            ReportedState::Draining => ServerState::Draining,
            ReportedState::Deleted => ServerState::Deleted,
        };
        ServerEntry { id, addr, zone, kind, cell, state, weight, started_ms }
    }
}
