//! Which arriving commands get buffer memory, when it is taken back, and when a wait for it ends.

use std::collections::BTreeMap;
use std::time::Duration;

use lilacquay_fronts::buffer_pool::{
    BufferPool, MIN_SOCKET_BUFFER_BYTES, MemoryWait, ReservationId, ReservationState, SHRINK_AFTER,
    WITHDRAW_AFTER,
};
use tokio::time::Instant;

const MS: Duration = Duration::from_millis(1);

/// A reservation that has been granted, of a command of which `arrived_bytes` have arrived.
fn granted(pool: &mut BufferPool, now: Instant, bytes: usize, arrived_bytes: usize) -> ReservationId {
    let id = pool.reserve(now, bytes, arrived_bytes);
    pool.advance(now);
    assert_eq!(pool.state(id), ReservationState::Granted);
    id
}

#[test]
fn a_client_that_stopped_kept_the_memory_that_its_header_announced() {
    let start = Instant::now();
    let mut pool = BufferPool::new(100);
    let stopped = granted(&mut pool, start, 90, 10);
    let sound = pool.reserve(start, 50, 5);
    assert!(pool.advance(start).is_empty());
    assert_eq!(pool.next_change(start), Some(start + SHRINK_AFTER));
    let changed = pool.advance(start + SHRINK_AFTER);
    assert_eq!((changed, pool.state(sound)), (vec![stopped, sound], ReservationState::Granted));
    assert_eq!((pool.state(stopped), pool.reserved_bytes()), (ReservationState::Incomplete, 60));
    // Its client goes on: it is before those who ask for the first time.
    let other = pool.reserve(start + 60 * MS, 45, 0);
    pool.extend(start + 60 * MS, stopped, 90);
    pool.complete(sound);
    pool.release(sound);
    pool.advance(start + 61 * MS);
    assert_eq!(
        [stopped, other].map(|id| pool.state(id)),
        [ReservationState::Granted, ReservationState::Incomplete]
    );
}

#[test]
fn clients_that_stopped_shortly_before_the_end_kept_everyone_else_out() {
    let start = Instant::now();
    let mut pool = BufferPool::new(100);
    let older = granted(&mut pool, start, 50, 49);
    let newer = granted(&mut pool, start + 10 * MS, 50, 49);
    let sound = pool.reserve(start + 20 * MS, 40, 5);
    pool.advance(start + WITHDRAW_AFTER - MS);
    assert_eq!(pool.state(older), ReservationState::Incomplete, "shrunk by a byte");
    let changed = pool.advance(start + WITHDRAW_AFTER);
    assert_eq!(
        (changed, pool.state(older), pool.state(newer)),
        (vec![older], ReservationState::Withdrawn, ReservationState::Incomplete),
        "the one that has made no progress for longest, and no more than are needed"
    );
    assert_eq!(pool.state(sound), ReservationState::Incomplete, "its bytes are still in use");
    assert!(pool.advance(start + WITHDRAW_AFTER + 20 * MS).is_empty(), "no other is withdrawn meanwhile");
    pool.release(older);
    pool.advance(start + WITHDRAW_AFTER + 20 * MS);
    assert_eq!(pool.state(sound), ReservationState::Granted);
}

#[test]
fn a_command_that_has_arrived_whole_keeps_its_memory() {
    let start = Instant::now();
    let mut pool = BufferPool::new(100);
    let whole = granted(&mut pool, start, 80, 80);
    pool.complete(whole);
    let waiting = pool.reserve(start, 50, 0);
    assert!(pool.advance(start + 10 * WITHDRAW_AFTER).is_empty());
    assert_eq!(pool.next_change(start), None);
    assert_eq!(pool.try_reserve(start, 30), None);
    pool.release(whole);
    pool.advance(start + 10 * WITHDRAW_AFTER);
    assert_eq!(pool.state(waiting), ReservationState::Granted);
    assert!(pool.try_reserve(start, 50).is_some());
}

#[test]
fn half_read_commands_that_need_more_held_one_another_up() {
    let start = Instant::now();
    let mut pool = BufferPool::new(100);
    let mut halves = [50, 50].map(|bytes| granted(&mut pool, start, bytes, 50));
    for id in halves {
        pool.extend(start + MS, id, 60);
    }
    pool.advance(start + MS);
    assert_eq!(halves.map(|id| pool.state(id)), [ReservationState::Incomplete; 2]);
    pool.advance(start + MS + WITHDRAW_AFTER);
    halves.sort_by_key(|id| pool.state(*id) == ReservationState::Withdrawn);
    assert_eq!(halves.map(|id| pool.state(id)), [ReservationState::Incomplete, ReservationState::Withdrawn]);
    pool.release(halves[1]);
    pool.advance(start + MS + WITHDRAW_AFTER);
    assert_eq!(pool.state(halves[0]), ReservationState::Granted);
}

