//! Orders applied over a list: edge cases one by one, and random lists and orders. The tests supply the time.

use std::collections::{BTreeMap, BTreeSet};

use lilacquay_overrides::{
    AppliedOrder, ListedServer, Micros, Order, OrderEffect, OrderRequest, Overrides, PersistentOrder,
    Refusal, ReplicatedOrder, State, StateChange,
};

const SECOND: Micros = 1_000_000;

fn listed(name: &str, state: Option<State>) -> ListedServer {
    ListedServer { name: name.into(), state, origin: name == "origin" }
}

/// Applies an order that must be accepted; returns the result and the changes.
fn apply_accepted(
    overrides: &mut Overrides,
    now: Micros,
    request: &OrderRequest,
) -> (AppliedOrder, Vec<StateChange>) {
    let (result, changes) = overrides.apply_order(now, request);
    (result.unwrap(), changes)
}

fn apply_refused(overrides: &mut Overrides, now: Micros, request: &OrderRequest) -> Refusal {
    let (result, changes) = overrides.apply_order(now, request);
    assert_eq!(changes, []);
    result.unwrap_err()
}

fn request(server: &str, order: Order) -> OrderRequest {
    OrderRequest { server: server.into(), order, persistent: false, force: false, seen: None }
}

/// Three caches in service, and the origin.
fn three_caches() -> Overrides {
    let mut overrides = Overrides::new();
    let all = ["a", "b", "c", "origin"].map(|name| listed(name, Some(State::Serving)));
    assert_eq!(overrides.apply_list(0, true, all.into()).len(), 4);
    overrides
}

fn change(server: &str, state: State) -> StateChange {
    StateChange { server: server.into(), state }
}

#[test]
fn a_drain_stays_in_force_until_it_is_removed_whatever_the_list_says() {
    let mut overrides = three_caches();
    let (result, changes) = apply_accepted(&mut overrides, 0, &request("a", Order::Drain));
    assert_eq!((result.replaced, changes), (None, vec![change("a", State::Draining)]));
    let reported = overrides.apply_list(SECOND, false, vec![listed("a", Some(State::Serving))]);
    assert_eq!(reported, [change("a", State::Draining)], "the list does not override an operator");
    let (_, changes) = apply_accepted(&mut overrides, SECOND, &request("a", Order::Undrain));
    assert_eq!(changes, [change("a", State::Serving)]);
}

#[test]
fn an_operator_does_not_override_the_lists_drain_either() {
    let mut overrides = three_caches();
    overrides.apply_list(0, false, vec![listed("a", Some(State::Draining))]);
    assert_eq!(apply_refused(&mut overrides, 0, &request("a", Order::Undrain)), Refusal::NoOrder);
    apply_accepted(&mut overrides, 0, &request("a", Order::Drain));
    let (_, changes) = apply_accepted(&mut overrides, 0, &request("a", Order::Undrain));
    assert_eq!(changes, [], "the list still has it draining");
}

#[test]
fn an_excluded_server_returns_when_its_time_is_over() {
    let mut overrides = three_caches();
    apply_accepted(&mut overrides, 0, &request("b", Order::Exclude(10 * SECOND)));
    assert_eq!(overrides.next_expiry(), Some(10 * SECOND));
    assert_eq!(overrides.tick(10 * SECOND - 1), []);
    assert_eq!(overrides.tick(10 * SECOND), [change("b", State::Serving)]);
    assert_eq!(overrides.next_expiry(), None);
}

#[test]
fn the_last_cache_in_service_is_drained_only_by_force() {
    let mut overrides = three_caches();
    apply_accepted(&mut overrides, 0, &request("a", Order::Drain));
    overrides.apply_list(0, false, vec![listed("b", Some(State::Draining))]);
    assert_eq!(apply_refused(&mut overrides, 0, &request("c", Order::Drain)), Refusal::LastServing);
    let forced_exclusion = OrderRequest { force: true, ..request("c", Order::Exclude(SECOND)) };
    assert_eq!(apply_refused(&mut overrides, 0, &forced_exclusion), Refusal::LastServing);
    assert_eq!(apply_refused(&mut overrides, 0, &request("origin", Order::Drain)), Refusal::Origin);
    // Draining a server that the list has draining already takes no capacity away.
    apply_accepted(&mut overrides, 0, &request("b", Order::Drain));
    let forced = OrderRequest { force: true, ..request("c", Order::Drain) };
    assert_eq!(apply_accepted(&mut overrides, 0, &forced).1, [change("c", State::Draining)]);
}

