//! The rules for sends and answers (deadlines, repeats, drains, slow start), updates of the list, restarts,
//! and the concurrency limits.

mod common;
use common::*;
use paddlefold::*;

#[test]
fn a_time_out_at_the_clients_deadline_is_answered_at_once() {
    let mut node = Node::new(settings(Mode::Through), 4);
    node.read(1, "k");
    node.now += SECOND;
    assert!(has_final_answer(&node.end_attempt(1, 0, Outcome::TimedOut, SECOND)));
}

#[test]
fn a_waiting_request_is_answered_in_time() {
    let mut node = Node::new(settings(Mode::Aside), 4);
    node.read(1, "k");
    node.read(2, "k");
    node.end_attempt(1, 0, Outcome::Miss, 5_000);
    let waiting = node.end_attempt(2, 0, Outcome::Miss, 5_000);
    let (after, token) = first_timer(&waiting).expect("a timer before its deadline");
    assert!(after < SECOND);
    node.now += after;
    assert!(has_final_answer(&node.fire_timer(token)));
}

#[test]
fn a_request_that_the_origin_rejected_is_answered_in_time() {
    // Under overload, a delay before the next attempt that exceeds the deadline would leave the request
    // unanswered.
    let mut node = Node::new(settings(Mode::Aside), 4);
    node.read(1, "k");
    node.end_attempt(1, 0, Outcome::Miss, 5_000);
    node.now += SECOND - 40_000;
    let rejected = node.end_attempt(1, 1, Outcome::ConnectError, 150_000);
    if !has_final_answer(&rejected) {
        let (after, token) = first_timer(&rejected).expect("a timer");
        assert!(after <= 40_000);
        node.now += after;
        assert!(has_final_answer(&node.fire_timer(token)));
    }
}

#[test]
fn nothing_is_sent_after_the_request_has_ended() {
    let mut node = Node::new(settings(Mode::Through), 4);
    let actions = node.read(1, "k");
    node.handle(Event::ClientGone(RequestId(1)));
    node.now += 300_000;
    let later = first_timer(&actions).map(|(_, token)| node.fire_timer(token)).unwrap_or_default();
    assert!(later.is_empty());
    let late = node.end_attempt(1, 0, Outcome::ConnectError, 300_000);
    assert!(first_send(&late).is_none() && !has_final_answer(&late), "{late:?}");
    assert!(node.end_attempt(1, 0, Outcome::ConnectError, 300_000).is_empty(), "a second outcome is ignored");
    assert!(node.handle(Event::ClientGone(RequestId(1))).is_empty(), "an id already dropped");
}

#[test]
fn an_unsafe_request_is_retried_only_if_it_surely_did_not_run() {
    for (outcome, retried) in [
        (Outcome::QueueFull, true),
        (Outcome::ConnectError, true),
        (Outcome::Failed, false),
        (Outcome::TimedOut, false),
        (Outcome::Reset, false),
    ] {
        let mut node = Node::new(settings(Mode::Through), 4);
        node.request(1, "k", 2, true);
        let actions = node.end_attempt(1, 0, outcome, 10_000);
        assert_eq!(first_send(&actions).is_some(), retried, "{outcome:?}");
        let failed = actions.contains(&Action::Fail(RequestId(1)));
        assert_eq!(failed, !retried, "failed, not refused, where it may have run: {outcome:?}");
    }
}

#[test]
fn a_keyed_request_is_retried_only_within_its_group() {
    let mut s = settings(Mode::Through);
    s.classes[1].effect = Effect::Keyed { scope: Scope::Zone, window: 2 * SECOND };
    let member = |id| Member { zone: id % 2, ..Member::up(ServerId(id)) };
    let mut retried = 0;
    for n in 0..40 {
        let mut node = Node::new(s.clone(), 0);
        node.update_list(ListScope::Full, (1..=6).map(member).collect());
        let first = first_send(&node.request(n, &format!("k{n}"), 1, true)).unwrap();
        if let Some(second) = first_send(&node.end_attempt(n, 0, Outcome::Reset, 1_000)) {
            assert_eq!(first.0 % 2, second.0 % 2, "same zone");
            retried += 1;
        }
    }
    assert!(retried > 0);
}

