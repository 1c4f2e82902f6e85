//! The memory that open requests and their answers hold.

use lilacquay_core::ResourceShare;
use lilacquay_core::request_memory::RequestMemory;

#[test]
fn answers_that_wait_for_their_clients_counted_towards_no_limit() {
    let memory = RequestMemory::new(10_000, ResourceShare::default());
    let first = memory.reserve(100);
    assert!(memory.has_free());
    first.record_answer(9_900);
    assert!(!memory.has_free(), "the answer is held until its client takes it");
    drop(first);
    assert_eq!(memory.reserved_bytes(), 0);
}

#[test]
fn requests_whose_answers_have_not_arrived_reserve_what_answers_have_come_to() {
    let memory = RequestMemory::new(10_000, ResourceShare::default());
    memory.reserve(100).record_answer(4_000);
    let (first, second) = (memory.reserve(100), memory.reserve(100));
    assert_eq!(memory.reserved_bytes(), 8_200);
    let _third = memory.reserve(100);
    assert!(!memory.has_free());
    first.record_answer(10);
    second.record_answer(10);
    assert!(memory.has_free(), "they were shorter");
}

#[test]
fn one_long_answer_does_not_reserve_memory_for_ever() {
    let memory = RequestMemory::new(10_000, ResourceShare::default());
    memory.reserve(0).record_answer(60_000);
    (0..1_000).for_each(|_| memory.reserve(0).record_answer(10));
    let _request = memory.reserve(0);
    assert!(memory.reserved_bytes() <= 100, "{}", memory.reserved_bytes());
}
