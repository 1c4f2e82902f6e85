//! Orders on a list, the hard cases one by one and under random lists and orders. Time is the test's.

use std::collections::{BTreeMap, BTreeSet};

use lilacquay_overrides::{
    AppliedOrder, ListedServer, Micros, Order, OrderEffect, OrderRequest, Overrides, PersistentOrder,
    Refusal, SharedOrder, State, StateChange,
};

const SECOND: Micros = 1_000_000;

fn listed(name: &str, state: Option<State>) -> ListedServer {
    ListedServer { name: name.into(), state, origin: name == "origin" }
}

/// Gives an order that is obeyed; tells what changes.
fn obeyed(steer: &mut Overrides, now: Micros, ask: &OrderRequest) -> (AppliedOrder, Vec<StateChange>) {
    let (done, changes) = steer.apply_order(now, ask);
    (done.unwrap(), changes)
}

fn refused(steer: &mut Overrides, now: Micros, ask: &OrderRequest) -> Refusal {
    let (done, changes) = steer.apply_order(now, ask);
    assert_eq!(changes, []);
    done.unwrap_err()
}

fn ask(server: &str, order: Order) -> OrderRequest {
    OrderRequest { server: server.into(), order, lasting: false, force: false, seen: None }
}

/// Three caches in service, and the origin.
fn site() -> Overrides {
    let mut steer = Overrides::new();
    let all = ["a", "b", "c", "origin"].map(|name| listed(name, Some(State::Serving)));
    assert_eq!(steer.apply_list(0, true, all.into()).len(), 4);
    steer
}

fn change(server: &str, state: State) -> StateChange {
    StateChange { server: server.into(), state }
}

#[test]
fn a_drain_holds_until_it_is_lifted_whatever_the_list_says_meanwhile() {
    let mut steer = site();
    let (done, changes) = obeyed(&mut steer, 0, &ask("a", Order::Drain));
    assert_eq!((done.replaced, changes), (None, vec![change("a", State::Draining)]));
    let told = steer.apply_list(SECOND, false, vec![listed("a", Some(State::Serving))]);
    assert_eq!(told, [change("a", State::Draining)], "the list does not override an operator");
    let (_, changes) = obeyed(&mut steer, SECOND, &ask("a", Order::Undrain));
    assert_eq!(changes, [change("a", State::Serving)]);
}

#[test]
fn an_operator_does_not_override_the_lists_drain_either() {
    let mut steer = site();
    steer.apply_list(0, false, vec![listed("a", Some(State::Draining))]);
    assert_eq!(refused(&mut steer, 0, &ask("a", Order::Undrain)), Refusal::NoOrder);
    obeyed(&mut steer, 0, &ask("a", Order::Drain));
    let (_, changes) = obeyed(&mut steer, 0, &ask("a", Order::Undrain));
    assert_eq!(changes, [], "it drains by the list still");
}

#[test]
fn one_that_is_left_out_comes_back_at_its_time() {
    let mut steer = site();
    obeyed(&mut steer, 0, &ask("b", Order::Exclude(10 * SECOND)));
    assert_eq!(steer.next_expiry(), Some(10 * SECOND));
    assert_eq!(steer.tick(10 * SECOND - 1), []);
    assert_eq!(steer.tick(10 * SECOND), [change("b", State::Serving)]);
    assert_eq!(steer.next_expiry(), None);
}

#[test]
fn the_last_cache_that_serves_is_drained_only_by_force() {
    let mut steer = site();
    obeyed(&mut steer, 0, &ask("a", Order::Drain));
    steer.apply_list(0, false, vec![listed("b", Some(State::Draining))]);
    assert_eq!(refused(&mut steer, 0, &ask("c", Order::Drain)), Refusal::LastServing);
    let always = OrderRequest { force: true, ..ask("c", Order::Exclude(SECOND)) };
    assert_eq!(refused(&mut steer, 0, &always), Refusal::LastServing);
    assert_eq!(refused(&mut steer, 0, &ask("origin", Order::Drain)), Refusal::Origin);
    // One that drains by the list already takes nothing away.
    obeyed(&mut steer, 0, &ask("b", Order::Drain));
    let forced = OrderRequest { force: true, ..ask("c", Order::Drain) };
    assert_eq!(obeyed(&mut steer, 0, &forced).1, [change("c", State::Draining)]);
}