#[test]
fn a_keyed_request_is_not_retried_from_or_to_a_server_without_deduplication() {
    let mut s = settings(Mode::Through);
    s.classes[1].effect = Effect::Keyed { scope: Scope::All, window: 2 * SECOND };
    let member = |id| Member { deduplicates: id < 4, ..Member::up(ServerId(id)) };
    let (mut retried, mut failed) = (0, 0);
    for n in 0..40 {
        let mut node = Node::new(s.clone(), 0);
        node.update_list(ListScope::Full, (1..=6).map(member).collect());
        let first = first_send(&node.request(n, &format!("k{n}"), 1, true)).unwrap();
        let actions = node.end_attempt(n, 0, Outcome::Reset, 1_000);
        match first_send(&actions) {
            Some(second) => {
                assert!(first.0 < 4 && second.0 < 4);
                retried += 1;
            }
            None => {
                assert!(actions.contains(&Action::Fail(RequestId(n))));
                failed += 1;
            }
        }
        // A request that has not run may be retried anywhere.
        let first = first_send(&node.request(100 + n, &format!("k{n}"), 1, true)).unwrap();
        let second = first_send(&node.end_attempt(100 + n, 0, Outcome::ConnectError, 1_000)).unwrap();
        assert_ne!(first, second);
    }
    assert!(retried > 0 && failed > 0);
}

#[test]
fn a_request_of_a_keyed_class_without_an_idempotency_key_does_not_run_twice() {
    let mut s = settings(Mode::Through);
    s.classes[1].effect = Effect::Keyed { scope: Scope::All, window: 2 * SECOND };
    let mut node = Node::new(s, 4);
    let request = |id, has_idempotency_key| {
        let (class, key, budget) = (Some(1), Some("k".into()), SECOND);
        Event::Request(Request {
            class,
            key,
            budget,
            has_idempotency_key,
            write: true,
            ..Request::new(RequestId(id))
        })
    };
    node.handle(request(1, false));
    assert!(node.end_attempt(1, 0, Outcome::Reset, 1_000).contains(&Action::Fail(RequestId(1))));
    node.handle(request(2, true));
    assert!(first_send(&node.end_attempt(2, 0, Outcome::Reset, 1_000)).is_some());
}

#[test]
fn a_keyed_request_is_retried_only_within_its_window() {
    let mut s = settings(Mode::Through);
    s.classes[1].effect = Effect::Keyed { scope: Scope::All, window: 200_000 };
    let mut node = Node::new(s, 4);
    node.request(1, "k", 1, true);
    node.now += 250_000;
    let actions = node.end_attempt(1, 0, Outcome::Reset, 250_000);
    assert_eq!(first_send(&actions), None);
    assert!(actions.contains(&Action::Fail(RequestId(1))));
}

#[test]
fn drains_and_removals_take_effect_as_soon_as_they_are_listed() {
    let mut node = Node::new(settings(Mode::Through), 4);
    node.update_list(
        ListScope::Delta,
        vec![Member { state: MemberState::Draining, ..Member::up(ServerId(1)) }],
    );
    node.update_list(ListScope::Full, [1, 2, 3].map(|id| Member::up(ServerId(id))).into());
    node.update_list(
        ListScope::Delta,
        vec![Member { state: MemberState::Draining, ..Member::up(ServerId(2)) }],
    );
    for n in 0..100 {
        let to = node.serve(n, &format!("k{n}"), 20_000);
        assert!(to == ServerId(1) || to == ServerId(3), "{to:?} drains, or a full list omits it");
    }
}

