//! Executes one attempt at a server: connects if needed, sends the request and reads the answer.

use std::time::Duration;

use paddlefold::Outcome;
use tokio::time::{Instant, timeout};

use crate::call::Call;
use crate::permit::PermitRequester;
use crate::resource_exhaustion::is_local_resource_exhaustion;
use crate::time_left::deadline_to_send;
use crate::upstream::{Connection, Reply, Target, Upstream};

/// Makes one attempt. Returns its reply, and the connection if another request may reuse it.
pub(crate) async fn run<U: Upstream>(
    upstream: U,
    target: Target,
    pooled: Option<U::Connection>,
    call: &Call,
    mut permit_requester: PermitRequester,
    connect_timeout: Duration,
) -> (Reply, Option<U::Connection>) {
    let started_at = Instant::now();
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
    let connect_time = started_at.elapsed();
    // The facts behind the balancer's decision may have changed while the connection was being established.
    let Some(permit) = permit_requester.permit().await else {
        return (Reply::from_outcome(Outcome::Ignored), Some(connection));
    };
    if !target.availability().is_serving() {
        // The server is no longer listed as serving at this address.
        return (Reply::from_outcome(Outcome::Ignored), None);
    }
    if !connection.is_live() {
        // The server closed it while the attempt waited for its permit: nothing was written.
        return (Reply::from_outcome(Outcome::ConnectError), None);
    }
    target.check_start();
    let deadline = deadline_to_send(Instant::now(), permit.deadline, connect_time);
    connection.send_request(call, &target, deadline).await
}
