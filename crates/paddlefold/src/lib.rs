//! Decisions for a proxy that spreads keys over cache servers before a slow origin.
//!
//! A [`Balancer`] is fed [`Event`]s and answers with [`Action`]s. It does no I/O, reads no clock
//! and starts no thread: the embedder carries out the actions and passes in the time.
//!
//! ```
//! use paddlefold::{Action, Balancer, Event, ListScope, Member, Request, RequestId, ServerId, Settings};
//!
//! let mut balancer = Balancer::new(Settings::default(), 7, 0);
//! let mut actions = Vec::new();
//!
//! // The list of servers comes first.
//! let members = (1..=4).map(|id| Member::up(ServerId(id))).collect();
//! balancer.on_event(0, Event::Members { scope: ListScope::Full, members }, &mut actions);
//!
//! // A read of one key, to be answered within a second, is sent to one of that key's candidate caches.
//! let read = Request { key: Some("calendar:12".into()), budget: 1_000_000, ..Request::new(RequestId(1)) };
//! balancer.on_event(10, Event::Request(read), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { id: RequestId(1), .. })));
//! ```
mod api;
mod balancer;
mod holders;
mod ranking;
pub mod setup;
mod slow_start;
mod state;
pub mod wire;

pub use api::*;
pub use balancer::Balancer;
pub use balancer::permit::PermitError;
pub use balancer::view::{Learned, LearnedServer, ServerView, WaitReason};
