//! How a client's facts are passed on to servers.

use std::time::Duration;

use lilacquay_upstreams::facts::with_time_left;

#[test]
fn all_facts_but_the_time_left_are_passed_on_unchanged() {
    let passed_on = |facts: &str, left| {
        let facts = with_time_left(facts.as_bytes(), Duration::from_micros(left));
        String::from_utf8(facts).unwrap()
    };
    assert_eq!(passed_on("c=read,t=acme,d=1480,size=7", 900_999), "c=read,t=acme,d=900,size=7");
    assert_eq!(passed_on("d=1480", 0), "d=1");
    assert_eq!(passed_on("c=read,dd=1,id=d=2", 5_000), "c=read,dd=1,id=d=2");
}
