//! Quotas under random plans and loads, and the hard cases one by one. Time is the test's.

use lilacquay_quota::{
    Bounds, Completion, Dimension, Measure, Micros, Over, Plan, Quota, QuotaRequest, Share, Ticket, Why,
};

const SECOND: Micros = 1_000_000;

fn share(name: &str, parent: Option<usize>, guarantee: u64, ceiling: u64) -> Share {
    Share { name: name.into(), parent, bounds: vec![Bounds { guarantee, ceiling }] }
}

fn plan(dimension: Dimension, window: Micros, shares: Vec<Share>) -> Plan {
    Plan { measures: vec![Measure { lane: 0, dimension, window }], shares, half_life: 5 * SECOND }
}

/// One hundred a second for a, guaranteed 50, b 30 and c 20.
fn three() -> Plan {
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

fn ask(share: usize) -> QuotaRequest {
    QuotaRequest { share, lane: 0, worth: 1000, bytes: 100 }
}

/// Asks at even times for each share so often a second, from one time to another; tells how many each got, by
/// windows.
fn play(quota: &mut Quota, from: Micros, to: Micros, rates: &[(usize, u64)]) -> Vec<Vec<u64>> {
    let windows = ((to - from) / SECOND) as usize;
    let mut got = vec![vec![0; windows]; quota.plan().shares.len()];
    let mut asks: Vec<(Micros, usize)> = rates
        .iter()
        .flat_map(|&(share, rate)| (0..rate * windows as u64).map(move |n| (from + n * SECOND / rate, share)))
        .collect();
    asks.sort();
    for (at, share) in asks {
        if quota.try_acquire(at, ask(share)).is_ok() {
            got[share][((at - from) / SECOND) as usize] += 1;
        }
    }
    got
}

/// Whether one who asks for just its guarantee gets it, by windows from when it woke. Use is known to a sixteenth of a
/// window: what was lent is back after 17 of them, and from then on at most one is missing, and one request.
fn is_met(got: &[u64], guarantee: u64) -> bool {
    got[1] >= guarantee * 13 / 16 && got[2..].iter().all(|&n| n + 1 >= guarantee * 15 / 16)
}

#[test]
fn an_owner_that_wakes_has_its_guarantee_within_a_window_whatever_was_lent() {
    let mut quota = Quota::new(three(), 0).unwrap();
    let lent = play(&mut quota, 0, 10 * SECOND, &[(1, 1000)]);
    assert!(lent[1][2..].iter().all(|&n| (88..=106).contains(&n)), "all is lent: {lent:?}");
    // Both others wake at once, asking for just what is theirs, beside ten times too much.
    let got = play(&mut quota, 10 * SECOND, 20 * SECOND, &[(1, 1000), (2, 30), (3, 20)]);
    assert!(is_met(&got[2], 30) && is_met(&got[3], 20), "{got:?}");
    assert!(got[1][1..].iter().sum::<u64>() >= 9 * 44, "and the flood keeps its own: {got:?}");
}

#[test]
fn owners_that_ask_at_random_have_theirs_beside_a_flood_on_twenty_seeds() {
    for seed in 0..20 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut quota = Quota::new(three(), 0).unwrap();
        // Ten times its share, and half of theirs: b from the start, c from when all is lent.
        let mut asks: Vec<(Micros, usize)> = Vec::new();
        for (share, rate, from) in [(1, 500.0, 0.0), (2, 15.0, 0.0), (3, 10.0, 10.0)] {
            let mut at: f64 = from;
            while at < 30.0 {
                at -= (1.0 - rng.f64()).ln() / rate;
                asks.push(((at * 1e6) as Micros, share));
            }
        }
        asks.sort();
        let (mut asked, mut got) = ([0; 4], [0; 4]);
        for (at, share) in asks {
            let admitted = quota.try_acquire(at, ask(share)).is_ok();
            // Judged from a window and a sixteenth after the last has woken.
            if at > 11 * SECOND + SECOND / 16 {
                asked[share] += 1;
                got[share] += u64::from(admitted);
            }
        }
        for share in [2, 3] {
            assert!(got[share] * 100 >= asked[share] * 90, "seed {seed}: {} of {}", got[share], asked[share]);
        }
        // It asks in bursts as room comes back: a slot in 17 is not its own.
        assert!(got[1] >= 880, "seed {seed}: the flood has its own 50 a second: {}", got[1]);
    }
}

#[test]
fn idle_room_is_lent_in_proportion_to_guarantees_among_those_that_ask() {
    let mut quota = Quota::new(three(), 0).unwrap();
    let got = play(&mut quota, 0, 40 * SECOND, &[(2, 1000), (3, 1000)]);
    let sum = |share: usize| got[share][10..].iter().sum::<u64>() as f64;
    assert!((1.25..1.85).contains(&(sum(2) / sum(3))), "30 to 20: {} to {}", sum(2), sum(3));
    assert!(sum(2) + sum(3) > 30.0 * 88.0, "and all of it");
}