#[test]
fn a_restarted_cache_is_sent_no_more_than_slow_start_allows() {
    // In any second, a node sends it at most 3 times (the overload factor) its warmth, 0.2 at first, of a
    // warm cache's load.
    let mut node = Node::new(settings(Mode::Through), 5);
    let mut id = 0;
    let mut run = |node: &mut Node, seconds: u64| {
        let mut to_cold = Vec::new();
        let end = node.now + seconds * SECOND;
        while node.now < end {
            id += 1;
            // 100 requests a second, 20 for each of the five caches.
            let to = first_send(&node.read(id, &format!("k{}", id % 997))).unwrap();
            to_cold.extend((to == ServerId(5)).then_some(node.now));
            node.now += 10_000;
            node.end_attempt(id, 0, Outcome::Ok, 10_000);
        }
        to_cold
    };
    let warm = run(&mut node, 20).len() as f64 / 20.0;
    let cold = Member { started: Some(node.now), ..Member::up(ServerId(5)) };
    node.update_list(ListScope::Delta, vec![cold]);
    let sends = run(&mut node, 10);
    assert!(!sends.is_empty(), "it is sent some requests");
    for &start in &sends {
        let within = sends.iter().filter(|&&t| t >= start && t < start + SECOND).count() as f64;
        let warmth = 0.2 + 0.8 * (start - sends[0] + 2 * SECOND) as f64 / (20 * SECOND) as f64;
        assert!(within <= 3.0 * warmth * warm, "{within} sends in a second at {warmth} of {warm}");
    }
    let early = sends.iter().filter(|&&t| t < sends[0] + 2 * SECOND).count() as f64 / 2.0;
    assert!(early < 0.6 * warm, "in proportion to its warm-up: {early} of {warm} a second");
}

#[test]
fn caches_that_all_restarted_are_sent_about_as_much_as_before() {
    // With a share computed from hits alone, or from what cold caches serve now, they were sent too little,
    // since they mostly miss, and the few warm caches were overloaded.
    let mut node = Node::new(settings(Mode::Aside), 5);
    let mut id = 0;
    // A hundred reads a second, nearly all of which miss; returns how many per second were sent to caches.
    let mut run = |node: &mut Node, seconds: u64| {
        let end = node.now + seconds * SECOND;
        let mut asked = 0;
        while node.now < end {
            id += 1;
            let mut to = first_send(&node.read(id, &format!("k{id}")));
            node.now += 10_000;
            if to.is_some_and(|to| to != ServerId(99)) {
                asked += 1;
                let outcome = if id % 10 == 0 { Outcome::Ok } else { Outcome::Miss };
                to = first_send(&node.end_attempt(id, 0, outcome, 10_000));
            }
            if to.is_some() {
                let attempt = usize::from(to == Some(ServerId(99)));
                node.end_attempt(id, attempt, Outcome::Ok, 10_000);
            }
            node.handle(Event::ClientGone(RequestId(id)));
        }
        asked as f64 / seconds as f64
    };
    let warm = run(&mut node, 20);
    let cold = |id| Member { started: Some(node.now), ..Member::up(ServerId(id)) };
    let cold = [1, 2, 3, 4, 5].map(cold).into();
    node.update_list(ListScope::Delta, cold);
    run(&mut node, 2);
    let ratio = run(&mut node, 4) / warm;
    // They have 0.28 to 0.44 of their capacity, and collapse at 3 times that.
    assert!(ratio > 0.5, "cold caches were sent {ratio} of the load before");
}

#[test]
fn the_list_is_asked_for_at_once_and_again_after_a_failure() {
    let mut node = Node::new(Settings { must_subscribe: true, ..settings(Mode::Through) }, 0);
    let mut balancer = Balancer::new(Settings { must_subscribe: true, ..settings(Mode::Through) }, 1, 0);
    let mut first = Vec::new();
    let members = vec![Member::up(ServerId(1))];
    balancer.on_event(0, Event::Members { scope: ListScope::Full, members }, &mut first);
    assert!(first.contains(&Action::Subscribe));
    for _ in 0..8 {
        let failed = node.update_list(ListScope::Failed, Vec::new());
        let (after, token) = first_timer(&failed).expect("subscribes again later");
        assert!(after > 0 && after <= 10 * SECOND, "as often as the list must be asked for");
        node.now += after;
        assert_eq!(node.fire_timer(token), [Action::Subscribe]);
    }
}

