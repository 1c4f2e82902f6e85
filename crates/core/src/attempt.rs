//! One attempt at a server: a connection, the request, the answer.

use std::time::Duration;

use paddlefold::Outcome;
use tokio::time::{Instant, timeout};

use crate::call::Call;
use crate::permit::PermitRequester;
use crate::shortage::is_own_shortage;
use crate::upstream::{Connection, Reply, Target, Upstream};

/// A connection that took this long to come up met a lost packet: the kernel repeats the first of a handshake after 1 s.
const LATE_HANDSHAKE: Duration = Duration::from_millis(900);
/// A peer that drops packets may drop the first bytes too, which are repeated 0.2 s later: what is told on such a connection
/// is less by what that takes beyond the slack of 0.15 s, and by no more than half of what is left.
const REPEATED_BYTES: Duration = Duration::from_millis(80);

/// Makes one attempt. The connection comes back if another request may use it.
pub(crate) async fn run<U: Upstream>(
    upstream: U,
    target: Target,
    pooled: Option<U::Connection>,
    call: &Call,
    mut requester: PermitRequester,
    connect_timeout: Duration,
) -> (Reply, Option<U::Connection>) {
    let began = Instant::now();
    let connection = match pooled {
        Some(connection) => connection,
        None => match timeout(connect_timeout, upstream.connect(&target)).await {
            Ok(Ok(connection)) => connection,
            Ok(Err(error)) if is_own_shortage(&error) => return (Reply::of(Outcome::Ignored), None),
            Ok(Err(_)) | Err(_) => return (Reply::of(Outcome::ConnectError), None),
        },
    };
    let came_up_late = began.elapsed() >= LATE_HANDSHAKE;
    // What the decision went by may have changed while the connection came up.
    let Some(permit) = requester.permit().await else {
        return (Reply::of(Outcome::Ignored), Some(connection));
    };
    if !target.standing().serving() {
        return (Reply::of(Outcome::Ignored), None); // at an address that the list has left
    }
    if !connection.is_live() {
        return (Reply::of(Outcome::ConnectError), None); // closed while it waited for leave: nothing is written
    }
    target.begins();
    let deadline = if came_up_late { earlier(permit.deadline) } else { permit.deadline };
    connection.ask(call, &target, deadline).await
}

/// The deadline to tell on a connection that came up late.
fn earlier(deadline: Instant) -> Instant {
    let left = deadline.saturating_duration_since(Instant::now());
    deadline - REPEATED_BYTES.min(left / 2)
}