#[test]
fn excluded_servers_are_used_while_the_list_leaves_no_other_cache() {
    let mut overrides = three_caches();
    apply_accepted(&mut overrides, 0, &request("a", Order::Exclude(60 * SECOND)));
    apply_accepted(&mut overrides, 0, &request("b", Order::Drain));
    let reported = overrides.apply_list(SECOND, false, vec![listed("c", None)]);
    assert_eq!(
        reported,
        [change("a", State::Serving)],
        "the drain stays in force, the temporary exclusion is suspended"
    );
    let reported = overrides.apply_list(2 * SECOND, false, vec![listed("c", Some(State::Serving))]);
    assert_eq!(reported, [change("a", State::Draining), change("c", State::Serving)]);
}

#[test]
fn an_operator_with_an_outdated_view_is_refused_with_the_conflicting_order() {
    let mut overrides = three_caches();
    let having_seen = |seen| OrderRequest { seen: Some(seen), ..request("a", Order::Drain) };
    let (first, _) = apply_accepted(&mut overrides, 0, &having_seen(0));
    // The second operator has not seen that order yet.
    let late = OrderRequest { seen: Some(0), ..request("a", Order::Exclude(SECOND)) };
    assert_eq!(apply_refused(&mut overrides, 0, &late), Refusal::Conflict(first.number));
    let (second, _) = apply_accepted(&mut overrides, 0, &OrderRequest { seen: Some(first.number), ..late });
    assert_eq!(
        second.replaced.map(|order| (order.effect, order.number)),
        Some((OrderEffect::Drain, first.number))
    );
}

#[test]
fn an_order_ends_when_its_server_leaves_the_list_unless_it_is_persistent() {
    let mut overrides = three_caches();
    apply_accepted(&mut overrides, 0, &request("a", Order::Drain));
    apply_accepted(&mut overrides, 0, &OrderRequest { persistent: true, ..request("b", Order::Drain) });
    let remaining = ["c", "origin"].map(|name| listed(name, Some(State::Serving)));
    overrides.apply_list(0, true, remaining.into());
    let returning = ["a", "b"].map(|name| listed(name, Some(State::Serving)));
    let reported = overrides.apply_list(0, false, returning.into());
    assert_eq!(reported, [change("b", State::Draining), change("a", State::Serving)]);
}

#[test]
fn a_persistent_order_is_in_force_after_a_restart_for_its_remaining_time() {
    let mut overrides = three_caches();
    apply_accepted(
        &mut overrides,
        0,
        &OrderRequest { persistent: true, ..request("a", Order::Exclude(60 * SECOND)) },
    );
    apply_accepted(&mut overrides, 0, &request("b", Order::Drain));
    overrides.tick(20 * SECOND);
    let stored = overrides.persistent_orders();
    assert_eq!(stored, [PersistentOrder { server: "a".into(), remaining: Some(40 * SECOND), mark: None }]);
    let mut restarted = Overrides::new();
    restarted.restore(5, stored);
    let all = ["a", "b"].map(|name| listed(name, Some(State::Serving)));
    let reported = restarted.apply_list(5, true, all.into());
    assert_eq!(reported, [change("a", State::Draining), change("b", State::Serving)]);
    assert_eq!(restarted.next_expiry(), Some(5 + 40 * SECOND));
    let mut expired = Overrides::new();
    expired.restore(0, vec![PersistentOrder { server: "a".into(), remaining: Some(0), mark: None }]);
    assert_eq!(expired.active_order("a"), None, "already expired");
}

#[test]
fn the_number_of_orders_is_bounded() {
    let mut overrides = Overrides::new();
    let name = |n: usize| format!("s{n}");
    overrides.apply_list(0, true, (0..2000).map(|n| listed(&name(n), Some(State::Serving))).collect());
    let refused =
        (0..2000).filter(|&n| overrides.apply_order(0, &request(&name(n), Order::Drain)).0.is_err()).count();
    assert_eq!(refused, 2000 - 1024);
    assert_eq!(
        apply_accepted(&mut overrides, 0, &request(&name(0), Order::Undrain)).1.len(),
        1,
        "an order can still be removed"
    );
}

