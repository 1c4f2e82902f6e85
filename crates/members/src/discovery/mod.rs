//! The server list from an HTTP discovery service: the full list first, then its changes by long polling. See
//! [`DiscoveryWatcher::run`].

mod call;
mod response;

use std::future::pending;
use std::net::SocketAddr;
use std::time::Duration;

use lilacquay_core::{MembershipHandle, ServerList};
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until};
use tracing::{info, warn};

pub use response::DiscoveryResponse;

use crate::response_timeout::ResponseTimeout;
use call::{Answered, Call, Connection, Error, Query};

/// How long a poll waits for changes by default. Together with [`RESPONSE_TIMEOUT`] it bounds how long a discovery
/// service that no longer answers is mistaken for one without changes: a node must know a change 6 s after it was
/// made, and 4 s after a reload.
const POLL_WAIT: Duration = Duration::from_secs(2);
/// The longest wait that the protocol allows a poll.
const MAX_POLL_WAIT: Duration = Duration::from_secs(60);
/// Poll wait per node where all nodes poll one discovery service, so that together they call it no more often than a
/// small fleet does. A service that processes calls one by one would otherwise be kept busy by hundreds of polls
/// repeated every 2 s, and would reject them all.
const POLL_WAIT_PER_NODE: Duration = Duration::from_millis(250);
/// Timeout of a response, on top of the poll wait, and of establishing a connection, at a service that is not known to be
/// slower. After it the call is repeated.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a call that was repeated is still waited for, on top of the poll wait. Its response is the only way to learn
/// how slow the service is.
const LATE_RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay before a failed call is repeated: a watch continues only if its next call arrives within 200 ms.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Follows the list of a discovery service and reports it to the core.
pub struct DiscoveryWatcher {
    members: MembershipHandle,
    /// Version of the list that is known.
    known_version: u64,
    connection: Option<Connection>,
    /// The earliest call that had no response in time and may still get one. No call has succeeded since, so that what it
    /// asked for is still wanted.
    late_call: Option<Call>,
    response_timeout: ResponseTimeout,
    /// Number of nodes that poll the same service.
    nodes: watch::Receiver<usize>,
    /// Whether the core requests each subscription, as it does where all nodes poll one discovery service.
    is_shared_service: bool,
    /// Whether to fetch the full list, because no list is known or it came from another address. Otherwise only the
    /// changes since the known version are fetched, which is less to send and fails less often on an overloaded service.
    needs_full_list: bool,
    /// Whether the next call must wait: for a request of the core, or else for the retry delay.
    is_next_call_delayed: bool,
    /// Whether malformed entries have been logged.
    malformed_logged: bool,
}

impl DiscoveryWatcher {
    /// Creates a watcher. `known_version` is the version of the list that the core has, if any; `nodes` is the current
    /// number of nodes that poll the service.
    pub fn new(members: MembershipHandle, known_version: Option<u64>, nodes: watch::Receiver<usize>) -> Self {
        let is_shared_service = members.subscribe_signal().is_some();
        DiscoveryWatcher {
            needs_full_list: known_version.is_none(),
            known_version: known_version.unwrap_or(0),
            members,
            nodes,
            is_shared_service,
            connection: None,
            late_call: None,
            response_timeout: ResponseTimeout::new(RESPONSE_TIMEOUT, LATE_RESPONSE_TIMEOUT),
            is_next_call_delayed: is_shared_service,
            malformed_logged: false,
        }
    }

    /// How long a poll waits for changes, chosen so that all nodes together don't overload a shared service.
    fn poll_wait(&self) -> Duration {
        if self.is_shared_service { poll_wait_for_nodes(*self.nodes.borrow()) } else { POLL_WAIT }
    }

