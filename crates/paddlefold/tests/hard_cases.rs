//! Simulated deployments with faults: zones that are lost, cut off or too small, fleets that shrink, caches
//! that fail fast, scans, and nodes that all start at once.

mod common;
use common::site::*;
use common::*;
use paddlefold::*;

const MS: Micros = 1_000;

/// Three zones of three caches, each used to about 40 %; crossing zones costs a fifth of an answer's worth.
fn plan(seed: u64) -> Plan {
    Plan {
        seed,
        settings: Settings {
            classes: vec![Class { aim: 300 * MS, worth: 1.0, effect: Effect::Safe }],
            mode: Mode::Aside,
            max_attempts: 6,
            cold: 15 * SECOND,
            cold_from: 0.2,
            overload_factor: 3.0,
            fall: 2 * SECOND,
            quantum: 5 * MS,
            cross_zone_price: 0.2,
            max_retry_after: 800 * MS,
            ..Settings::default()
        },
        caches: vec![3, 3, 3],
        read_rates: vec![60.0, 60.0, 60.0],
        distinct_keys: 2_000,
        keys_per_cache: 60,
        service_time: 50 * MS,
        crossing_delay: 4 * MS,
        origin: (160.0, 40 * MS),
        duration: 25 * SECOND,
        faults: Vec::new(),
    }
}

/// Makes cold caches collapse under a third of what would be their share of the reads.
fn set_fragile(plan: &mut Plan) {
    (plan.settings.cold_from, plan.settings.overload_factor) = (0.1, 1.2);
}

/// Runs a plan with three seeds.
fn run_each(change: impl Fn(&mut Plan), check: impl Fn(&Tally)) {
    for seed in 1..4 {
        let mut plan = plan(seed);
        change(&mut plan);
        let tally = Site::run(plan);
        println!("{}", Summary(&tally));
        check(&tally);
    }
}

struct Summary<'a>(&'a Tally);

impl std::fmt::Display for Summary<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let t = self.0;
        let (served, crossings, hit_ratio) = (t.served_ratio(), t.crossings_per_read(), t.hit_ratio());
        write!(f, "served {served:.3}, late {}, unserved {}, crossings {crossings:.3}", t.late, t.unserved)?;
        write!(
            f,
            ", fetches {}, hit ratio {hit_ratio:.3}, cold load {:.2}, origin load {:.2}",
            t.fetches, t.max_cold_load, t.max_origin_load
        )
    }
}

#[test]
fn a_healthy_site_serves_all_reads_and_crosses_zones_only_for_fetches() {
    run_each(
        |_| {},
        |t| {
            assert!(t.served_ratio() > 0.99);
            assert!(t.crossings_per_read() < 0.45);
        },
    );
}

#[test]
fn a_zone_whose_caches_carry_half_of_its_reads_sends_the_rest_to_idle_zones() {
    run_each(
        |p| {
            p.caches = vec![1, 4, 4];
            p.read_rates = vec![90.0, 20.0, 20.0];
        },
        |t| assert!(t.served_ratio() > 0.9),
    );
}

#[test]
fn a_zone_that_is_lost_and_comes_back_cold_is_not_overloaded() {
    run_each(
        |p| {
            p.origin.0 = 250.0;
            set_fragile(p);
            p.faults = vec![(8 * SECOND, Fault::LoseZone(2)), (14 * SECOND, Fault::RestoreZone(2))];
        },
        |t| {
            assert!(t.max_cold_load < 1.0, "no cold cache is sent as much as makes it collapse");
            assert!(t.served_ratio_between(0, 7) > 0.97 && t.served_ratio_between(20, 25) > 0.9);
        },
    );
}

#[test]
fn a_zone_that_is_cut_off_serves_what_its_own_caches_hold_and_the_others_go_on() {
    run_each(
        |p| {
            p.faults =
                vec![(8 * SECOND, Fault::Partition(2, true)), (16 * SECOND, Fault::Partition(2, false))]
        },
        |t| {
            assert!(t.served_ratio_between(9, 16) > 0.66, "two zones of three and some hits");
            assert!(t.served_ratio_between(20, 25) > 0.97, "as before the partition");
        },
    );
}

#[test]
fn a_fleet_that_shrinks_to_a_third_within_eight_seconds_serves_on() {
    run_each(
        |p| {
            p.read_rates = vec![25.0, 25.0, 25.0];
            p.faults = [2, 3, 5, 6, 8, 9]
                .into_iter()
                .zip(5..)
                .map(|(id, s)| (s * SECOND, Fault::Drain(ServerId(id))))
                .collect();
        },
        |t| assert!(t.served_ratio() > 0.95),
    );
}

#[test]
fn a_fifth_of_the_caches_failing_fast_costs_little() {
    for ratio in [0.31, 0.6, 0.93] {
        run_each(
            |p| p.faults = [1, 5].map(|id| (5 * SECOND, Fault::FailRequests(ServerId(id), ratio))).into(),
            |t| assert!(t.served_ratio() > 0.95, "{ratio} of the requests of a fifth of the caches"),
        );
    }
}

#[test]
fn a_scan_with_the_origin_near_its_capacity_neither_overloads_it_nor_empties_the_caches() {
    run_each(
        |p| p.faults = vec![(10 * SECOND, Fault::Scan(0.2)), (20 * SECOND, Fault::Scan(0.0))],
        |t| {
            assert!(t.max_origin_load < 1.5, "the origin stops at 2.5 times its capacity for 3 s");
            assert!(t.served_ratio_between(11, 20) > 0.9);
        },
    );
}

#[test]
fn nodes_that_all_start_at_once_with_cold_caches_overload_none() {
    run_each(
        |p| {
            p.faults = (0..3).map(|zone| (0, Fault::RestoreZone(zone))).collect();
            set_fragile(p);
        },
        |t| assert!(t.max_cold_load < 1.0),
    );
}

#[test]
fn any_number_of_zones_is_served_and_a_price_halves_the_crossings_at_least() {
    for zones in [1, 3, 8] {
        for seed in 1..4 {
            let run = |price| {
                let mut plan = plan(seed);
                plan.caches = vec![24 / zones as u32; zones];
                plan.read_rates = vec![240.0 / zones as f64; zones];
                plan.settings.cross_zone_price = price;
                plan.origin.0 = 300.0; // all caches are empty at first
                plan.duration = 12 * SECOND;
                Site::run(plan)
            };
            let tallies = [0.0, 0.01, 0.2].map(run);
            for tally in &tallies {
                assert!(tally.served_ratio() > 0.98, "{zones} zones: {}", Summary(tally));
            }
            let [free, _, priced] = tallies.map(|t| t.crossings_per_read());
            assert!(priced <= free / 2.0, "{zones} zones: {priced} with a price, {free} without");
        }
    }
}
