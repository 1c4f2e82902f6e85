//! The path of an ordinary request: choice of a cache, copies of late reads, fetches from the origin, and
//! writes.

mod common;
use common::*;
use paddlefold::*;

#[test]
fn an_idle_key_goes_to_one_cache_at_every_node() {
    let mut a = Node::new(settings(Mode::Through), 10);
    let mut b = Node::new(settings(Mode::Through), 10);
    for n in 0..50 {
        let key = format!("k{n}");
        let first = a.serve(n, &key, 50_000);
        assert_eq!(first, b.serve(n, &key, 50_000));
        assert_eq!(first, a.serve(100 + n, &key, 50_000));
    }
}

#[test]
fn keys_spread_over_all_caches_and_only_those_of_a_lost_cache_move() {
    let mut node = Node::new(settings(Mode::Through), 10);
    let before: Vec<ServerId> = (0..400).map(|n| node.serve(n, &format!("k{n}"), 50_000)).collect();
    let gone = Member { state: MemberState::Removed, ..Member::up(ServerId(4)) };
    node.update_list(ListScope::Delta, vec![gone]);
    for (n, &old) in (0..).zip(&before) {
        let new = node.serve(1000 + n, &format!("k{n}"), 50_000);
        assert!(new == old || old == ServerId(4), "key k{n} moved from {old:?} to {new:?}");
        assert_ne!(new, ServerId(4));
    }
    assert!((1..=10).all(|id| before.contains(&ServerId(id))));
}

#[test]
fn a_constant_weight_attracts_keys_and_a_changing_one_does_not() {
    let share = |steady| {
        let mut node = Node::new(Settings { steady_weights: steady, ..settings(Mode::Through) }, 0);
        let member = |id| Member { weight: if id == 1 { 4.0 } else { 1.0 }, ..Member::up(ServerId(id)) };
        node.update_list(ListScope::Full, (1..=5).map(member).collect());
        (0..400).filter(|&n| node.serve(n, &format!("k{n}"), 50_000) == ServerId(1)).count()
    };
    assert!((150..250).contains(&share(true)), "half of the weight: {}", share(true));
    assert!((40..120).contains(&share(false)), "a fifth of the caches: {}", share(false));
}

#[test]
fn the_candidate_with_fewest_in_flight_gets_the_read_and_the_set_stays_small() {
    let mut node = Node::new(settings(Mode::Through), 10);
    node.warm_up();
    let servers: Vec<ServerId> = (0..6).map(|n| first_send(&node.read(1000 + n, "hot")).unwrap()).collect();
    let mut set = servers.clone();
    set.sort();
    set.dedup();
    assert!(set.len() <= 3, "candidates: {set:?}");
    assert!(set.len() >= 2);
    let busiest = set.iter().map(|s| servers.iter().filter(|t| t == &s).count()).max().unwrap();
    assert!(busiest <= 3, "the load is spread: {servers:?}");
}

#[test]
fn a_late_read_is_copied_to_an_idle_cache_and_the_loser_is_cancelled() {
    let mut node = Node::new(settings(Mode::Through), 6);
    node.warm_up();
    let actions = node.read(1000, "k1");
    let first = first_send(&actions).unwrap();
    let (after, token) = first_timer(&actions).expect("a timer for the copy");
    node.now += after;
    let copy = first_send(&node.fire_timer(token)).expect("a copy");
    assert_ne!(copy, first);
    let served = node.end_attempt(1000, 1, Outcome::Ok, 40_000);
    assert_eq!(cancelled_attempts(&served), [0], "the loser is cancelled");
}

#[test]
fn copies_keep_to_a_budget() {
    let mut node = Node::new(settings(Mode::Through), 6);
    node.warm_up();
    let mut copies = 0;
    for n in 1000..1200 {
        let actions = node.read(n, &format!("k{}", n - 1000));
        // No timer is set once answers usually take so long that a copy would be too late.
        let Some((after, token)) = first_timer(&actions) else {
            node.end_attempt(n, 0, Outcome::Ok, 50_000);
            continue;
        };
        node.now += after;
        copies += usize::from(first_send(&node.fire_timer(token)).is_some());
        node.end_attempt(n, 0, Outcome::Ok, after);
    }
    assert!((1..=30).contains(&copies), "a tenth of 200 reads, and ten saved up: {copies}");
}

