//! Decides which client connection is evicted to make room for another. No I/O and no clock: the caller passes times in,
//! in microseconds from any fixed start.
//!
//! A connection with a pending response is not registered here and is never evicted. The others are *evictable* and
//! differ in their [`Activity`]. Evictable is more than idle in the sense of
//! [`CloseMode::WhenIdle`](lilacquay_lifecycle::CloseMode::WhenIdle): a connection that has sent part of a command is
//! evictable, but not idle.
//!
//! If more connections rest between requests than a set maximum, the one that has rested longest is evicted at once.
//! When room is needed, one connection is evicted, in this order of preference:
//!
//! 1. connections without a request so far, from 300 ms after they connected or were last answered, when anything in
//!    transit has arrived;
//! 2. connections that rest between requests, from 2 s after their last answer;
//! 3. connections without a request so far, however new;
//! 4. connections that have sent part of a command;
//! 5. connections that the node has closed, whose clients may still be reading the last answers.
//!
//! Of a group, the connection that has been like that longest is evicted; in group 4, because the commands of
//! well-behaved clients come to an end.
//!
//! While another process accepts connections at the same address, a process that has reached its portion of the limits
//! evicts no connection that may be about to send a request (groups 3 and 4, and 5 with them) before the other process has had time to
//! accept the newcomer. It then evicts one connection for each new one, since a portion that has just shrunk is no
//! reason to close the connections it holds. [`eviction_scope`] makes that decision.
//!
//! Each operation takes logarithmic time, so that one with a hundred thousand connections costs little more than with
//! ten.

use std::collections::BTreeMap;

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

/// After this long, anything in transit on a new connection has arrived.
pub const NEW_CONNECTION_GRACE_US: Micros = 300_000;
/// A connection that rests between requests is not evicted for this long after its last answer, unless more than the
/// set maximum rest.
pub const RECENT_USE_GRACE_US: Micros = 2_000_000;

/// Another process at the same address accepts a new connection within this time, if it has room.
pub const SHARED_ADDRESS_GRACE_US: Micros = 100_000;

/// Which connections may be evicted for a new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvictionScope {
    /// Only groups 1 and 2 of the order of preference.
    LongIdle,
    /// All groups.
    AllGroups,
}

/// Which connections may be evicted for one that has waited this long.
pub fn eviction_scope(address_shared: bool, waited: Micros) -> EvictionScope {
    if address_shared && waited < SHARED_ADDRESS_GRACE_US {
        EvictionScope::LongIdle
    } else {
        EvictionScope::AllGroups
    }
}

/// What a connection without a pending response is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Activity {
    /// No request of it has been opened at the core yet.
    NoRequestYet,
    /// It rests between requests.
    BetweenRequests,
    /// It has sent part of a command.
    InCommand,
    /// The node has closed it and waits until its client has read the last answers.
    Closing,
}

/// Identifies a registered connection: its activity, since when, and a unique number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EvictionKey {
    activity: Activity,
    since: Micros,
    number: u64,
}

impl EvictionKey {
    /// The activity under which the connection is registered.
    pub fn activity(&self) -> Activity {
        self.activity
    }
}

/// The evictable connections, each with a handle `T` through which it is told to close.
#[derive(Debug)]
pub struct EvictionQueue<T> {
    no_request_yet: BTreeMap<(Micros, u64), T>,
    between_requests: BTreeMap<(Micros, u64), T>,
    in_command: BTreeMap<(Micros, u64), T>,
    closing: BTreeMap<(Micros, u64), T>,
    max_between_requests: usize,
    last_number: u64,
}

impl<T> EvictionQueue<T> {
    /// Creates a queue in which at most this many connections may rest between requests.
    pub fn new(max_between_requests: usize) -> Self {
        let (no_request_yet, between_requests, in_command, closing) = Default::default();
        EvictionQueue {
            no_request_yet,
            between_requests,
            in_command,
            closing,
            max_between_requests,
            last_number: 0,
        }
    }

    fn connections_mut(&mut self, activity: Activity) -> &mut BTreeMap<(Micros, u64), T> {
        match activity {
            Activity::NoRequestYet => &mut self.no_request_yet,
            Activity::BetweenRequests => &mut self.between_requests,
            Activity::InCommand => &mut self.in_command,
            Activity::Closing => &mut self.closing,
        }
    }

    /// Registers an evictable connection. Returns its key, and the handle of the connection evicted for it, if any.
    ///
    /// Without the maximum, clients that send one request on each connection and keep it open, such as connection pools
    /// that never shrink, would take up all connections until no more could be opened. The cost falls on clients that
    /// keep more connections than the maximum and use all of them in turn: each request then pays for a new connection.
    pub fn insert(&mut self, activity: Activity, since: Micros, handle: T) -> (EvictionKey, Option<T>) {
        self.last_number += 1;
        let number = self.last_number;
        let key = EvictionKey { activity, since, number };
        self.connections_mut(activity).insert((since, number), handle);
        let over_maximum =
            activity == Activity::BetweenRequests && self.between_requests.len() > self.max_between_requests;
        let evicted =
            if over_maximum { self.between_requests.pop_first().map(|(_, handle)| handle) } else { None };
        (key, evicted)
    }

