//! The list of servers, as a source of members tells it.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedSender;

use crate::driver::Message;

/// What a source tells: the whole list, or what has changed in it.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct List {
    /// Servers that a whole list leaves out are gone.
    pub full: bool,
    /// The entries.
    pub servers: Vec<Entry>,
}

/// A server in the list.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
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
    pub state: State,
    /// Its size in comparison with the others.
    pub weight: Option<f64>,
    /// When it last started, Unix time in milliseconds; 0 is long ago.
    pub started_ms: f64,
}

/// Whether a server takes requests.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum State {
    /// In service.
    Serving,
    /// Finishing what it has; wants nothing new.
    Draining,
    /// Gone.
    Deleted,
}

/// By which a source of members tells the core.
#[derive(Clone)]
pub struct Members {
    pub(crate) to: UnboundedSender<Message>,
    /// Which source it is, for operators.
    pub(crate) source: &'static str,
    pub(crate) asked: Option<Arc<Notify>>,
}

impl Members {
    /// The same, in the name of a source.
    pub fn of(mut self, source: &'static str) -> Members {
        self.source = source;
        self
    }

    /// Tells a list. False once the core has ended.
    pub fn list(&self, list: List) -> bool {
        self.to.send(Message::List(list, self.source, None)).is_ok()
    }

    /// Tells a list with the version from which its source goes on. False once the core has ended.
    pub fn list_at(&self, list: List, version: u64) -> bool {
        self.to.send(Message::List(list, self.source, Some(version))).is_ok()
    }

    /// Tells that a call for the list failed, or that the subscription broke; the list held stays. False once
    /// the core has ended.
    pub fn failed(&self) -> bool {
        self.to.send(Message::ListFailed).is_ok()
    }

    /// Where the list must be subscribed to: told when the module asks for that, at first and after a failure.
    pub fn asked(&self) -> Option<&Notify> {
        self.asked.as_deref()
    }
}