    /// Fetches the full list, then polls for changes until the core has ended. A failed call leaves the list as it is. A
    /// new address cancels the calls at the old one and is asked for the full list at once.
    pub async fn run(mut self, mut address: watch::Receiver<SocketAddr>) {
        loop {
            let current_address = *address.borrow_and_update();
            let result = tokio::select! {
                biased;
                Ok(()) = address.changed() => {
                    self.forget_address();
                    continue;
                }
                result = self.call(current_address) => result,
            };
            let core_is_running = match result {
                Ok(list) => self.members.update_list_at_version(list, self.known_version),
                Err(error) => {
                    warn!(source = "discovery", "{error}");
                    self.members.report_failure()
                }
            };
            if !core_is_running {
                return;
            }
        }
    }

    /// Forgets all that is known of the service at the old address. The list stays in use until the new one has answered.
    fn forget_address(&mut self) {
        (self.connection, self.late_call) = (None, None);
        self.response_timeout.reset();
        (self.needs_full_list, self.is_next_call_delayed) = (true, false);
        self.members.report_new_source();
    }

    /// Makes the next call when it is due, and returns the first list that it or the late call gets. If cancelled, it leaves
    /// no call open but the late one.
    async fn call(&mut self, address: SocketAddr) -> Result<ServerList, Error> {
        let answered = tokio::select! {
            biased;
            answered = late_answer(&mut self.late_call) => Some(answered),
            () = next_call_due(&self.members, self.is_next_call_delayed) => None,
        };
        if let Some(answered) = answered {
            return Ok(self.accept(answered));
        }
        let query = match self.needs_full_list {
            true => Query::FullList,
            false => Query::Changes { since_version: self.known_version, poll_wait: self.poll_wait() },
        };
        let mut call = Call::start(address, query, self.connection.take());
        let response_timeout = self.response_timeout.current();
        let overdue = call.overdue(response_timeout);
        let result = tokio::select! {
            biased;
            answered = late_answer(&mut self.late_call) => Some(Ok(answered)),
            answered = call.answered() => Some(answered),
            () = overdue => None,
        };
        self.is_next_call_delayed = true;
        match result {
            Some(Ok(answered)) => Ok(self.accept(answered)),
            Some(Err(error)) => Err(error),
            None => {
                self.late_call.get_or_insert(call);
                Err(format!("no response within {} ms", response_timeout.as_millis()).into())
            }
        }
    }

    /// Uses a response, and drops the late call, which has asked for what is known now.
    fn accept(&mut self, Answered { response, connection, response_time }: Answered) -> ServerList {
        let before = self.response_timeout.current();
        self.response_timeout.record_response(response_time);
        if self.response_timeout.current() > before {
            info!(source = "discovery", "slow: the timeout is {:?} now", self.response_timeout.current());
        }
        (self.connection, self.late_call) = (Some(connection), None);
        (self.needs_full_list, self.known_version) = (false, response.version);
        self.is_next_call_delayed = false;
        if response.skipped > 0 && !self.malformed_logged {
            warn!(
                source = "discovery",
                skipped = response.skipped,
                "skipping malformed entries of the server list"
            );
            self.malformed_logged = true;
        }
        response.list
    }
}

/// Waits until the next call may be made.
async fn next_call_due(members: &MembershipHandle, is_delayed: bool) {
    match members.subscribe_signal() {
        Some(subscribe) if is_delayed => subscribe.notified().await,
        None if is_delayed => sleep(RETRY_DELAY).await,
        _ => {}
    }
}

/// Waits for the response of the late call; for ever if there is none. Drops a call that fails or takes too long.
async fn late_answer(late_call: &mut Option<Call>) -> Answered {
    if let Some(call) = late_call {
        let given_up_at = call.given_up_at(LATE_RESPONSE_TIMEOUT);
        tokio::select! {
            answered = call.answered() => if let Ok(answered) = answered {
                return answered;
            },
            () = sleep_until(given_up_at) => {}
        }
        *late_call = None;
    }
    pending().await
}

/// Poll wait of each node where `nodes` nodes poll one service.
fn poll_wait_for_nodes(nodes: usize) -> Duration {
    let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
    POLL_WAIT_PER_NODE.saturating_mul(nodes).clamp(POLL_WAIT, MAX_POLL_WAIT)
}