#[test]
fn those_left_out_are_let_in_while_the_list_leaves_no_other() {
    let mut steer = site();
    obeyed(&mut steer, 0, &ask("a", Order::Exclude(60 * SECOND)));
    obeyed(&mut steer, 0, &ask("b", Order::Drain));
    let told = steer.apply_list(SECOND, false, vec![listed("c", None)]);
    assert_eq!(told, [change("a", State::Serving)], "the drain holds, the time does not");
    let told = steer.apply_list(2 * SECOND, false, vec![listed("c", Some(State::Serving))]);
    assert_eq!(told, [change("a", State::Draining), change("c", State::Serving)]);
}

#[test]
fn two_who_contradict_each_other_hear_of_it() {
    let mut steer = site();
    let sees = |seen| OrderRequest { seen: Some(seen), ..ask("a", Order::Drain) };
    let (first, _) = obeyed(&mut steer, 0, &sees(0));
    // The other still looks at a list without that order.
    let late = OrderRequest { seen: Some(0), ..ask("a", Order::Exclude(SECOND)) };
    assert_eq!(refused(&mut steer, 0, &late), Refusal::Conflict(first.number));
    let (second, _) = obeyed(&mut steer, 0, &OrderRequest { seen: Some(first.number), ..late });
    assert_eq!(
        second.replaced.map(|held| (held.effect, held.number)),
        Some((OrderEffect::Drain, first.number))
    );
}

#[test]
fn an_order_ends_with_its_servers_place_in_the_list_unless_it_lasts() {
    let mut steer = site();
    obeyed(&mut steer, 0, &ask("a", Order::Drain));
    obeyed(&mut steer, 0, &OrderRequest { lasting: true, ..ask("b", Order::Drain) });
    let rest = ["c", "origin"].map(|name| listed(name, Some(State::Serving)));
    steer.apply_list(0, true, rest.into());
    let back = ["a", "b"].map(|name| listed(name, Some(State::Serving)));
    let told = steer.apply_list(0, false, back.into());
    assert_eq!(told, [change("b", State::Draining), change("a", State::Serving)]);
}

#[test]
fn what_lasts_holds_after_a_restart_for_as_long_as_was_left() {
    let mut steer = site();
    obeyed(&mut steer, 0, &OrderRequest { lasting: true, ..ask("a", Order::Exclude(60 * SECOND)) });
    obeyed(&mut steer, 0, &ask("b", Order::Drain));
    steer.tick(20 * SECOND);
    let kept = steer.persistent_orders();
    assert_eq!(kept, [PersistentOrder { server: "a".into(), remaining: Some(40 * SECOND), mark: None }]);
    let mut again = Overrides::new();
    again.restore(5, kept);
    let all = ["a", "b"].map(|name| listed(name, Some(State::Serving)));
    let told = again.apply_list(5, true, all.into());
    assert_eq!(told, [change("a", State::Draining), change("b", State::Serving)]);
    assert_eq!(again.next_expiry(), Some(5 + 40 * SECOND));
    let mut over = Overrides::new();
    over.restore(0, vec![PersistentOrder { server: "a".into(), remaining: Some(0), mark: None }]);
    assert_eq!(over.active_order("a"), None, "over by then");
}

#[test]
fn orders_are_bounded() {
    let mut steer = Overrides::new();
    let name = |n: usize| format!("s{n}");
    steer.apply_list(0, true, (0..2000).map(|n| listed(&name(n), Some(State::Serving))).collect());
    let over = (0..2000).filter(|&n| steer.apply_order(0, &ask(&name(n), Order::Drain)).0.is_err()).count();
    assert_eq!(over, 2000 - 1024);
    assert_eq!(obeyed(&mut steer, 0, &ask(&name(0), Order::Undrain)).1.len(), 1, "one can be lifted");
}