#[test]
fn failures_at_an_old_address_delayed_the_calls_at_a_new_one() {
    let mut node = Node::new(Settings { must_subscribe: true, ..settings(Mode::Through) }, 0);
    for _ in 0..8 {
        node.update_list(ListScope::Failed, Vec::new());
    }
    node.handle(Event::ListSourceChanged);
    let failed = node.update_list(ListScope::Failed, Vec::new());
    let (after, _) = first_timer(&failed).expect("subscribes again later");
    assert!(after <= SECOND, "what a new configuration brings counts as told after 4 s: {after} us");
}

#[test]
fn with_an_empty_list_requests_are_answered_in_time() {
    let mut through = Node::new(settings(Mode::Through), 0);
    assert!(has_final_answer(&through.read(1, "k")));
    let mut aside = Node::new(settings(Mode::Aside), 0);
    assert_eq!(first_send(&aside.read(1, "k")), Some(ServerId(99)), "the origin alone serves");
}

#[test]
fn extreme_but_legal_values_are_handled() {
    let mut node = Node::new(settings(Mode::Through), 0);
    node.now = u64::MAX / 4;
    let weights = [0.0, -1.0, f64::NAN, f64::INFINITY, 1e300, 1e-300];
    let mut members: Vec<Member> =
        (1..).zip(weights).map(|(id, weight)| Member { weight, ..Member::up(ServerId(id)) }).collect();
    members.push(Member { started: Some(u64::MAX), ..Member::up(ServerId(1)) });
    node.update_list(ListScope::Full, members);
    for (id, budget) in [(1, 0), (2, 1), (3, u64::MAX)] {
        let actions = node.handle(Event::Request(Request { budget, ..Request::new(RequestId(id)) }));
        assert!(first_send(&actions).is_some() || has_final_answer(&actions), "budget {budget}");
    }
    let many = (1..=5_000).map(|id| Member::up(ServerId(id))).collect();
    node.update_list(ListScope::Full, many);
    assert!(first_send(&node.read(10, "k")).is_some());
}

#[test]
fn a_few_unanswered_attempts_do_not_make_a_cache_cold() {
    // Under load, all caches were considered cold, so that none was sent reads.
    let mut node = Node::new(settings(Mode::Aside), 1);
    node.warm_up();
    for id in 1000..1003 {
        node.read(id, "k");
        node.end_attempt(id, 0, Outcome::Reset, 1_000);
        node.handle(Event::ClientGone(RequestId(id)));
    }
    node.now += SECOND;
    node.serve(1003, "k", 20_000);
    for id in 1004..1024 {
        assert_eq!(first_send(&node.read(id, &format!("k{id}"))), Some(ServerId(1)));
        node.now += 1_000;
        node.end_attempt(id, 0, Outcome::Ok, 1_000);
    }
}

#[test]
fn time_outs_lower_the_concurrency_limit_and_answers_raise_it_again() {
    // Without a lower limit, an overload outlasts its cause, since clients leave before answers come; and
    // caches were considered cold because none of them answered for a while.
    let mut node = Node::new(settings(Mode::Through), 4);
    let mut id = 0;
    // Forty reads at once, whose attempts all end with `outcome`; returns how many were sent at the same
    // time.
    let mut round = |node: &mut Node, outcome, elapsed| {
        let start = id;
        id += 40;
        let reads: Vec<Vec<Action>> = (start..id).map(|i| node.read(i, &format!("k{i}"))).collect();
        let of = |a: &Action| match a {
            Action::Send { id, .. } => Some(id.0),
            _ => None,
        };
        let mut sends: Vec<u32> = reads.iter().flatten().filter_map(of).collect();
        let together = sends.len();
        node.now += elapsed;
        while let Some(i) = sends.pop() {
            sends.extend(node.end_attempt(i, 0, outcome, elapsed).iter().filter_map(of));
        }
        together
    };
    let mut last_of =
        |n, node: &mut Node, outcome, elapsed| (0..n).map(|_| round(node, outcome, elapsed)).last().unwrap();
    let healthy = last_of(40, &mut node, Outcome::Ok, 50_000);
    let overloaded = last_of(40, &mut node, Outcome::TimedOut, SECOND);
    let again = last_of(12, &mut node, Outcome::Ok, 50_000);
    assert!(healthy > 8 && overloaded <= 4 && again > 8, "in flight: {healthy}, {overloaded}, {again}");
}

