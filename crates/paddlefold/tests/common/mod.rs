//! Helpers for tests that drive the module through its public interface.
#![allow(dead_code)] // each test file uses some of these helpers

use paddlefold::*;

pub mod site;

pub const SECOND: Micros = 1_000_000;

/// Settings with three classes: 0 is safe, 1 keyed over all servers, 2 unsafe.
pub fn settings(mode: Mode) -> Settings {
    Settings {
        classes: vec![
            Class { aim: 300_000, worth: 3.0, effect: Effect::Safe },
            Class {
                aim: 800_000,
                worth: 9.0,
                effect: Effect::Keyed { scope: Scope::All, window: 2 * SECOND },
            },
            Class { aim: 800_000, worth: 1.0, effect: Effect::Unsafe },
        ],
        mode,
        max_attempts: 5,
        cold: 20 * SECOND,
        cold_from: 0.2,
        quantum: 5_000,
        ..Settings::default()
    }
}

/// A balancer that knows the caches 1..=n and, in cache-aside mode, the origin 99.
pub struct Node {
    pub balancer: Balancer,
    pub now: Micros,
}

impl Node {
    pub fn new(settings: Settings, caches: u32) -> Self {
        let aside = settings.mode == Mode::Aside;
        let mut node = Node { balancer: Balancer::new(settings, 1, 0), now: 0 };
        let mut members: Vec<Member> = (1..=caches).map(|id| Member::up(ServerId(id))).collect();
        if aside {
            members.push(Member { origin: true, ..Member::up(ServerId(99)) });
        }
        node.handle(Event::Members { scope: ListScope::Full, members });
        node
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.on_event(self.now, event, &mut actions);
        actions
    }

    pub fn update_list(&mut self, scope: ListScope, members: Vec<Member>) -> Vec<Action> {
        self.handle(Event::Members { scope, members })
    }

    pub fn read(&mut self, id: u32, key: &str) -> Vec<Action> {
        self.request(id, key, 0, false)
    }

    pub fn request(&mut self, id: u32, key: &str, class: usize, write: bool) -> Vec<Action> {
        self.handle(Event::Request(Request {
            class: Some(class),
            key: Some(key.into()),
            budget: SECOND,
            write,
            ..Request::new(RequestId(id))
        }))
    }

    pub fn end_attempt(&mut self, id: u32, attempt: usize, outcome: Outcome, elapsed: Micros) -> Vec<Action> {
        self.handle(Event::Outcome(AttemptEnd {
            elapsed,
            ..AttemptEnd::new(RequestId(id), attempt, outcome)
        }))
    }

    /// Lets one read of `key` be served in `elapsed`; returns by which server.
    pub fn serve(&mut self, id: u32, key: &str, elapsed: Micros) -> ServerId {
        let to = first_send(&self.read(id, key)).expect("a read is sent");
        self.now += elapsed;
        self.end_attempt(id, 0, Outcome::Ok, elapsed);
        to
    }

    /// Lets 200 reads be served, so that every cache has answered.
    pub fn warm_up(&mut self) {
        for n in 0..200 {
            self.serve(n, &format!("k{n}"), 50_000);
        }
    }

    pub fn fire_timer(&mut self, token: TimerToken) -> Vec<Action> {
        self.handle(Event::Timer(token))
    }
}

/// The server of the first send.
pub fn first_send(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    })
}

/// The first timer that is set.
pub fn first_timer(actions: &[Action]) -> Option<(Micros, TimerToken)> {
    actions.iter().find_map(|a| match a {
        Action::SetTimer { after, token } => Some((*after, *token)),
        _ => None,
    })
}

pub fn has_final_answer(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { .. } | Action::Fail(_)))
}

pub fn cancelled_attempts(actions: &[Action]) -> Vec<usize> {
    let attempt = |a: &Action| match a {
        Action::Cancel { attempt, .. } => Some(*attempt),
        _ => None,
    };
    actions.iter().filter_map(attempt).collect()
}
