//! The end of the client connections once the shutdown deadline has passed.
//!
//! The deadline is set so that all answers are written before the earliest SIGKILL. The platform may kill later, so that
//! an answer that is still being written then is not cut off: the process ends with its last answer, or by the kill.

use std::time::Duration;

use lilacquay_fronts::Acceptor;
use tokio::time::{Instant, timeout, timeout_at};
use tracing::info;

/// How long a process that was stalled over the shutdown deadline may write the answers that it owes.
const WRITE_TIME_AFTER_STALL: Duration = Duration::from_millis(60);
/// How long after the shutdown deadline clients may still read and close. The earliest kill is 0.25 s after that deadline,
/// or up to 0.15 s sooner for a process that was stalled as it was told to end.
const CLOSE_TIME_AFTER_DEADLINE: Duration = Duration::from_millis(200);
/// How long clients may still read and close after an answer that ended later than that. As long as a client that reads
/// nothing is waited for.
const CLOSE_TIME_AFTER_LATE_ANSWER: Duration = Duration::from_secs(5);

/// Waits until the client connections have ended, or until no answer is being written and clients had time to read the
/// last ones.
///
/// The wait for an answer has no limit of its own: a value ends at the latest when its server has sent or its client has
/// read nothing for 5 s, and all other answers are known.
pub(crate) async fn finish(acceptor: &Acceptor, shutdown_deadline: Option<Instant>) {
    let now = Instant::now();
    let deadline = shutdown_deadline.unwrap_or(now);
    let close_deadline = (now + WRITE_TIME_AFTER_STALL).max(deadline + CLOSE_TIME_AFTER_DEADLINE);
    if timeout_at(close_deadline, acceptor.wait_until_empty()).await.is_ok() {
        return;
    }
    let answering = acceptor.answering_count();
    if answering == 0 {
        return;
    }
    info!(connections = answering, "answers are still being written; the process ends with the last of them");
    acceptor.wait_until_answered().await;
    let _ = timeout(CLOSE_TIME_AFTER_LATE_ANSWER, acceptor.wait_until_empty()).await;
}
