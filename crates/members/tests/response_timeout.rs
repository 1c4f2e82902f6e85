//! How long a call waits for a peer that may be slower than usual.

use std::time::Duration;

use lilacquay_members::response_timeout::{ResponseTime, ResponseTimeout};

const MS: Duration = Duration::from_millis(1);

fn usual() -> ResponseTimeout {
    ResponseTimeout::new(1_000 * MS, 10_000 * MS)
}

#[test]
fn it_follows_the_response_times_within_its_bounds() {
    let mut timeout = usual();
    for (response_ms, timeout_ms) in
        [(100, 1_000), (1_200, 1_700), (3_000, 3_500), (60_000, 10_000), (5, 1_000)]
    {
        timeout.record_response(ResponseTime::Exactly(response_ms * MS));
        assert_eq!(timeout.current(), timeout_ms * MS, "after {response_ms} ms");
    }
}

#[test]
fn a_response_that_may_have_come_sooner_only_lowers_it() {
    let mut timeout = usual();
    timeout.record_response(ResponseTime::AtMost(9_000 * MS));
    assert_eq!(timeout.current(), 1_000 * MS);
    timeout.record_response(ResponseTime::Exactly(3_000 * MS));
    timeout.record_response(ResponseTime::AtMost(9_000 * MS));
    assert_eq!(timeout.current(), 3_500 * MS);
    timeout.record_response(ResponseTime::AtMost(1_100 * MS));
    assert_eq!(timeout.current(), 1_600 * MS);
}

#[test]
fn calls_without_a_response_double_it_and_a_reset_forgets_them() {
    let mut timeout = usual();
    (0..3).for_each(|_| timeout.record_timeout());
    assert_eq!(timeout.current(), 8_000 * MS);
    timeout.record_timeout();
    assert_eq!(timeout.current(), 10_000 * MS);
    timeout.reset();
    assert_eq!(timeout, usual());
}
