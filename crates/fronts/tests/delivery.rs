//! How long a connection that the node closes is kept for a client that still reads.

use std::time::Duration;

use lilacquay_fronts::delivery::DeliveryEstimate;
use tokio::time::Instant;

const SOCKET_BUFFER_BYTES: usize = 4 << 20;
/// A client that reads at this rate goes on reading, in bytes per second.
const SLOW_READER: usize = 100 << 10;
const SECOND: Duration = Duration::from_secs(1);

#[test]
fn a_connection_is_kept_until_a_slow_reader_has_read_all() {
    let start = Instant::now();
    for answers in [1, 2, 30] {
        let mut delivery = DeliveryEstimate::default();
        for _ in 0..answers {
            delivery.record_write(start, SLOW_READER);
        }
        let until = delivery.linger_until(start, SOCKET_BUFFER_BYTES).expect("it still reads");
        assert!(until >= start + answers * SECOND, "{answers} answers");
    }
}

#[test]
fn a_connection_whose_client_has_read_all_is_not_kept() {
    let start = Instant::now();
    assert_eq!(
        DeliveryEstimate::default().linger_until(start, SOCKET_BUFFER_BYTES),
        None,
        "nothing was written"
    );
    let mut delivery = DeliveryEstimate::default();
    delivery.record_write(start, 300);
    assert!(delivery.linger_until(start, SOCKET_BUFFER_BYTES).is_some(), "it is on its way");
    assert_eq!(delivery.linger_until(start + SECOND, SOCKET_BUFFER_BYTES), None);
}

#[test]
fn a_busy_connection_is_kept_for_no_more_than_its_socket_holds() {
    let start = Instant::now();
    let mut delivery = DeliveryEstimate::default();
    for _ in 0..1000 {
        delivery.record_write(start, SLOW_READER);
    }
    let until = delivery.linger_until(start, 64 << 10).expect("it may still read");
    assert!(until <= start + 2 * SECOND);
    let until = delivery.linger_until(start, usize::MAX).expect("it may still read");
    assert!(until <= start + 61 * SECOND);
}
