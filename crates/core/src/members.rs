//! The handle through which a membership source updates the core's list of servers.

use std::sync::Arc;

use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedSender;

use crate::list::ServerList;
use crate::message::Message;

/// Sends lists of servers, and failures to fetch them, to the core.
#[derive(Clone)]
pub struct MembershipHandle {
    pub(crate) sender: UnboundedSender<Message>,
    /// The name of the source, shown to operators.
    pub(crate) source: &'static str,
    /// Present if the list must be subscribed to.
    pub(crate) subscribe: Option<Arc<Notify>>,
}

impl MembershipHandle {
    /// Returns the handle with another source name.
    pub fn with_source(mut self, source: &'static str) -> MembershipHandle {
        self.source = source;
        self
    }

    /// Sends a list or a change to it. Returns false once the core has ended.
    pub fn update_list(&self, list: ServerList) -> bool {
        self.sender.send(Message::ListUpdated(list, self.source, None)).is_ok()
    }

    /// Sends a list with the version from which its source continues. Returns false once the core has ended.
    pub fn update_list_at_version(&self, list: ServerList, version: u64) -> bool {
        self.sender.send(Message::ListUpdated(list, self.source, Some(version))).is_ok()
    }

    /// Reports that fetching the list failed or that the subscription broke; the current list stays in use. Returns
    /// false once the core has ended.
    pub fn report_failure(&self) -> bool {
        self.sender.send(Message::ListFailed).is_ok()
    }

    /// Reports that the list comes from another place from now on, so that earlier failures say nothing about it. The
    /// current list stays in use.
    pub fn report_new_source(&self) {
        let _ = self.sender.send(Message::ListSourceChanged); // the core may have ended
    }

    /// If the list must be subscribed to: notified when the balancer requests the subscription, at the start and after
    /// a failure.
    pub fn subscribe_signal(&self) -> Option<&Notify> {
        self.subscribe.as_deref()
    }
}