/// Random lists, orders and times: what was told last of each server always follows from the list and the orders.
#[test]
fn what_was_told_always_follows_from_list_and_orders() {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (mut steer, mut now) = (Overrides::new(), 0);
        let mut list: BTreeMap<String, State> = BTreeMap::new();
        let mut told: BTreeMap<String, State> = BTreeMap::new();
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
                    steer.apply_list(now, full, entries)
                }
                1 => steer.tick(now),
                _ => {
                    let order = match rng.u8(..3) {
                        0 => Order::Drain,
                        1 => Order::Exclude(rng.u64(..10 * SECOND)),
                        _ => Order::Undrain,
                    };
                    let (lasting, force) = (rng.bool(), rng.u8(..4) == 0);
                    let ask = OrderRequest { lasting, force, ..ask(rng.choice(names).unwrap(), order) };
                    let mut changes = steer.tick(now);
                    let before: Vec<_> = steer.active_orders().map(|(n, h)| (n.to_owned(), h)).collect();
                    let (done, more) = steer.apply_order(now, &ask);
                    if done.is_err() {
                        let after: Vec<_> = steer.active_orders().map(|(n, h)| (n.to_owned(), h)).collect();
                        assert_eq!((before, &more), (after, &Vec::new()), "seed {seed}: {done:?}");
                    }
                    changes.extend(more);
                    changes
                }
            };
            told.retain(|name, _| list.contains_key(name));
            for StateChange { server, state } in changes {
                assert!(list.contains_key(&server), "seed {seed}: told of {server}, which is not listed");
                told.insert(server, state);
            }
            assert_eq!(told.len(), list.len(), "seed {seed}");
            let free = |name: &String| name != "origin" && steer.active_order(name).is_none();
            let starved = !list.iter().any(|(name, state)| free(name) && *state == State::Serving);
            for (name, state) in &told {
                let out = match steer.active_order(name).map(|held| held.effect) {
                    Some(OrderEffect::Drain) => true,
                    Some(OrderEffect::ExcludedUntil(until)) => !starved && until > now,
                    None => false,
                };
                let wanted = if out { State::Draining } else { list[name] };
                assert_eq!(*state, wanted, "seed {seed}: {name}");
            }
        }
    }
}

fn common(server: &str, effect: OrderEffect) -> SharedOrder {
    SharedOrder { server: server.into(), effect, mark: format!("mark of {server}") }
}

#[test]
fn orders_in_common_come_and_go_together_and_a_nodes_own_stay() {
    let mut steer = site();
    obeyed(&mut steer, 0, &OrderRequest { lasting: true, ..ask("a", Order::Drain) });
    obeyed(&mut steer, 0, &ask("b", Order::Drain));
    assert_eq!(
        steer.apply_shared_orders(
            0,
            true,
            vec![common("a", OrderEffect::Drain), common("gone", OrderEffect::Drain)]
        ),
        []
    );
    let kept = steer.persistent_orders();
    assert_eq!(
        kept,
        [PersistentOrder { server: "a".into(), remaining: None, mark: Some("mark of a".into()) }]
    );
    // Lifted elsewhere: the node's own order for b stays, the one in common goes, though it lasts.
    assert_eq!(steer.apply_shared_orders(0, false, vec![]), [], "not all is known yet");
    assert_eq!(steer.apply_shared_orders(0, true, vec![]), [change("a", State::Serving)]);
    assert!(steer.active_order("b").is_some() && steer.persistent_orders().is_empty());
    // As one that starts again has it: it stands until the others are heard.
    let mut again = site();
    again.restore(0, kept);
    assert_eq!(again.tick(0), [change("a", State::Draining)]);
    assert_eq!(again.apply_shared_orders(0, true, vec![common("a", OrderEffect::ExcludedUntil(SECOND))]), []);
    assert_eq!(again.tick(2 * SECOND), [change("a", State::Serving)]);
}

#[test]
fn hearsay_leaves_out_for_as_long_as_it_is_said_but_never_the_last() {
    let mut steer = site();
    let said = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect::<BTreeSet<String>>();
    assert_eq!(
        steer.set_peer_exclusions(0, said(&["a", "origin", "stranger"])),
        [change("a", State::Draining)]
    );
    assert_eq!(
        steer.set_peer_exclusions(0, said(&["a", "b", "c"])),
        [change("a", State::Serving)],
        "nobody would serve"
    );
    assert_eq!(steer.set_peer_exclusions(0, said(&["b"])), [change("b", State::Draining)]);
    assert_eq!(steer.set_peer_exclusions(0, said(&[])), [change("b", State::Serving)]);
}
