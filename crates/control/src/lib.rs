//! A node's control socket: a Unix socket in its state folder, over which operators order servers away and read what
//! holds. `docs/control.md` has the words.

mod client;
mod event_log;
mod folder;
mod messages;
mod process;
mod publisher;
mod server;

pub use client::{Client, ClientError, Stream};
pub use event_log::EventLog;
pub use folder::Folder;
pub use messages::{
    Answer, CopyNow, FellowNow, HeldBy, KindNow, OrderHeld, PeerCopy, Question, RecordNow, Server, Sight,
    Standing, Verb, Version, WayNow,
};
pub use server::{Command, CommonOrder, Control, Host, Outcome, SiblingsAsk};
