//! Quotas under random plans and loads, and edge cases one by one. The tests supply the time.

use lilacquay_quota::{
    Bounds, Completion, Dimension, ExceededReason, Measure, Micros, Plan, Quota, QuotaExceeded, QuotaRequest,
    Share, Ticket,
};

const SECOND: Micros = 1_000_000;

fn share(name: &str, parent: Option<usize>, guarantee: u64, ceiling: u64) -> Share {
    Share { name: name.into(), parent, bounds: vec![Bounds { guarantee, ceiling }] }
}

fn plan(dimension: Dimension, window: Micros, shares: Vec<Share>) -> Plan {
    Plan { measures: vec![Measure { lane: 0, dimension, window }], shares, half_life: 5 * SECOND }
}

/// A capacity of 100 requests a second, of which a is guaranteed 50, b 30 and c 20.
fn three_shares() -> Plan {
    plan(
        Dimension::Requests,
        SECOND,
        vec![
            share("all", None, 0, 100),
            share("a", Some(0), 50, 100),
            share("b", Some(0), 30, 100),
            share("c", Some(0), 20, 100),
        ],
    )
}

fn request(share: usize) -> QuotaRequest {
    QuotaRequest { share, lane: 0, worth: 1000, bytes: 100 }
}

/// Sends evenly spaced requests for each share at a rate per second, from one time to another. Returns the number
/// admitted by share and window.
fn run_load(quota: &mut Quota, from: Micros, to: Micros, rates: &[(usize, u64)]) -> Vec<Vec<u64>> {
    let windows = ((to - from) / SECOND) as usize;
    let mut admitted = vec![vec![0; windows]; quota.plan().shares.len()];
    let mut arrivals: Vec<(Micros, usize)> = rates
        .iter()
        .flat_map(|&(share, rate)| (0..rate * windows as u64).map(move |n| (from + n * SECOND / rate, share)))
        .collect();
    arrivals.sort();
    for (at, share) in arrivals {
        if quota.try_acquire(at, request(share)).is_ok() {
            admitted[share][((at - from) / SECOND) as usize] += 1;
        }
    }
    admitted
}

/// Whether a share that asks for exactly its guarantee gets it, by window from its first request. Usage is known to a
/// sixteenth of a window: lent capacity is back after 17 sixteenths, and from then on at most one sixteenth and one
/// request are missing.
fn is_guarantee_met(admitted: &[u64], guarantee: u64) -> bool {
    admitted[1] >= guarantee * 13 / 16 && admitted[2..].iter().all(|&n| n + 1 >= guarantee * 15 / 16)
}

#[test]
fn a_share_that_becomes_active_gets_its_guarantee_within_a_window_whatever_was_lent() {
    let mut quota = Quota::new(three_shares(), 0).unwrap();
    let lent = run_load(&mut quota, 0, 10 * SECOND, &[(1, 1000)]);
    assert!(lent[1][2..].iter().all(|&n| (88..=106).contains(&n)), "all idle capacity is lent: {lent:?}");
    // Both other shares start at once at exactly their guarantees, beside a load of ten times the capacity.
    let admitted = run_load(&mut quota, 10 * SECOND, 20 * SECOND, &[(1, 1000), (2, 30), (3, 20)]);
    assert!(is_guarantee_met(&admitted[2], 30) && is_guarantee_met(&admitted[3], 20), "{admitted:?}");
    assert!(
        admitted[1][1..].iter().sum::<u64>() >= 9 * 44,
        "the overloading share keeps its guarantee: {admitted:?}"
    );
}