#[test]
fn the_budget_of_copies_is_one_of_work_not_of_counts() {
    let mut site = settings(Mode::Through);
    site.classes.push(Class { aim: 300_000, worth: 3.0, effect: Effect::Safe });
    let (heavy, mut node) = (site.classes.len() - 1, Node::new(site, 6));
    let mut copies = 0;
    for n in 0..1000 {
        let (class, work) = if n % 10 == 9 { (heavy, 80_000) } else { (0, 10_000) };
        let actions = node.request(n, &format!("k{n}"), class, false);
        let late = first_timer(&actions).filter(|_| class == heavy && n >= 500);
        node.now += late.map_or(work, |late| late.0);
        let copied = late.is_some_and(|(_, token)| first_send(&node.fire_timer(token)).is_some());
        node.end_attempt(n, 0, Outcome::Ok, work); // the first attempt wins, and takes no longer than usual
        if copied {
            copies += 1;
            node.end_attempt(n, 1, Outcome::Canceled, 1_000);
        }
    }
    // The budget in time is a tenth of the work, 500 * 17 ms / 10 = 850 ms, and 170 ms that are saved up (ten
    // requests); each copy takes 80 ms.
    assert!((5..=14).contains(&copies), "{copies} of 50 heavy reads; a budget of counts would allow all");
}

#[test]
fn reads_with_too_little_time_are_refused_at_once_until_some_are_served() {
    // Reads of impatient clients take work and time, and their clients give up before they are answered.
    let mut node = Node::new(settings(Mode::Through), 6);
    node.warm_up();
    let mut id = 1000;
    // Sends a hundred reads with 45 ms left where answers take 50 ms; returns how many of them were sent to a
    // cache. Those end with `outcome`.
    let mut hundred = |node: &mut Node, outcome: Outcome| {
        let mut sends = 0;
        for _ in 0..100 {
            (id, node.now) = (id + 1, node.now + 20_000);
            let key = Some(format!("k{}", id % 200));
            let short = Request { class: Some(0), key, budget: 45_000, ..Request::new(RequestId(id)) };
            let actions = node.handle(Event::Request(short));
            if first_send(&actions).is_some() {
                sends += 1;
                node.now += 40_000;
                node.end_attempt(id, 0, outcome, 40_000);
                node.handle(Event::ClientGone(RequestId(id)));
            } else {
                assert!(has_final_answer(&actions), "neither sent nor answered at once");
            }
        }
        sends
    };
    assert_eq!(hundred(&mut node, Outcome::Ok), 100, "served, all of them are tried");
    hundred(&mut node, Outcome::TimedOut);
    let tried = hundred(&mut node, Outcome::TimedOut);
    assert!((1..=25).contains(&tried), "{tried} tried of a hundred, none of which was served");
    let (ample, write) = (node.read(5000, "k1"), node.request(5001, "k1", 2, true));
    assert!(
        first_send(&ample).is_some() && first_send(&write).is_some(),
        "requests with more time are not affected"
    );
    node.now += 20 * SECOND;
    assert!(hundred(&mut node, Outcome::Ok) > 90, "the refusals end with time");
}

#[test]
fn settings_that_forbid_copies_and_cancels_are_obeyed() {
    let mut s = settings(Mode::Through);
    (s.second_copies, s.cancel) = (false, false);
    let mut node = Node::new(s, 6);
    let actions = node.read(1, "k");
    node.now += 900_000;
    if let Some((_, token)) = first_timer(&actions) {
        assert_eq!(first_send(&node.fire_timer(token)), None);
    }
    assert!(cancelled_attempts(&node.handle(Event::ClientGone(RequestId(1)))).is_empty());
}

#[test]
fn a_miss_does_not_end_a_read_while_its_copy_is_out() {
    let mut node = Node::new(settings(Mode::Aside), 6);
    node.warm_up();
    let (after, token) = first_timer(&node.read(1000, "k1")).unwrap();
    node.now += after;
    assert!(first_send(&node.fire_timer(token)).is_some_and(|s| s != ServerId(99)));
    assert_eq!(
        first_send(&node.end_attempt(1000, 0, Outcome::Miss, after)),
        None,
        "the copy may still serve it"
    );
    assert_eq!(
        first_send(&node.end_attempt(1000, 1, Outcome::Miss, 10_000)),
        Some(ServerId(99)),
        "both missed"
    );
}

#[test]
fn misses_of_one_key_share_a_fetch() {
    let mut node = Node::new(settings(Mode::Aside), 6);
    let first = first_send(&node.read(1, "k")).unwrap();
    node.read(2, "k");
    assert_eq!(first_send(&node.end_attempt(1, 0, Outcome::Miss, 5_000)), Some(ServerId(99)));
    let waiting = node.end_attempt(2, 0, Outcome::Miss, 5_000);
    assert_eq!(first_send(&waiting), None, "waits for the fetch in flight");
    let fetched = node.end_attempt(1, 1, Outcome::Ok, 30_000);
    assert_eq!(first_send(&fetched), Some(first), "reads what the fetch stored");
}