#[test]
fn nothing_is_sent_without_time_for_a_usual_answer() {
    // Under overload, slots would be wasted on reads whose clients give up before they are served.
    let mut node = Node::new(settings(Mode::Through), 4);
    for id in 0..400 {
        node.serve(id, &format!("k{}", id % 50), 100_000);
    }
    let short = Request { class: Some(0), budget: 60_000, ..Request::new(RequestId(1000)) };
    let actions = node.handle(Event::Request(short.clone()));
    assert!(has_final_answer(&actions) && first_send(&actions).is_none(), "{actions:?}");
    let ample = Request { id: RequestId(1001), budget: 600_000, ..short };
    assert!(first_send(&node.handle(Event::Request(ample))).is_some());
}

#[test]
fn a_restarted_node_has_neither_too_low_nor_too_high_a_concurrency_limit() {
    // With a small initial limit, a third of a node's traffic was refused after its restart; with a limit
    // that doubles, caches were overloaded and became slow.
    let mut node = Node::new(settings(Mode::Through), 10);
    let sends = |actions: &[Action]| {
        let of = |a: &Action| match a {
            Action::Send { id, .. } => Some(id.0),
            _ => None,
        };
        actions.iter().filter_map(of).collect::<Vec<u32>>()
    };
    let mut together = 0;
    // Bursts of 100 reads, each served in 50 ms; from the second on each is served well within its aim of 300
    // ms.
    for burst in 0..5 {
        let start = node.now;
        let reads = burst * 1000..burst * 1000 + 100;
        let mut in_flight: Vec<u32> = reads.flat_map(|i| sends(&node.read(i, &format!("k{i}")))).collect();
        while !in_flight.is_empty() {
            together = together.max(in_flight.len());
            node.now += 50_000;
            in_flight = in_flight
                .into_iter()
                .flat_map(|i| sends(&node.end_attempt(i, 0, Outcome::Ok, 50_000)))
                .collect();
        }
        assert!(burst < 1 || node.now - start <= 250_000, "{} us for burst {burst}", node.now - start);
    }
    assert!(together < 50, "{together} in flight at ten caches within a second of the start");
}

#[test]
fn an_unresponsive_cache_is_avoided_after_two_attempts_and_probed_later() {
    let mut node = Node::new(settings(Mode::Through), 6);
    node.warm_up();
    let key = "k1";
    let first = first_send(&node.read(1000, key)).unwrap();
    node.end_attempt(1000, 0, Outcome::ConnectError, 150_000);
    node.handle(Event::ClientGone(RequestId(1000)));
    node.end_attempt(1000, 1, Outcome::Canceled, 1_000);
    assert_eq!(first_send(&node.read(1001, key)), Some(first), "one failure may be chance");
    node.end_attempt(1001, 0, Outcome::ConnectError, 150_000);
    node.handle(Event::ClientGone(RequestId(1001)));
    node.end_attempt(1001, 1, Outcome::Canceled, 1_000);
    let probe = first_send(&node.read(1002, key));
    let next = first_send(&node.read(1003, key));
    assert!(probe != Some(first) || next != Some(first), "probed by one request at a time");
    node.end_attempt(1002, 0, Outcome::ConnectError, 150_000);
    node.end_attempt(1003, 0, Outcome::Canceled, 1_000);
    node.now += 30 * SECOND;
    let again = (1100..1140).any(|id| first_send(&node.read(id, key)) == Some(first));
    assert!(again, "probed again later");
}

