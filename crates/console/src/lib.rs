//! A terminal console: it watches and steers one node by its control socket.
//!
//! [`Model`] is what is shown and what keys do, without I/O: inputs go in, [`Effect`]s come out. [`draw`] lays a model out on
//! a screen of any size. `connection` speaks to the node on threads of its own, `terminal` holds the terminal and gives it
//! back, and [`run`] puts them together.

mod connection;
mod dialog;
mod keys;
mod model;
mod output_rate;
mod run;
mod terminal;
mod text;
mod view;

pub use dialog::Dialog;
pub use keys::Key;
pub use model::{Effect, Input, Model, Screen};
pub use output_rate::Pace;
pub use run::{Options, run};
pub use terminal::{Restored, with_restored};
pub use text::plain;
pub use view::{Look, draw};