#[test]
fn a_relative_lends_before_a_stranger() {
    // Two regions of 50; in the first, two councils of 25. One council floods, and so does the other region.
    let shares = vec![
        share("all", None, 0, 100),
        share("north", Some(0), 50, 100),
        share("south", Some(0), 50, 100),
        share("a", Some(1), 25, 100),
        share("b", Some(1), 25, 100),
        share("c", Some(2), 50, 100),
    ];
    let mut quota = Quota::new(plan(Dimension::Requests, SECOND, shares), 0).unwrap();
    let got = play(&mut quota, 0, 10 * SECOND, &[(3, 1000), (5, 1000)]);
    let mean = |got: &[Vec<u64>], share: usize| got[share][2..].iter().sum::<u64>() as f64 / 8.0;
    assert!(mean(&got, 3) >= 43.0 && mean(&got, 5) >= 43.0, "{got:?}");
    assert_eq!(quota.lender(10 * SECOND, 3, 0), Some(1), "its region, not the other");
    // The sibling wakes: it is its region's room that it gets back.
    let got = play(&mut quota, 10 * SECOND, 20 * SECOND, &[(3, 1000), (4, 25), (5, 1000)]);
    assert!(is_met(&got[4], 25), "{got:?}");
    assert!(mean(&got, 5) >= 43.0, "the stranger's is untouched: {got:?}");
}

#[test]
fn bursts_at_the_edges_of_windows_get_no_more_than_one_window_allows() {
    let mut quota = Quota::new(three(), 0).unwrap();
    let mut times = Vec::new();
    for at in [SECOND - 1, SECOND + 1, 2 * SECOND - 1, 2 * SECOND + 1] {
        times.extend((0..200).filter(|_| quota.try_acquire(at, ask(1)).is_ok()).map(|_| at));
    }
    for (n, &first) in times.iter().enumerate() {
        let within = times[n..].iter().take_while(|&&at| at < first + SECOND).count();
        assert!(within <= 100, "{within} within a second");
    }
}

#[test]
fn a_storm_of_refused_requests_takes_nothing_from_those_who_behave() {
    let mut calm = Quota::new(three(), 0).unwrap();
    let mut stormy = Quota::new(three(), 0).unwrap();
    let calm = play(&mut calm, 0, 10 * SECOND, &[(1, 200), (2, 30), (3, 20)]);
    let stormy = play(&mut stormy, 0, 10 * SECOND, &[(1, 20_000), (2, 30), (3, 20)]);
    for share in [2, 3] {
        let sums: [u64; 2] = [&calm, &stormy].map(|got| got[share][1..].iter().sum());
        assert!(sums[1] * 100 >= sums[0] * 95, "{sums:?}");
    }
}

#[test]
fn in_flight_room_that_was_lent_comes_back_as_it_is_let_go() {
    let shares = vec![share("all", None, 0, 10), share("a", Some(0), 5, 10), share("b", Some(0), 5, 10)];
    let mut quota = Quota::new(plan(Dimension::InFlight, 0, shares), 0).unwrap();
    let mut slow: Vec<Ticket> = (0..10).map(|_| quota.try_acquire(1, ask(1)).unwrap()).collect();
    assert_eq!(quota.try_acquire(2, ask(1)).unwrap_err().why, Why::Ceiling);
    for n in 0..5 {
        assert!(quota.try_acquire(10 + n, ask(2)).is_err(), "all is out");
        quota.release(10 + n, slow.pop().unwrap(), Completion::Charged);
        assert_eq!(quota.try_acquire(10 + n, ask(1)).unwrap_err().why, Why::Kept, "not for the borrower");
        quota.try_acquire(10 + n, ask(2)).unwrap();
    }
    assert_eq!((quota.used(20, 1, 0), quota.used(20, 2, 0)), (5, 5));
}

#[test]
fn another_lane_is_not_refused_because_one_is_used_up() {
    let mut plan = three();
    plan.measures.push(Measure { lane: 1, ..plan.measures[0] });
    plan.shares.iter_mut().for_each(|share| share.bounds.push(share.bounds[0]));
    let mut quota = Quota::new(plan, 0).unwrap();
    while quota.try_acquire(0, ask(1)).is_ok() {}
    let signup = QuotaRequest { lane: 1, ..ask(1) };
    assert!(quota.try_acquire(0, signup).is_ok() && quota.try_acquire(0, ask(2)).is_err());
}

