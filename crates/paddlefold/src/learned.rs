//! What a balancer has learned, to be handed to another that goes on in its place. No decision is made here.

use serde::{Deserialize, Serialize};

use super::*;

/// What was learned of servers and times. What another build leaves out is not known.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Learned {
    /// Usual response times by class, in microseconds; the last is for requests of no known class.
    pub times: Vec<f64>,
    /// Of the caches together and of the origin: how many attempts of ours may be out, how many usually are, and how
    /// long they usually take, in microseconds.
    pub gates: Vec<(f64, f64, f64)>,
    /// The usual work of a request, in microseconds.
    pub usual_work: f64,
    /// By server.
    pub servers: Vec<OfServer>,
}

/// What was learned of one server.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct OfServer {
    /// Its id, the same at every node.
    pub id: u32,
    /// Its response times in comparison with all, 1 being usual.
    pub slowness: f64,
    /// Attempts without an answer, in a row.
    pub silent: u32,
    /// How long ago it was last heard of, in microseconds.
    pub heard: Option<Micros>,
}

/// A figure from outside that is believed.
fn sound(figure: f64, most: f64) -> Option<f64> {
    Some(figure).filter(|figure| figure.is_finite() && *figure > 0.0 && *figure <= most)
}

impl Balancer {
    /// What it has learned so far.
    pub fn learned(&self) -> Learned {
        let server = |(id, s): (&ServerId, &Server)| OfServer {
            id: id.0,
            slowness: s.seen(self.now),
            silent: s.silent,
            heard: s.heard.map(|at| self.now.saturating_sub(at)),
        };
        Learned {
            times: self.timings.iter().map(|timing| timing.mean).collect(),
            gates: self.gates.iter().map(|gate| (gate.limit, gate.usual, gate.timing.mean)).collect(),
            usual_work: self.usual_work,
            servers: self.servers.iter().filter(|(_, s)| !s.member.origin).map(server).collect(),
        }
    }

    /// Goes on from what another has learned, as far as it fits: classes by their places, servers that are listed, and
    /// no figure that can't be one. Told once, before the first request.
    pub fn restore(&mut self, learned: &Learned) {
        const HOUR: f64 = 3.6e9;
        if learned.times.len() == self.timings.len() {
            for (timing, &mean) in self.timings.iter_mut().zip(&learned.times) {
                if let Some(mean) = sound(mean, HOUR) {
                    *timing = Timing::guess(mean);
                }
            }
        }
        for (gate, &(limit, usual, mean)) in self.gates.iter_mut().zip(&learned.gates) {
            // Half of what another found, since that may be at work yet: more is found out quickly.
            let known = sound(limit, 1e6).zip(sound(usual, 1e6)).zip(sound(mean, HOUR));
            if let Some(((limit, usual), mean)) = known {
                *gate = Gate::new(mean, (limit / 2.0).max(START), usual);
            }
        }
        self.usual_work = sound(learned.usual_work, HOUR).unwrap_or(self.usual_work);
        for told in &learned.servers {
            let Some(s) = self.servers.get_mut(&ServerId(told.id)) else { continue };
            s.heard = told.heard.map(|ago| self.now.saturating_sub(ago));
            s.silent = told.silent;
            if let Some(slowness) = sound(told.slowness, 100.0) {
                s.sample(slowness, 1.0, self.now);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn balancer() -> Balancer {
        let class = Class { aim: 300_000, worth: 1.0, effect: Effect::Safe };
        let mut balancer = Balancer::new(Settings { classes: vec![class], ..Settings::default() }, 1, 0);
        let members = (1..=3).map(|id| Member::up(ServerId(id))).collect();
        balancer.on_event(0, Event::Members { scope: ListScope::Full, members }, &mut Vec::new());
        balancer
    }

    #[test]
    fn what_was_learned_goes_on_and_what_cannot_be_is_not_believed() {
        let mut first = balancer();
        let mut out = Vec::new();
        for n in 0..200_u32 {
            let (id, now) = (RequestId(n), u64::from(n) * 50_000);
            let read =
                Request { class: Some(0), budget: 900_000, key: Some(n.to_string()), ..Request::new(id) };
            first.on_event(now, Event::Request(read), &mut out);
            for action in std::mem::take(&mut out) {
                let Action::Send { server, .. } = action else { continue };
                let elapsed = if server == ServerId(2) { 90_000 } else { 10_000 };
                let end = AttemptEnd { elapsed, ..AttemptEnd::new(id, 0, Outcome::Ok) };
                first.on_event(now + elapsed, Event::Outcome(end), &mut out);
            }
        }
        let learned = first.learned();
        let slow = |b: &Balancer| b.server_view(ServerId(2)).unwrap().slowness;
        assert!(slow(&first) > 2.0 && first.timings[0].mean < 60_000.0);
        let mut second = balancer();
        second.on_event(10_000_000, Event::Timer(TimerToken(7)), &mut out);
        second.restore(&serde_json::from_str(&serde_json::to_string(&learned).unwrap()).unwrap());
        assert!((slow(&second) - slow(&first)).abs() < 0.2, "{} {}", slow(&second), slow(&first));
        assert!((second.timings[0].mean - first.timings[0].mean).abs() < 1.0);
        // Nothing of this can be.
        let wrong = Learned {
            times: vec![f64::NAN, -1.0],
            gates: vec![(f64::INFINITY, 0.0, -5.0)],
            usual_work: f64::NAN,
            servers: vec![OfServer { id: 1, slowness: 1e300, ..OfServer::default() }],
        };
        let (before, mut third) = (balancer().learned(), balancer());
        third.restore(&wrong);
        assert_eq!(third.learned(), before);
    }
}