#[test]
fn shares_with_random_arrivals_get_their_guarantees_beside_an_overload_on_twenty_seeds() {
    for seed in 0..20 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut quota = Quota::new(three_shares(), 0).unwrap();
        // Share a asks for ten times its guarantee, b and c for half of theirs: b from the start, c once all is lent.
        let mut arrivals: Vec<(Micros, usize)> = Vec::new();
        for (share, rate, from) in [(1, 500.0, 0.0), (2, 15.0, 0.0), (3, 10.0, 10.0)] {
            let mut at: f64 = from;
            while at < 30.0 {
                at -= (1.0 - rng.f64()).ln() / rate;
                arrivals.push(((at * 1e6) as Micros, share));
            }
        }
        arrivals.sort();
        let (mut asked, mut admitted) = ([0; 4], [0; 4]);
        for (at, share) in arrivals {
            let is_admitted = quota.try_acquire(at, request(share)).is_ok();
            // Counted from one window and a sixteenth after the last share has started.
            if at > 11 * SECOND + SECOND / 16 {
                asked[share] += 1;
                admitted[share] += u64::from(is_admitted);
            }
        }
        for share in [2, 3] {
            assert!(
                admitted[share] * 100 >= asked[share] * 90,
                "seed {seed}: {} of {}",
                admitted[share],
                asked[share]
            );
        }
        // Its admissions come in bursts as capacity returns: one slot in 17 is not available to it.
        assert!(
            admitted[1] >= 880,
            "seed {seed}: the overloading share has its 50 a second: {}",
            admitted[1]
        );
    }
}

#[test]
fn idle_capacity_is_lent_in_proportion_to_the_guarantees_of_active_shares() {
    let mut quota = Quota::new(three_shares(), 0).unwrap();
    let admitted = run_load(&mut quota, 0, 40 * SECOND, &[(2, 1000), (3, 1000)]);
    let sum = |share: usize| admitted[share][10..].iter().sum::<u64>() as f64;
    assert!((1.25..1.85).contains(&(sum(2) / sum(3))), "30 to 20: {} to {}", sum(2), sum(3));
    assert!(sum(2) + sum(3) > 30.0 * 88.0, "all capacity is used");
}

#[test]
fn capacity_is_borrowed_within_the_subtree_first() {
    // Two regions of 50; in the first, two tenants of 25. One of these tenants and the other region are overloaded.
    let shares = vec![
        share("all", None, 0, 100),
        share("north", Some(0), 50, 100),
        share("south", Some(0), 50, 100),
        share("a", Some(1), 25, 100),
        share("b", Some(1), 25, 100),
        share("c", Some(2), 50, 100),
    ];
    let mut quota = Quota::new(plan(Dimension::Requests, SECOND, shares), 0).unwrap();
    let admitted = run_load(&mut quota, 0, 10 * SECOND, &[(3, 1000), (5, 1000)]);
    let mean = |admitted: &[Vec<u64>], share: usize| admitted[share][2..].iter().sum::<u64>() as f64 / 8.0;
    assert!(mean(&admitted, 3) >= 43.0 && mean(&admitted, 5) >= 43.0, "{admitted:?}");
    assert_eq!(quota.lender(10 * SECOND, 3, 0), Some(1), "its own region lends, not the other");
    // The sibling starts: it gets back the capacity of its own region.
    let admitted = run_load(&mut quota, 10 * SECOND, 20 * SECOND, &[(3, 1000), (4, 25), (5, 1000)]);
    assert!(is_guarantee_met(&admitted[4], 25), "{admitted:?}");
    assert!(mean(&admitted, 5) >= 43.0, "the other region is unaffected: {admitted:?}");
}

#[test]
fn bursts_at_window_boundaries_get_no_more_than_one_window_allows() {
    let mut quota = Quota::new(three_shares(), 0).unwrap();
    let mut times = Vec::new();
    for at in [SECOND - 1, SECOND + 1, 2 * SECOND - 1, 2 * SECOND + 1] {
        times.extend((0..200).filter(|_| quota.try_acquire(at, request(1)).is_ok()).map(|_| at));
    }
    for (n, &first) in times.iter().enumerate() {
        let within = times[n..].iter().take_while(|&&at| at < first + SECOND).count();
        assert!(within <= 100, "{within} within a second");
    }
}

#[test]
fn a_flood_of_refused_requests_takes_nothing_from_other_shares() {
    let mut calm = Quota::new(three_shares(), 0).unwrap();
    let mut flooded = Quota::new(three_shares(), 0).unwrap();
    let calm = run_load(&mut calm, 0, 10 * SECOND, &[(1, 200), (2, 30), (3, 20)]);
    let flooded = run_load(&mut flooded, 0, 10 * SECOND, &[(1, 20_000), (2, 30), (3, 20)]);
    for share in [2, 3] {
        let sums: [u64; 2] = [&calm, &flooded].map(|admitted| admitted[share][1..].iter().sum());
        assert!(sums[1] * 100 >= sums[0] * 95, "{sums:?}");
    }
}

