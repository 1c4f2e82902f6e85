//! What one decision costs, by the number of boxes: a read that comes, is sent and is served.
//! `cargo run --release -p lilacquay-bench --bin decision`

use std::time::Instant;

use hdrhistogram::Histogram;
use lilacquay_bench::quantiles;
use lilacquay_fleet::clients::latency_histogram;
use paddlefold::{
    Action, AttemptEnd, Balancer, Class, Effect, Event, ListScope, Member, Outcome, Request, RequestId,
    ServerId, Settings,
};

const READS: u32 = 100_000;

fn main() {
    let mut first = None;
    for boxes in [12, 200, 1000, 3200] {
        let took = measure(boxes);
        let median = took.value_at_quantile(0.5) as f64;
        let ratio = median / *first.get_or_insert(median);
        println!("{boxes:>5} boxes  ns: {}  median {ratio:.1} of that at 12", quantiles(&took));
    }
}

fn measure(boxes: u32) -> Histogram<u64> {
    let class = Class { aim: 300_000, worth: 1.0, effect: Effect::Safe };
    let settings = Settings { classes: vec![class], ..Settings::default() };
    let mut balancer = Balancer::new(settings, 1, 0);
    let mut actions = Vec::new();
    let members = (0..boxes).map(|id| Member::up(ServerId(id))).collect();
    balancer.on_event(0, Event::Members { scope: ListScope::Full, members }, &mut actions);
    let mut times = latency_histogram();
    for n in 0..READS {
        let id = RequestId(n);
        let now = u64::from(n) * 3300; // 300 a second
        let key = Some(format!("calendar:{}", n % 1000));
        let read = Request { class: Some(0), key, budget: 1_000_000, ..Request::new(id) };
        actions.clear();
        let start = Instant::now();
        balancer.on_event(now, Event::Request(read), &mut actions);
        let sent = actions.iter().any(|action| matches!(action, Action::Send { .. }));
        let end = AttemptEnd { elapsed: 3000, ..AttemptEnd::new(id, 0, Outcome::Ok) };
        balancer.on_event(now + 3000, Event::Outcome(end), &mut actions);
        let took = start.elapsed().as_nanos() as u64;
        assert!(sent, "each read is sent");
        if n > READS / 10 {
            times.saturating_record(took);
        }
    }
    times
}
