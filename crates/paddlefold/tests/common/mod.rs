//! Helpers for tests that drive the module through its public interface.
#![allow(dead_code)] // each test file uses its own part

use paddlefold::*;

pub mod site;

pub const SECOND: Micros = 1_000_000;

/// Two classes as a site might state them: 0 is safe, 1 keyed over all servers.
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

/// A balancer with the caches 1..=n and, in aside mode, the origin 99.
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
        node.tell(Event::Members { scope: ListScope::Full, members });
        node
    }

    pub fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.on_event(self.now, event, &mut actions);
        actions
    }

    pub fn list(&mut self, scope: ListScope, members: Vec<Member>) -> Vec<Action> {
        self.tell(Event::Members { scope, members })
    }

    pub fn read(&mut self, id: u32, key: &str) -> Vec<Action> {
        self.request(id, key, 0, false)
    }

    pub fn request(&mut self, id: u32, key: &str, class: usize, write: bool) -> Vec<Action> {
        self.tell(Event::Request(Request {
            class: Some(class),
            key: Some(key.into()),
            budget: SECOND,
            write,
            ..Request::new(RequestId(id))
        }))
    }

    pub fn end(&mut self, id: u32, attempt: usize, outcome: Outcome, elapsed: Micros) -> Vec<Action> {
        self.tell(Event::Outcome(AttemptEnd { elapsed, ..AttemptEnd::new(RequestId(id), attempt, outcome) }))
    }

    /// Serves one read of `key` in `elapsed`; tells by which server.
    pub fn serve(&mut self, id: u32, key: &str, elapsed: Micros) -> ServerId {
        let to = sent(&self.read(id, key)).expect("a read is sent");
        self.now += elapsed;
        self.end(id, 0, Outcome::Ok, elapsed);
        to
    }

    /// Serves 200 reads, so that every cache was heard from.
    pub fn warm_up(&mut self) {
        for n in 0..200 {
            self.serve(n, &format!("k{n}"), 50_000);
        }
    }

    pub fn timer(&mut self, token: TimerToken) -> Vec<Action> {
        self.tell(Event::Timer(token))
    }
}

/// The server of the first send.
pub fn sent(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    })
}

/// The first timer asked for.
pub fn timer(actions: &[Action]) -> Option<(Micros, TimerToken)> {
    actions.iter().find_map(|a| match a {
        Action::SetTimer { after, token } => Some((*after, *token)),
        _ => None,
    })
}

pub fn answered(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { .. } | Action::Fail(_)))
}

pub fn cancels(actions: &[Action]) -> Vec<usize> {
    let attempt = |a: &Action| match a {
        Action::Cancel { attempt, .. } => Some(*attempt),
        _ => None,
    };
    actions.iter().filter_map(attempt).collect()
}