#[test]
fn lent_in_flight_capacity_returns_as_requests_end() {
    let shares = vec![share("all", None, 0, 10), share("a", Some(0), 5, 10), share("b", Some(0), 5, 10)];
    let mut quota = Quota::new(plan(Dimension::InFlight, 0, shares), 0).unwrap();
    let mut slow: Vec<Ticket> = (0..10).map(|_| quota.try_acquire(1, request(1)).unwrap()).collect();
    assert_eq!(quota.try_acquire(2, request(1)).unwrap_err().reason, ExceededReason::Ceiling);
    for n in 0..5 {
        assert!(quota.try_acquire(10 + n, request(2)).is_err(), "all capacity is in use");
        quota.release(10 + n, slow.pop().unwrap(), Completion::Charged);
        assert_eq!(
            quota.try_acquire(10 + n, request(1)).unwrap_err().reason,
            ExceededReason::Reserved,
            "reserved, not for the borrower"
        );
        quota.try_acquire(10 + n, request(2)).unwrap();
    }
    assert_eq!((quota.used(20, 1, 0), quota.used(20, 2, 0)), (5, 5));
}

#[test]
fn an_exhausted_lane_does_not_block_another() {
    let mut plan = three_shares();
    plan.measures.push(Measure { lane: 1, ..plan.measures[0] });
    plan.shares.iter_mut().for_each(|share| share.bounds.push(share.bounds[0]));
    let mut quota = Quota::new(plan, 0).unwrap();
    while quota.try_acquire(0, request(1)).is_ok() {}
    let signup = QuotaRequest { lane: 1, ..request(1) };
    assert!(quota.try_acquire(0, signup).is_ok() && quota.try_acquire(0, request(2)).is_err());
}

#[test]
fn requests_refused_without_an_attempt_are_refunded_and_attempted_ones_are_not() {
    let mut quota = Quota::new(three_shares(), 0).unwrap();
    let tickets: Vec<Ticket> = (0..100).map(|_| quota.try_acquire(0, request(1)).unwrap()).collect();
    quota.release(1, tickets[0], Completion::Charged);
    assert!(quota.try_acquire(1, request(1)).is_err());
    quota.release(1, tickets[1], Completion::Refunded);
    assert!(quota.try_acquire(1, request(1)).is_ok() && quota.try_acquire(1, request(1)).is_err());
}

#[test]
fn a_refusal_gives_the_time_after_which_the_request_is_admitted() {
    let mut quota = Quota::new(three_shares(), 0).unwrap();
    let mut at = 0;
    while quota.try_acquire(at, request(1)).is_ok() {
        at += 3_000;
    }
    let QuotaExceeded { retry_after, reason, limiting_share, .. } =
        quota.try_acquire(at, request(1)).unwrap_err();
    assert!(
        reason == ExceededReason::Ceiling
            && limiting_share == 1
            && retry_after > 0
            && retry_after <= SECOND * 17 / 16
    );
    assert!(quota.try_acquire(at + retry_after - SECOND / 16, request(1)).is_err(), "no sooner");
    assert!(quota.try_acquire(at + retry_after, request(1)).is_ok());
    assert_eq!(quota.recent_refusals(1).count(), 3);
    assert_eq!(quota.refused(1), 3);
}