/// Commands arrive, stop, go on, are answered and discarded in random order.
#[test]
fn the_bound_holds_and_everyone_gets_memory_or_is_withdrawn_whatever_clients_do() {
    for seed in 0..100 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let limit_bytes = rng.usize(50..1000);
        let (mut pool, mut now) = (BufferPool::new(limit_bytes), Instant::now());
        // The length and the arrived bytes of each command.
        let mut commands: BTreeMap<ReservationId, (usize, usize)> = BTreeMap::new();
        for _ in 0..2000 {
            now += rng.u32(0..20) * MS;
            if rng.bool() && commands.len() < 30 {
                let bytes = rng.usize(1..limit_bytes);
                commands.insert(pool.reserve(now, bytes, 0), (bytes, 0));
            }
            pool.advance(now);
            let drawn = commands.iter().nth(rng.usize(..commands.len().max(1)));
            if let Some((&id, &(bytes, arrived))) = drawn {
                match pool.state(id) {
                    ReservationState::Withdrawn => {
                        pool.release(id);
                        commands.remove(&id);
                    }
                    ReservationState::Granted if arrived == bytes => {
                        pool.complete(id);
                        pool.release(id);
                        commands.remove(&id);
                    }
                    ReservationState::Granted => {
                        let arrived = rng.usize(arrived..=bytes);
                        pool.record_arrival(now, id, arrived);
                        commands.insert(id, (bytes, arrived));
                    }
                    ReservationState::Incomplete => pool.extend(now, id, bytes),
                }
            }
            let held: usize = commands.values().map(|(_, arrived)| arrived).sum();
            assert!(held <= pool.reserved_bytes() && pool.reserved_bytes() <= limit_bytes, "seed {seed}");
        }
        // All clients stop. Nobody waits for ever.
        for _ in 0..commands.len() {
            now += WITHDRAW_AFTER;
            pool.advance(now);
            let withdrawn: Vec<_> = commands
                .keys()
                .copied()
                .filter(|id| pool.state(*id) == ReservationState::Withdrawn)
                .collect();
            for id in withdrawn {
                pool.release(id);
                commands.remove(&id);
            }
        }
        pool.advance(now);
        assert_eq!((pool.waiting_count(), pool.awaited_bytes()), (0, 0), "seed {seed}");
        for id in commands.into_keys() {
            pool.release(id);
        }
        assert_eq!(pool.reserved_bytes(), 0, "seed {seed}");
    }
}

#[test]
fn a_wait_ends_in_the_first_half_of_its_clients_time_or_once_the_client_has_stopped() {
    let start = Instant::now();
    let timeout = Duration::from_millis(1400);
    let mut wait = MemoryWait::new(start, Some(timeout), false);
    wait.record_unread(start, 1000);
    assert!(wait.ends_at(false) < start + timeout / 2);
    wait.record_unread(start + 400 * MS, 1000);
    let stopped = wait.ends_at(false);
    wait.record_unread(start + 400 * MS, 1001);
    assert!(stopped < wait.ends_at(false), "more has arrived");
    assert_eq!(wait.ends_at(true), wait.ends_at(false), "its close can be seen");
    assert!(wait.ends_at(false) < start + timeout / 2);
    let mut long = MemoryWait::new(start, Some(20 * timeout), false);
    long.record_unread(start, MIN_SOCKET_BUFFER_BYTES);
    let stopped = long.ends_at(false);
    long.record_unread(start + 100 * MS, MIN_SOCKET_BUFFER_BYTES);
    assert!(stopped < long.ends_at(false), "the kernel may hold the client back");
    assert!(long.ends_at(true) < start + 100 * MS, "a close behind unread bytes can't be seen");
    for timeout in [None, Some(20 * timeout)] {
        let mut short = MemoryWait::new(start, timeout, true);
        for at in 0..2000 {
            short.record_unread(start + at * MS, at as usize);
        }
        assert!(short.ends_at(false) < start + 2000 * MS, "before the time-out of a partial command");
    }
}
