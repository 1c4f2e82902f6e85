//! One attempt at a server: a connection, the request, the answer.

use std::time::Duration;

use paddlefold::Outcome;
use tokio::time::{Instant, timeout};

use crate::call::Call;
use crate::permit::PermitRequester;
use crate::resource_exhaustion::is_local_resource_exhaustion;
use crate::time_left::deadline_to_send;
use crate::upstream::{Connection, Reply, Target, Upstream};

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
            Ok(Err(error)) if is_local_resource_exhaustion(&error) => {
                return (Reply::from_outcome(Outcome::Ignored), None);
            }
            Ok(Err(_)) | Err(_) => return (Reply::from_outcome(Outcome::ConnectError), None),
        },
    };
    let connect_time = began.elapsed();
    // What the decision went by may have changed while the connection came up.
    let Some(permit) = requester.permit().await else {
        return (Reply::from_outcome(Outcome::Ignored), Some(connection));
    };
    if !target.standing().serving() {
        return (Reply::from_outcome(Outcome::Ignored), None); // at an address that the list has left
    }
    if !connection.is_live() {
        return (Reply::from_outcome(Outcome::ConnectError), None); // closed while it waited for leave: nothing is written
    }
    target.begins();
    let deadline = deadline_to_send(Instant::now(), permit.deadline, connect_time);
    connection.send_request(call, &target, deadline).await
}