#[test]
fn overload_at_most_caches_does_not_delay_reads_of_an_idle_one() {
    // Slow caches would otherwise hold all slots while fast ones are idle.
    let mut node = Node::new(settings(Mode::Through), 9);
    node.warm_up();
    // Caches 8 and 9 answer at once, the others late; returns how many reads the fast ones answered.
    let mut late: Vec<(u32, usize)> = Vec::new();
    let mut round = |node: &mut Node, ids: std::ops::Range<u32>| {
        let mut fast = 0;
        node.now += SECOND;
        let mut todo: Vec<Action> = Vec::new();
        for (id, attempt) in std::mem::take(&mut late) {
            todo.extend(node.end_attempt(id, attempt, Outcome::Ok, 900_000));
        }
        let mut attempts = std::collections::HashMap::new();
        for id in ids.clone() {
            todo.extend(node.read(id, &format!("k{id}")));
            while let Some(action) = todo.pop() {
                if let Action::Send { id, server, .. } = action {
                    let attempt = *attempts.entry(id).and_modify(|n| *n += 1).or_insert(0);
                    if server >= ServerId(8) {
                        fast += 1;
                        todo.extend(node.end_attempt(id.0, attempt, Outcome::Ok, 50_000));
                    } else {
                        late.push((id.0, attempt));
                    }
                }
            }
        }
        ids.for_each(|id| drop(node.handle(Event::ClientGone(RequestId(id)))));
        fast
    };
    let fast: u32 = (10..40).map(|n| round(&mut node, 100 * n..100 * n + 40)).skip(20).sum();
    assert!(fast > 60, "caches 8 and 9 answered {fast} of 400 reads");
}

#[test]
fn slow_misses_lower_the_concurrency_limit() {
    // Where most reads miss, an overload of the caches went unnoticed.
    let together = |elapsed: Micros| {
        let mut node = Node::new(settings(Mode::Aside), 6);
        let mut in_flight = 0;
        for round in 1..40 {
            let ids = 100 * round..100 * round + 40;
            let asked = |id: &u32| {
                first_send(&node.read(*id, &format!("k{id}"))).is_some_and(|to| to != ServerId(99))
            };
            let asked: Vec<u32> = ids.clone().filter(asked).collect();
            in_flight = asked.len();
            node.now += elapsed;
            // All lookups at caches miss; the origin answers at once.
            let mut todo: Vec<(u32, usize)> = asked.iter().map(|&id| (id, 0)).collect();
            while let Some((id, attempt)) = todo.pop() {
                let at_cache = attempt == 0;
                let actions = if at_cache {
                    node.end_attempt(id, attempt, Outcome::Miss, elapsed)
                } else {
                    node.end_attempt(id, attempt, Outcome::Ok, 20_000)
                };
                todo.extend(actions.iter().filter_map(|a| match a {
                    Action::Send { id, server, .. } => Some((id.0, usize::from(*server == ServerId(99)))),
                    _ => None,
                }));
            }
            ids.for_each(|id| drop(node.handle(Event::ClientGone(RequestId(id)))));
        }
        in_flight
    };
    // The aim is 300 ms, of which the fetch takes a part too.
    let (fast, slow) = (together(30_000), together(250_000));
    assert!(slow * 3 <= fast, "in flight: {fast} with fast misses, {slow} with slow ones");
}

