//! A node's control socket: a Unix socket in its state folder, over which operators order servers away and read what
//! holds. `docs/control.md` has the words.

mod client;
mod folder;
mod server;
mod words;

pub use client::{Client, ClientError};
pub use folder::Folder;
pub use server::Control;
pub use words::{Answer, Question, Server, Standing, Verb, Version};