#[test]
fn what_was_refused_untried_is_given_back_and_what_was_tried_is_not() {
    let mut quota = Quota::new(three(), 0).unwrap();
    let tickets: Vec<Ticket> = (0..100).map(|_| quota.try_acquire(0, ask(1)).unwrap()).collect();
    quota.release(1, tickets[0], Completion::Charged);
    assert!(quota.try_acquire(1, ask(1)).is_err());
    quota.release(1, tickets[1], Completion::Refunded);
    assert!(quota.try_acquire(1, ask(1)).is_ok() && quota.try_acquire(1, ask(1)).is_err());
}

#[test]
fn a_refusal_says_when_there_would_be_room_and_there_is() {
    let mut quota = Quota::new(three(), 0).unwrap();
    let mut at = 0;
    while quota.try_acquire(at, ask(1)).is_ok() {
        at += 3_000;
    }
    let Over { retry_after, why, at: place, .. } = quota.try_acquire(at, ask(1)).unwrap_err();
    assert!(why == Why::Ceiling && place == 1 && retry_after > 0 && retry_after <= SECOND * 17 / 16);
    assert!(quota.try_acquire(at + retry_after - SECOND / 16, ask(1)).is_err(), "no sooner");
    assert!(quota.try_acquire(at + retry_after, ask(1)).is_ok());
    assert_eq!(quota.last_refusals(1).count(), 3);
    assert_eq!(quota.refused(1), 3);
}

#[test]
fn a_reload_keeps_what_is_used_and_refuses_nobody_for_a_smaller_guarantee() {
    let mut quota = Quota::new(three(), 0).unwrap();
    play(&mut quota, 0, 5 * SECOND, &[(1, 1000)]);
    let mut smaller = three();
    smaller.shares[1].bounds[0] = Bounds { guarantee: 25, ceiling: 60 };
    let before = quota.used(5 * SECOND, 1, 0);
    quota.reload(smaller.clone(), 5 * SECOND).unwrap();
    assert!(before > 60 && (50..=60).contains(&quota.used(5 * SECOND, 1, 0)), "down to the new ceiling");
    let got = play(&mut quota, 5 * SECOND, 10 * SECOND, &[(1, 1000), (2, 30)]);
    assert!(got[1].iter().all(|&n| n >= 45) && got[2].iter().all(|&n| n >= 20), "{got:?}");
    // Those who ask all the time notice nothing, whatever is lent.
    for n in 10..20 {
        quota.reload(if n % 2 == 0 { three() } else { smaller.clone() }, n * SECOND).unwrap();
        let got = play(&mut quota, n * SECOND, (n + 1) * SECOND, &[(1, 1000), (2, 30)]);
        assert!(got[2][0] >= 27, "{got:?}");
    }
    let mut wrong = smaller;
    wrong.shares[1].bounds[0].guarantee = 51;
    assert!(quota.reload(wrong, 21 * SECOND).is_err(), "the old one stays");
    assert_eq!(quota.plan().shares[1].bounds[0].guarantee, 25);
}

#[test]
fn work_in_flight_over_a_reload_is_let_go_by_whose_it_was_or_by_nobody() {
    let tree = |names: &[&str]| {
        let mut shares = vec![share("all", None, 0, 10)];
        shares.extend(names.iter().map(|name| share(name, Some(0), 2, 4)));
        plan(Dimension::InFlight, 0, shares)
    };
    let mut quota = Quota::new(tree(&["a", "b"]), 0).unwrap();
    let old: Vec<Ticket> = (0..3).map(|_| quota.try_acquire(0, ask(1)).unwrap()).collect();
    // Other bounds alone: all stays.
    let mut other = tree(&["a", "b"]);
    other.shares[1].bounds[0].ceiling = 5;
    quota.reload(other, 1).unwrap();
    assert_eq!(quota.used(1, 1, 0), 3);
    quota.release(2, old[0], Completion::Charged);
    assert_eq!(quota.used(2, 1, 0), 2);
    // Another tree, in which b stands where a stood.
    quota.reload(tree(&["b", "a"]), 3).unwrap();
    let held: Vec<Ticket> = (0..3).map(|_| quota.try_acquire(4, ask(1)).unwrap()).collect();
    old[1..].iter().for_each(|&ticket| quota.release(5, ticket, Completion::Charged));
    assert_eq!([0, 1, 2].map(|share| quota.used(5, share, 0)), [3, 3, 0]);
    held.into_iter().for_each(|ticket| quota.release(6, ticket, Completion::Charged));
    assert_eq!([0, 1, 2].map(|share| quota.used(6, share, 0)), [0; 3], "nothing is left behind");
}