#[test]
fn a_reload_keeps_usage_and_still_meets_a_reduced_guarantee() {
    let mut quota = Quota::new(three_shares(), 0).unwrap();
    run_load(&mut quota, 0, 5 * SECOND, &[(1, 1000)]);
    let mut smaller = three_shares();
    smaller.shares[1].bounds[0] = Bounds { guarantee: 25, ceiling: 60 };
    let before = quota.used(5 * SECOND, 1, 0);
    quota.reload(smaller.clone(), 5 * SECOND).unwrap();
    assert!(before > 60 && (50..=60).contains(&quota.used(5 * SECOND, 1, 0)), "down to the new ceiling");
    let admitted = run_load(&mut quota, 5 * SECOND, 10 * SECOND, &[(1, 1000), (2, 30)]);
    assert!(admitted[1].iter().all(|&n| n >= 45) && admitted[2].iter().all(|&n| n >= 20), "{admitted:?}");
    // A share that asks all the time is unaffected by reloads, whatever is lent.
    for n in 10..20 {
        quota.reload(if n % 2 == 0 { three_shares() } else { smaller.clone() }, n * SECOND).unwrap();
        let admitted = run_load(&mut quota, n * SECOND, (n + 1) * SECOND, &[(1, 1000), (2, 30)]);
        assert!(admitted[2][0] >= 27, "{admitted:?}");
    }
    let mut wrong = smaller;
    wrong.shares[1].bounds[0].guarantee = 51;
    assert!(quota.reload(wrong, 21 * SECOND).is_err(), "the old plan stays in force");
    assert_eq!(quota.plan().shares[1].bounds[0].guarantee, 25);
}

#[test]
fn requests_in_flight_over_a_reload_are_released_for_their_own_share_or_not_at_all() {
    let tree = |names: &[&str]| {
        let mut shares = vec![share("all", None, 0, 10)];
        shares.extend(names.iter().map(|name| share(name, Some(0), 2, 4)));
        plan(Dimension::InFlight, 0, shares)
    };
    let mut quota = Quota::new(tree(&["a", "b"]), 0).unwrap();
    let old: Vec<Ticket> = (0..3).map(|_| quota.try_acquire(0, request(1)).unwrap()).collect();
    // Only the bounds change: usage stays.
    let mut other = tree(&["a", "b"]);
    other.shares[1].bounds[0].ceiling = 5;
    quota.reload(other, 1).unwrap();
    assert_eq!(quota.used(1, 1, 0), 3);
    quota.release(2, old[0], Completion::Charged);
    assert_eq!(quota.used(2, 1, 0), 2);
    // Another tree, in which b has the index that a had.
    quota.reload(tree(&["b", "a"]), 3).unwrap();
    let held: Vec<Ticket> = (0..3).map(|_| quota.try_acquire(4, request(1)).unwrap()).collect();
    old[1..].iter().for_each(|&ticket| quota.release(5, ticket, Completion::Charged));
    assert_eq!([0, 1, 2].map(|share| quota.used(5, share, 0)), [3, 3, 0]);
    held.into_iter().for_each(|ticket| quota.release(6, ticket, Completion::Charged));
    assert_eq!([0, 1, 2].map(|share| quota.used(6, share, 0)), [0; 3], "no usage is left");
}

#[test]
fn debts_decay_by_their_half_life() {
    let mut quota = Quota::new(three_shares(), 0).unwrap();
    while quota.try_acquire(0, request(1)).is_ok() {}
    let debt = quota.debt(0, 1, 0);
    assert_eq!(debt, 50.0);
    // It decays in steps of whole slots, while the share still has usage in the window.
    let later = quota.debt(SECOND / 2, 1, 0);
    let halved = 50.0 * 0.5_f64.powf(0.1);
    assert!((later - halved).abs() < 0.5, "{later}, not {halved}");
}

// ---- random plans and loads ----

struct RandomPlan {
    rng: fastrand::Rng,
    plan: Plan,
}

impl RandomPlan {
    fn new(seed: u64) -> RandomPlan {
        let mut rng = fastrand::Rng::with_seed(seed);
        let dimension = [Dimension::Requests, Dimension::Worth, Dimension::InFlight][rng.usize(..3)];
        let unit = if dimension == Dimension::Worth { 1000 } else { 1 };
        let mut shares = vec![share("all", None, 0, 100 * unit)];
        let mut free = vec![100 * unit];
        for n in 1..rng.usize(3..12) {
            let parent = rng.usize(..n.min(4));
            let guarantee = rng.u64(0..=free[parent]);
            free[parent] -= guarantee;
            free.push(guarantee);
            let ceiling = guarantee.max(rng.u64(0..=100 * unit));
            shares.push(share(&n.to_string(), Some(parent), guarantee, ceiling));
        }
        RandomPlan { plan: plan(dimension, SECOND, shares), rng }
    }
}