/// Random lists, orders and times: the last reported state of each server always follows from the list and the orders.
#[test]
fn reported_states_always_follow_from_the_list_and_the_orders() {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (mut overrides, mut now) = (Overrides::new(), 0);
        let mut list: BTreeMap<String, State> = BTreeMap::new();
        let mut reported: BTreeMap<String, State> = BTreeMap::new();
        let names = ["a", "b", "c", "d", "origin"];
        for _ in 0..300 {
            now += rng.u64(0..3 * SECOND);
            let changes = match rng.u8(..4) {
                0 => {
                    let full = rng.bool();
                    let state = |rng: &mut fastrand::Rng| match rng.u8(..4) {
                        0 if !full => None,
                        1 => Some(State::Draining),
                        _ => Some(State::Serving),
                    };
                    let some: Vec<&str> = names.into_iter().filter(|_| rng.bool()).collect();
                    let entries: Vec<ListedServer> =
                        some.iter().map(|n| listed(n, state(&mut rng))).collect();
                    if full {
                        list.clear();
                    }
                    for entry in &entries {
                        match entry.state {
                            Some(state) => _ = list.insert(entry.name.clone(), state),
                            None => _ = list.remove(&entry.name),
                        }
                    }
                    overrides.apply_list(now, full, entries)
                }
                1 => overrides.tick(now),
                _ => {
                    let order = match rng.u8(..3) {
                        0 => Order::Drain,
                        1 => Order::Exclude(rng.u64(..10 * SECOND)),
                        _ => Order::Undrain,
                    };
                    let (persistent, force) = (rng.bool(), rng.u8(..4) == 0);
                    let order_request =
                        OrderRequest { persistent, force, ..request(rng.choice(names).unwrap(), order) };
                    let mut changes = overrides.tick(now);
                    let before: Vec<_> = overrides.active_orders().map(|(n, h)| (n.to_owned(), h)).collect();
                    let (result, more) = overrides.apply_order(now, &order_request);
                    if result.is_err() {
                        let after: Vec<_> =
                            overrides.active_orders().map(|(n, h)| (n.to_owned(), h)).collect();
                        assert_eq!((before, &more), (after, &Vec::new()), "seed {seed}: {result:?}");
                    }
                    changes.extend(more);
                    changes
                }
            };
            reported.retain(|name, _| list.contains_key(name));
            for StateChange { server, state } in changes {
                assert!(
                    list.contains_key(&server),
                    "seed {seed}: a change was reported for {server}, which is not listed"
                );
                reported.insert(server, state);
            }
            assert_eq!(reported.len(), list.len(), "seed {seed}");
            let has_no_order = |name: &String| name != "origin" && overrides.active_order(name).is_none();
            let none_serving =
                !list.iter().any(|(name, state)| has_no_order(name) && *state == State::Serving);
            for (name, state) in &reported {
                let excluded = match overrides.active_order(name).map(|order| order.effect) {
                    Some(OrderEffect::Drain) => true,
                    Some(OrderEffect::ExcludedUntil(until)) => !none_serving && until > now,
                    None => false,
                };
                let expected = if excluded { State::Draining } else { list[name] };
                assert_eq!(*state, expected, "seed {seed}: {name}");
            }
        }
    }
}

fn replicated(server: &str, effect: OrderEffect) -> ReplicatedOrder {
    ReplicatedOrder { server: server.into(), effect, mark: format!("mark of {server}") }
}

#[test]
fn replicated_orders_are_replaced_as_a_set_and_local_orders_stay() {
    let mut overrides = three_caches();
    apply_accepted(&mut overrides, 0, &OrderRequest { persistent: true, ..request("a", Order::Drain) });
    apply_accepted(&mut overrides, 0, &request("b", Order::Drain));
    assert_eq!(
        overrides.apply_replicated_orders(
            0,
            true,
            vec![replicated("a", OrderEffect::Drain), replicated("gone", OrderEffect::Drain)]
        ),
        []
    );
    let stored = overrides.persistent_orders();
    assert_eq!(
        stored,
        [PersistentOrder { server: "a".into(), remaining: None, mark: Some("mark of a".into()) }]
    );
    // Removed on another node: the local order for b stays, the replicated one goes although it is persistent.
    assert_eq!(overrides.apply_replicated_orders(0, false, vec![]), [], "the set is not complete yet");
    assert_eq!(overrides.apply_replicated_orders(0, true, vec![]), [change("a", State::Serving)]);
    assert!(overrides.active_order("b").is_some() && overrides.persistent_orders().is_empty());
    // After a restart the stored order is in force until the other nodes answer.
    let mut restarted = three_caches();
    restarted.restore(0, stored);
    assert_eq!(restarted.tick(0), [change("a", State::Draining)]);
    assert_eq!(
        restarted.apply_replicated_orders(0, true, vec![replicated("a", OrderEffect::ExcludedUntil(SECOND))]),
        []
    );
    assert_eq!(restarted.tick(2 * SECOND), [change("a", State::Serving)]);
}

#[test]
fn peer_reports_exclude_a_server_while_they_last_but_never_the_last_cache() {
    let mut overrides = three_caches();
    let servers = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect::<BTreeSet<String>>();
    assert_eq!(
        overrides.set_peer_exclusions(0, servers(&["a", "origin", "stranger"])),
        [change("a", State::Draining)]
    );
    assert_eq!(
        overrides.set_peer_exclusions(0, servers(&["a", "b", "c"])),
        [change("a", State::Serving)],
        "no cache would serve"
    );
    assert_eq!(overrides.set_peer_exclusions(0, servers(&["b"])), [change("b", State::Draining)]);
    assert_eq!(overrides.set_peer_exclusions(0, servers(&[])), [change("b", State::Serving)]);
}