#[test]
fn debts_are_paid_down_by_their_half_life() {
    let mut quota = Quota::new(three(), 0).unwrap();
    while quota.try_acquire(0, ask(1)).is_ok() {}
    let debt = quota.debt(0, 1, 0);
    assert_eq!(debt, 50.0);
    // It is forgiven by whole slots, while the share is still among those that have used something.
    let later = quota.debt(SECOND / 2, 1, 0);
    let halved = 50.0 * 0.5_f64.powf(0.1);
    assert!((later - halved).abs() < 0.5, "{later}, not {halved}");
}

// ---- random plans and loads ----

struct Random {
    rng: fastrand::Rng,
    plan: Plan,
}

impl Random {
    fn new(seed: u64) -> Random {
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
        Random { plan: plan(dimension, SECOND, shares), rng }
    }
}

#[test]
fn no_ceiling_is_passed_in_any_window_and_nothing_panics_on_three_hundred_plans() {
    for seed in 0..300 {
        let Random { mut rng, plan } = Random::new(seed);
        let held = plan.measures[0].dimension == Dimension::InFlight;
        let mut quota = Quota::new(plan.clone(), 0).unwrap();
        let (mut now, mut latest, mut admitted, mut open) = (0, 0, Vec::new(), Vec::new());
        for _ in 0..600 {
            now += rng.u64(0..20_000);
            // A clock that goes back is read as standing still.
            let told = if rng.u8(..20) == 0 { now / 2 } else { now };
            latest = told.max(latest);
            let share = rng.usize(1..plan.shares.len());
            let ask = QuotaRequest { share, lane: 0, worth: rng.u64(1..3000), bytes: 1 };
            if let Ok(ticket) = quota.try_acquire(told, ask) {
                let cost = if plan.measures[0].dimension == Dimension::Worth { ask.worth } else { 1 };
                admitted.push((latest, share, cost));
                open.push((ticket, share));
            }
            if held && !open.is_empty() && rng.bool() {
                let (ticket, _) = open.swap_remove(rng.usize(..open.len()));
                quota.release(now, ticket, Completion::Charged);
            }
            for (v, bounds) in plan.shares.iter().enumerate() {
                let under = |mut share: usize| loop {
                    match plan.shares[share].parent {
                        _ if share == v => break true,
                        Some(parent) => share = parent,
                        None => break false,
                    }
                };
                let used: u64 = match held {
                    true => open.iter().filter(|(_, share)| under(*share)).count() as u64,
                    false => {
                        let recent =
                            admitted.iter().filter(|(at, share, _)| at + SECOND > latest && under(*share));
                        recent.map(|(_, _, cost)| cost).sum()
                    }
                };
                assert!(used <= bounds.bounds[0].ceiling, "seed {seed}: share {v} is at {used}");
            }
        }
    }
}

#[test]
fn a_lone_asker_is_refused_only_at_a_ceiling() {
    for seed in 0..200 {
        let Random { mut rng, plan } = Random::new(seed);
        let mut quota = Quota::new(plan.clone(), 0).unwrap();
        let share = rng.usize(1..plan.shares.len());
        for n in 0..2000 {
            if let Err(over) = quota.try_acquire(n * 1000, ask(share)) {
                assert_eq!(over.why, Why::Ceiling, "seed {seed}");
            }
        }
    }
}

#[test]
fn a_guarantee_is_met_within_a_window_of_asking_on_two_hundred_plans() {
    for seed in 0..200 {
        let Random { mut rng, plan } = Random::new(seed);
        if plan.measures[0].dimension != Dimension::Requests {
            continue;
        }
        let mut quota = Quota::new(plan.clone(), 0).unwrap();
        let leaves: Vec<usize> = (1..plan.shares.len())
            .filter(|&n| plan.shares.iter().all(|share| share.parent != Some(n)))
            .collect();
        let owner = leaves[rng.usize(..leaves.len())];
        let guarantee = plan.shares[owner].bounds[0].guarantee;
        // The ceilings above it may be under what is promised below them to others: no promise then.
        let mut above = plan.shares[owner].parent;
        let mut kept = true;
        while let Some(v) = above {
            kept &= plan.bounds(v, 0).guarantee >= guarantee;
            above = plan.shares[v].parent;
        }
        if guarantee < 10 || !kept {
            continue;
        }
        let flood: Vec<(usize, u64)> =
            leaves.iter().filter(|&&leaf| leaf != owner).map(|&leaf| (leaf, 500)).collect();
        play(&mut quota, 0, 5 * SECOND, &flood);
        let all: Vec<(usize, u64)> = flood.into_iter().chain([(owner, guarantee)]).collect();
        let got = play(&mut quota, 5 * SECOND, 10 * SECOND, &all);
        assert!(is_met(&got[owner], guarantee), "seed {seed}: {guarantee}: {:?}", got[owner]);
    }
}