#[test]
fn reads_that_are_still_in_time_are_fetched_before_late_ones() {
    // The slots of a full origin would otherwise go to answers that are too late to be worth much.
    let mut node = Node::new(settings(Mode::Aside), 6);
    let fetch = |node: &mut Node, id| first_send(&node.end_attempt(id, 0, Outcome::Miss, 10_000)).is_some();
    let late = 500;
    node.read(late, "late");
    node.now += 200_000; // of an aim of 300 ms
    let full = (1..100).find(|&id| {
        node.read(id, &format!("k{id}"));
        !fetch(&mut node, id)
    });
    let fresh = full.expect("the origin is full at some time");
    assert!(!fetch(&mut node, late), "the late read waits too");
    let next = node.end_attempt(1, 1, Outcome::Ok, 20_000);
    let to = next.iter().find_map(|a| match a {
        Action::Send { id, server: ServerId(99), .. } => Some(id.0),
        _ => None,
    });
    assert_eq!(to, Some(fresh));
}

#[test]
fn a_waiting_request_was_refused_only_at_its_deadline() {
    const RESPONSE_TIME: Micros = 50_000;
    let mut node = Node::new(settings(Mode::Aside), 6);
    node.warm_up();
    let deadline = node.now + SECOND;
    node.read(1_000, "k");
    node.read(1_001, "k");
    assert_eq!(first_send(&node.end_attempt(1_000, 0, Outcome::Miss, 5_000)), Some(ServerId(99)));
    let waits = node.end_attempt(1_001, 0, Outcome::Miss, 5_000);
    assert_eq!(first_send(&waits), None, "waits for the fetch in flight");
    let (after, token) = first_timer(&waits).expect("a timer that ends the wait");
    assert!(node.now + after + RESPONSE_TIME / 2 <= deadline, "no attempt can be answered from then on");
    assert!(node.now + after + 2 * RESPONSE_TIME >= deadline, "one still could");
    node.now += after;
    assert!(has_final_answer(&node.fire_timer(token)));
}

#[test]
fn misuse_is_harmless() {
    let mut node = Node::new(settings(Mode::Through), 4);
    assert!(node.end_attempt(7, 0, Outcome::Ok, 1_000).is_empty(), "an unknown request");
    assert!(node.fire_timer(TimerToken(7)).is_empty(), "an unknown timer");
    assert!(node.handle(Event::FirstByte { id: RequestId(7), attempt: 0 }).is_empty());
    assert!(node.handle(Event::ClientGone(RequestId(7))).is_empty());
    assert!(first_send(&node.read(7, "k")).is_some());
    assert!(node.read(7, "other").is_empty(), "an id still in use");
    assert!(node.end_attempt(7, 3, Outcome::Ok, 1_000).is_empty(), "an unknown attempt");
    // A clock that goes back is read as standing still.
    node.now = SECOND;
    node.read(8, "k");
    node.now = 0;
    assert!(first_send(&node.read(9, "k")).is_some());
}

#[test]
fn a_read_with_about_the_usual_time_left_is_tried_and_one_with_none_is_not() {
    let mut node = Node::new(settings(Mode::Aside), 3);
    node.warm_up(); // 50 ms is the usual response time
    for (id, budget, tried) in [(900, 60_000, true), (901, 20_000, false)] {
        let request =
            Request { class: Some(0), key: Some("k".into()), budget, ..Request::new(RequestId(id)) };
        let actions = node.handle(Event::Request(request));
        assert_eq!(first_send(&actions).is_some(), tried, "{budget}");
        assert_eq!(has_final_answer(&actions), !tried, "{budget}");
    }
}

#[test]
fn the_limit_never_falls_below_one_attempt_for_each_cache() {
    let mut node = Node::new(settings(Mode::Aside), 6);
    // All attempts in flight are overdue, and their clients give up.
    for id in 0..200 {
        node.read(id, &format!("k{id}"));
        if id % 4 == 3 {
            node.now += SECOND - 10_000;
            (id - 3..=id).for_each(|id| _ = node.end_attempt(id, 0, Outcome::TimedOut, SECOND - 10_000));
            (id - 3..=id).for_each(|id| _ = node.handle(Event::ClientGone(RequestId(id))));
        }
    }
    let tried = (200..206).filter(|&id| first_send(&node.read(id, &format!("k{id}"))).is_some()).count();
    assert_eq!(tried, 6);
}
