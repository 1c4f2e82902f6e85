//! One attempt at a server: a connection, the request, the answer.

use std::time::Duration;

use paddlefold::Outcome;
use tokio::time::{Instant, sleep_until, timeout};

use crate::call::Call;
use crate::directory::{Connecting, Pooled};
use crate::permit::PermitRequester;
use crate::shortage::is_own_shortage;
use crate::upstream::{Connection, Reply, Target, Upstream};

/// A connection that took this long to come up met a lost packet: the kernel repeats the first of a handshake after 1 s.
const LATE_HANDSHAKE: Duration = Duration::from_millis(900);
/// A peer that drops packets may drop the first bytes too, which are repeated 0.2 s later: what is told on such a connection
/// is less by what that takes beyond the slack of 0.15 s, and by no more than half of what is left.
const REPEATED_BYTES: Duration = Duration::from_millis(80);

/// How an attempt ended, and what became of its connection.
pub(crate) struct Done<C> {
    pub reply: Reply,
    /// The connection, if another request may use it.
    pub connection: Option<C>,
    /// What came of making a new one, if that was tried.
    pub connecting: Option<Connecting>,
}

impl<C> Done<C> {
    fn without_connection(outcome: Outcome, connecting: Option<Connecting>) -> Self {
        Done { reply: Reply::of(outcome), connection: None, connecting }
    }
}

/// Makes one attempt.
pub(crate) async fn run<U: Upstream>(
    upstream: U,
    target: Target,
    pooled: Option<Pooled<U::Connection>>,
    call: &Call,
    mut requester: PermitRequester,
    connect_timeout: Duration,
) -> Done<U::Connection> {
    if let Some(connection) = rested(pooled).await {
        let (reply, connection) = ask(connection, &target, call, &mut requester, Duration::ZERO).await;
        return Done { reply, connection, connecting: None };
    }
    let began = Instant::now();
    let connected = timeout(connect_timeout, upstream.connect(&target)).await;
    let took = began.elapsed();
    match connected {
        Ok(Ok(connection)) => {
            let (reply, connection) = ask(connection, &target, call, &mut requester, took).await;
            Done { reply, connection, connecting: Some(Connecting::Up(took)) }
        }
        Ok(Err(error)) if is_own_shortage(&error) => Done::without_connection(Outcome::Ignored, None),
        Ok(Err(_)) | Err(_) => Done::without_connection(Outcome::ConnectError, Some(Connecting::Failed)),
    }
}

/// A connection of before, once it has rested, unless its server has closed it or sent something unasked meanwhile.
async fn rested<C: Connection>(pooled: Option<Pooled<C>>) -> Option<C> {
    let Pooled { connection, rested_at } = pooled?;
    if rested_at > Instant::now() {
        sleep_until(rested_at).await;
    }
    connection.is_live().then_some(connection)
}

/// Asks on a connection that took so long to come up, if the attempt may still begin.
async fn ask<C: Connection>(
    connection: C,
    target: &Target,
    call: &Call,
    requester: &mut PermitRequester,
    connect_time: Duration,
) -> (Reply, Option<C>) {
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
    let came_up_late = connect_time >= LATE_HANDSHAKE;
    let deadline = if came_up_late { earlier(permit.deadline) } else { permit.deadline };
    connection.ask(call, target, deadline).await
}

/// The deadline to tell on a connection that came up late.
fn earlier(deadline: Instant) -> Instant {
    let left = deadline.saturating_duration_since(Instant::now());
    deadline - REPEATED_BYTES.min(left / 2)
}
