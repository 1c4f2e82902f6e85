//! What it costs to ask a quota: time by the number of tenants, and memory.
//! `cargo run --release -p lilacquay-bench --bin quota`

use std::error::Error;
use std::fs;
use std::time::Instant;

use hdrhistogram::Histogram;
use lilacquay_bench::quantiles;
use lilacquay_quota::{Bounds, Dimension, Measure, Plan, Quota, QuotaRequest, Share};

const ASKS: u64 = 2_000_000;

fn main() -> Result<(), Box<dyn Error>> {
    for tenants in [10, 1_000, 100_000] {
        let before = memory()?;
        let mut quota = Quota::new(plan(tenants), 0).map_err(|wrong| format!("{wrong:?}"))?;
        let mut rng = fastrand::Rng::with_seed(1);
        let mut times = Histogram::<u64>::new_with_bounds(1, 60_000_000_000, 3)?;
        let (mut admitted, start) = (0, Instant::now());
        for n in 0..ASKS {
            // A million asks a second of the module's time, by tenants chosen at random, for twice what there is.
            let ask = QuotaRequest { share: 11 + rng.usize(..tenants), lane: 0, worth: 1000, bytes: 200 };
            let begun = Instant::now();
            admitted += u64::from(quota.try_acquire(n, ask).is_ok());
            times.saturating_record(begun.elapsed().as_nanos() as u64);
        }
        let each = start.elapsed().as_nanos() as u64 / ASKS;
        let bytes = memory()?.saturating_sub(before) / tenants as u64;
        println!(
            "{tenants:>7} tenants: {each} ns an ask on average, ns: {}, worst {}  {bytes} bytes a tenant, {:.2} admitted",
            quantiles(&times),
            times.max(),
            admitted as f64 / ASKS as f64
        );
    }
    Ok(())
}

/// Ten regions below the root, tenants below them, with a share in requests, worth and bytes over a second each.
fn plan(tenants: usize) -> Plan {
    let measure = |dimension| Measure { lane: 0, dimension, window: 1_000_000 };
    let measures = [Dimension::Requests, Dimension::Worth, Dimension::Bytes].map(measure).to_vec();
    let all = [500_000, 500_000_000, 100_000_000];
    let share = |name: String, parent, part: u64| {
        let bounds = all.map(|all: u64| Bounds { guarantee: all / part, ceiling: all });
        Share { name, parent, bounds: bounds.to_vec() }
    };
    let mut shares = vec![share("all".into(), None, 1)];
    shares.extend((0..10).map(|n| share(format!("region {n}"), Some(0), 10)));
    shares.extend((0..tenants).map(|n| share(format!("tenant {n}"), Some(1 + n % 10), tenants as u64)));
    Plan { measures, shares, half_life: 10_000_000 }
}

/// Bytes of memory that this process holds.
fn memory() -> Result<u64, Box<dyn Error>> {
    let status = fs::read_to_string("/proc/self/statm")?;
    let pages: u64 = status.split_whitespace().nth(1).ok_or("no statm")?.parse()?;
    Ok(pages * rustix::param::page_size() as u64)
}