    /// Removes a connection; `None` if it has been evicted or removed before.
    pub fn remove(&mut self, key: EvictionKey) -> Option<T> {
        self.connections_mut(key.activity).remove(&(key.since, key.number))
    }

    /// Evicts the next connection of this scope and returns its handle; `None` if there is no such connection.
    pub fn evict(&mut self, now: Micros, scope: EvictionScope) -> Option<T> {
        let oldest_is_past = |connections: &BTreeMap<(Micros, u64), T>, grace: Micros| {
            connections.first_key_value().is_some_and(|((since, _), _)| now >= since.saturating_add(grace))
        };
        let activity = if oldest_is_past(&self.no_request_yet, NEW_CONNECTION_GRACE_US) {
            Activity::NoRequestYet
        } else if oldest_is_past(&self.between_requests, RECENT_USE_GRACE_US) {
            Activity::BetweenRequests
        } else if scope == EvictionScope::LongIdle {
            return None;
        } else if !self.no_request_yet.is_empty() {
            Activity::NoRequestYet
        } else if !self.in_command.is_empty() {
            Activity::InCommand
        } else {
            Activity::Closing
        };
        self.connections_mut(activity).pop_first().map(|(_, handle)| handle)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Compares random insertions, removals and evictions with a model that searches a plain list.
    #[test]
    fn eviction_follows_the_stated_order_after_any_history() {
        for seed in 0..40 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let max_between_requests = rng.usize(1..8);
            let (mut queue, mut model, mut now) =
                (EvictionQueue::new(max_between_requests), Vec::<(EvictionKey, u64)>::new(), 0);
            for n in 0..2_000_u64 {
                now += rng.u64(0..200_000);
                let oldest = |model: &[(EvictionKey, u64)], activity| {
                    let of_activity = model.iter().filter(|(key, _)| key.activity == activity);
                    of_activity.min_by_key(|(key, _)| *key).map(|entry| entry.1)
                };
                let gone = match rng.u8(0..6) {
                    0 if !model.is_empty() => {
                        let (key, handle) = model[rng.usize(..model.len())];
                        assert_eq!(queue.remove(key), Some(handle));
                        assert_eq!(queue.remove(key), None, "a key can be removed only once");
                        Some(handle)
                    }
                    1 => {
                        let scope = [EvictionScope::LongIdle, EvictionScope::AllGroups][rng.usize(0..2)];
                        let all_groups = scope == EvictionScope::AllGroups;
                        let since = |handle| {
                            model.iter().find(|entry| entry.1 == handle).map_or(0, |entry| entry.0.since)
                        };
                        let (no_request, resting) = (
                            oldest(&model, Activity::NoRequestYet),
                            oldest(&model, Activity::BetweenRequests),
                        );
                        let expected = no_request
                            .filter(|&handle| now >= since(handle) + NEW_CONNECTION_GRACE_US)
                            .or(resting.filter(|&handle| now >= since(handle) + RECENT_USE_GRACE_US))
                            .or(no_request.filter(|_| all_groups))
                            .or(oldest(&model, Activity::InCommand).filter(|_| all_groups))
                            .or(oldest(&model, Activity::Closing).filter(|_| all_groups));
                        let evicted = queue.evict(now, scope);
                        assert_eq!(evicted, expected, "seed {seed}");
                        evicted
                    }
                    _ => {
                        let activity = [
                            Activity::NoRequestYet,
                            Activity::BetweenRequests,
                            Activity::InCommand,
                            Activity::Closing,
                        ][rng.usize(0..4)];
                        let (key, evicted) = queue.insert(activity, now, n);
                        model.push((key, n));
                        let resting =
                            model.iter().filter(|(key, _)| key.activity == Activity::BetweenRequests).count();
                        assert_eq!(evicted.is_some(), resting > max_between_requests, "seed {seed}");
                        assert!(evicted.is_none() || evicted == oldest(&model, Activity::BetweenRequests));
                        evicted
                    }
                };
                model.retain(|(_, handle)| Some(*handle) != gone);
            }
        }
    }

    /// With the address shared, a connection that may be about to send a request must not be evicted before the other
    /// process has had time to accept the new one.
    #[test]
    fn a_shared_address_limits_eviction_to_long_idle_connections_for_a_while() {
        let scopes = [eviction_scope(true, 0), eviction_scope(true, SHARED_ADDRESS_GRACE_US - 1)];
        assert_eq!(scopes, [EvictionScope::LongIdle; 2]);
        let scopes = [eviction_scope(true, SHARED_ADDRESS_GRACE_US), eviction_scope(false, 0)];
        assert_eq!(scopes, [EvictionScope::AllGroups; 2]);
    }

    #[test]
    fn operations_on_a_hundred_thousand_connections_are_fast() {
        let mut queue = EvictionQueue::new(100_000);
        let start = std::time::Instant::now();
        for n in 0..100_000 {
            let (key, _) = queue.insert(Activity::BetweenRequests, n, n);
            if n % 3 == 0 {
                queue.remove(key);
            }
        }
        while queue.evict(u64::MAX, EvictionScope::AllGroups).is_some() {}
        // With a scan of all connections in each operation this took minutes.
        assert!(start.elapsed() < std::time::Duration::from_secs(10), "{:?}", start.elapsed());
    }
}
