//! By which a source of members tells the core.

use std::sync::Arc;

use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedSender;

use crate::list::ServerList;
use crate::message::Message;

/// By which a source of members tells the core.
#[derive(Clone)]
pub struct MembershipHandle {
    pub(crate) to: UnboundedSender<Message>,
    /// Which source it is, for operators.
    pub(crate) source: &'static str,
    pub(crate) asked: Option<Arc<Notify>>,
}

impl MembershipHandle {
    /// The same, in the name of a source.
    pub fn with_source(mut self, source: &'static str) -> MembershipHandle {
        self.source = source;
        self
    }

    /// Tells a list. False once the core has ended.
    pub fn update_list(&self, list: ServerList) -> bool {
        self.to.send(Message::List(list, self.source, None)).is_ok()
    }

    /// Tells a list with the version from which its source goes on. False once the core has ended.
    pub fn update_list_at_version(&self, list: ServerList, version: u64) -> bool {
        self.to.send(Message::List(list, self.source, Some(version))).is_ok()
    }

    /// Tells that a call for the list failed, or that the subscription broke; the list held stays. False once
    /// the core has ended.
    pub fn report_failure(&self) -> bool {
        self.to.send(Message::ListFailed).is_ok()
    }

    /// Where the list must be subscribed to: told when the module asks for that, at first and after a failure.
    pub fn subscribe_signal(&self) -> Option<&Notify> {
        self.asked.as_deref()
    }
}