#[test]
fn writes_go_once_and_without_a_copy() {
    let mut aside = Node::new(settings(Mode::Aside), 6);
    assert_eq!(first_send(&aside.request(1, "k", 1, true)), Some(ServerId(99)), "aside: to the origin");
    let mut through = Node::new(settings(Mode::Through), 6);
    let actions = through.request(1, "k", 1, true);
    assert!(first_send(&actions).is_some());
    through.now += 500_000;
    let later = first_timer(&actions).map(|(_, token)| through.fire_timer(token)).unwrap_or_default();
    assert_eq!(first_send(&later), None, "no copy of a write");
}

#[test]
fn without_a_class_reads_are_safe_and_writes_unsafe() {
    let mut node = Node::new(settings(Mode::Through), 6);
    let mut request = Request { budget: SECOND, ..Request::new(RequestId(1)) };
    assert!(first_send(&node.handle(Event::Request(request.clone()))).is_some());
    assert!(
        first_send(&node.end_attempt(1, 0, Outcome::Reset, 1_000)).is_some(),
        "a read without a class is safe"
    );
    (request.id, request.write, request.class) = (RequestId(2), true, Some(77));
    assert!(first_send(&node.handle(Event::Request(request))).is_some());
    let after = node.end_attempt(2, 0, Outcome::Reset, 1_000);
    assert_eq!(after.first(), Some(&Action::Fail(RequestId(2))), "a write of an unknown class is unsafe");
}

#[test]
fn the_origin_is_never_a_candidate() {
    let mut node = Node::new(settings(Mode::Aside), 3);
    for n in 0..200 {
        assert_ne!(first_send(&node.read(n, &format!("k{n}"))), Some(ServerId(99)));
        node.end_attempt(n, 0, Outcome::Ok, 20_000);
    }
}

#[test]
fn a_keyed_attempt_gets_all_the_time_that_is_left() {
    // With a shorter time-out, keyed writes are aborted, sent again, and fail at the client's deadline.
    let mut node = Node::new(settings(Mode::Through), 6);
    for id in 0..100 {
        node.request(id, &format!("k{id}"), 1, true);
        node.now += 50_000;
        node.end_attempt(id, 0, Outcome::Ok, 50_000);
    }
    let actions = node.request(1000, "k", 1, true);
    let has_full_time =
        |a: &Action| matches!(a, Action::Send { timeout, .. } if *timeout == 0 || *timeout >= SECOND);
    assert!(actions.iter().any(has_full_time), "{actions:?}");
}

/// Fires the timers of a read whose first attempt stays in flight; returns after what time another attempt
/// was sent, if any, and the number of timers.
fn time_to_next_attempt(node: &mut Node, actions: Vec<Action>) -> (Option<Micros>, usize) {
    let (start, mut next) = (node.now, first_timer(&actions));
    for timers in 1..100 {
        let Some((after, token)) = next else { return (None, timers) };
        node.now += after;
        let actions = node.fire_timer(token);
        if first_send(&actions).is_some() {
            return (Some(node.now - start), timers);
        }
        next = first_timer(&actions);
    }
    panic!("a timer is set without end");
}

#[test]
fn overloaded_caches_get_no_copies_but_a_read_at_an_unresponsive_cache_is_retried() {
    // Copies would increase an overload; without a retry, reads at an unresponsive cache would be lost.
    let mut healthy = Node::new(settings(Mode::Through), 6);
    healthy.warm_up();
    let actions = healthy.read(2000, "k1");
    let copied = time_to_next_attempt(&mut healthy, actions).0.expect("a copy");
    let mut overloaded = Node::new(settings(Mode::Through), 6);
    overloaded.warm_up();
    for id in 1000..1003 {
        overloaded.read(id, &format!("k{id}"));
        overloaded.end_attempt(id, 0, Outcome::Failed, 1_000);
        overloaded.handle(Event::ClientGone(RequestId(id)));
    }
    let actions = overloaded.read(2000, "k1");
    let again = time_to_next_attempt(&mut overloaded, actions).0.expect("a retry");
    assert!(again > copied, "retried after {again}, copied after {copied}");
}

#[test]
fn the_timer_of_a_late_read_comes_to_an_end() {
    // Near the deadline, the timer could be set again and again without time passing.
    let mut node = Node::new(settings(Mode::Through), 1);
    node.warm_up();
    let actions = node.read(2000, "k1");
    let (again, timers) = time_to_next_attempt(&mut node, actions);
    assert_eq!(again, None, "there is no other cache");
    assert!(timers < 50, "{timers} timers");
}