#[test]
fn no_ceiling_is_exceeded_and_nothing_panics_on_three_hundred_random_plans() {
    for seed in 0..300 {
        let RandomPlan { mut rng, plan } = RandomPlan::new(seed);
        let in_flight = plan.measures[0].dimension == Dimension::InFlight;
        let mut quota = Quota::new(plan.clone(), 0).unwrap();
        let (mut now, mut latest, mut admitted, mut open) = (0, 0, Vec::new(), Vec::new());
        for _ in 0..600 {
            now += rng.u64(0..20_000);
            // A clock that goes backwards counts as standing still.
            let clock = if rng.u8(..20) == 0 { now / 2 } else { now };
            latest = clock.max(latest);
            let share = rng.usize(1..plan.shares.len());
            let request = QuotaRequest { share, lane: 0, worth: rng.u64(1..3000), bytes: 1 };
            if let Ok(ticket) = quota.try_acquire(clock, request) {
                let cost = if plan.measures[0].dimension == Dimension::Worth { request.worth } else { 1 };
                admitted.push((latest, share, cost));
                open.push((ticket, share));
            }
            if in_flight && !open.is_empty() && rng.bool() {
                let (ticket, _) = open.swap_remove(rng.usize(..open.len()));
                quota.release(now, ticket, Completion::Charged);
            }
            for (v, bounds) in plan.shares.iter().enumerate() {
                let is_below = |mut share: usize| loop {
                    match plan.shares[share].parent {
                        _ if share == v => break true,
                        Some(parent) => share = parent,
                        None => break false,
                    }
                };
                let used: u64 = match in_flight {
                    true => open.iter().filter(|(_, share)| is_below(*share)).count() as u64,
                    false => {
                        let recent =
                            admitted.iter().filter(|(at, share, _)| at + SECOND > latest && is_below(*share));
                        recent.map(|(_, _, cost)| cost).sum()
                    }
                };
                assert!(used <= bounds.bounds[0].ceiling, "seed {seed}: share {v} is at {used}");
            }
        }
    }
}

#[test]
fn a_single_active_share_is_refused_only_at_a_ceiling() {
    for seed in 0..200 {
        let RandomPlan { mut rng, plan } = RandomPlan::new(seed);
        let mut quota = Quota::new(plan.clone(), 0).unwrap();
        let share = rng.usize(1..plan.shares.len());
        for n in 0..2000 {
            if let Err(exceeded) = quota.try_acquire(n * 1000, request(share)) {
                assert_eq!(exceeded.reason, ExceededReason::Ceiling, "seed {seed}");
            }
        }
    }
}

#[test]
fn a_guarantee_is_met_within_a_window_on_two_hundred_random_plans() {
    for seed in 0..200 {
        let RandomPlan { mut rng, plan } = RandomPlan::new(seed);
        if plan.measures[0].dimension != Dimension::Requests {
            continue;
        }
        let mut quota = Quota::new(plan.clone(), 0).unwrap();
        let leaves: Vec<usize> = (1..plan.shares.len())
            .filter(|&n| plan.shares.iter().all(|share| share.parent != Some(n)))
            .collect();
        let owner = leaves[rng.usize(..leaves.len())];
        let guarantee = plan.shares[owner].bounds[0].guarantee;
        // An ancestor may be bounded below what is guaranteed to the shares under it; the guarantee can't be met then.
        let mut ancestor = plan.shares[owner].parent;
        let mut is_covered = true;
        while let Some(v) = ancestor {
            is_covered &= plan.bounds(v, 0).guarantee >= guarantee;
            ancestor = plan.shares[v].parent;
        }
        if guarantee < 10 || !is_covered {
            continue;
        }
        let overload: Vec<(usize, u64)> =
            leaves.iter().filter(|&&leaf| leaf != owner).map(|&leaf| (leaf, 500)).collect();
        run_load(&mut quota, 0, 5 * SECOND, &overload);
        let all: Vec<(usize, u64)> = overload.into_iter().chain([(owner, guarantee)]).collect();
        let admitted = run_load(&mut quota, 5 * SECOND, 10 * SECOND, &all);
        assert!(
            is_guarantee_met(&admitted[owner], guarantee),
            "seed {seed}: {guarantee}: {:?}",
            admitted[owner]
        );
    }
}
