//! What a balancer has learned, in a form that can be stored or sent, so that another balancer can continue
//! from it. No decision is made here.

use serde::{Deserialize, Serialize};

use super::*;

/// What was learned of servers and response times. Fields that another build leaves out count as not known.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Learned {
    /// Mean response times by class, in microseconds; the last is for requests of no known class.
    #[serde(rename = "times")]
    pub response_times_us: Vec<f64>,
    /// Of the caches together and of the origin: the concurrency limit, the usual number of attempts in
    /// flight, and the mean response time in microseconds.
    #[serde(rename = "gates")]
    pub limiters: Vec<(f64, f64, f64)>,
    /// Mean work of a request, in microseconds.
    #[serde(rename = "usual_work")]
    pub usual_work_us: f64,
    /// What was learned of each cache.
    pub servers: Vec<LearnedServer>,
}

/// What was learned of one server.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LearnedServer {
    /// Its id, the same at every node.
    pub id: u32,
    /// Its response times relative to all caches, 1 being usual.
    pub slowness: f64,
    /// Attempts in a row without an answer.
    #[serde(rename = "silent")]
    pub unanswered_attempts: u32,
    /// Time since its last answer, in microseconds.
    #[serde(rename = "heard")]
    pub last_response_age: Option<Micros>,
}

/// A number from outside, if it is finite, positive and at most `max`.
fn validated(number: f64, max: f64) -> Option<f64> {
    Some(number).filter(|number| number.is_finite() && *number > 0.0 && *number <= max)
}

impl Balancer {
    /// What this balancer has learned so far.
    pub fn learned(&self) -> Learned {
        let learned_server = |(id, server): (&ServerId, &Server)| LearnedServer {
            id: id.0,
            slowness: server.own_slowness(self.now),
            unanswered_attempts: server.unanswered_attempts,
            last_response_age: server.last_response_at.map(|at| self.now.saturating_sub(at)),
        };
        Learned {
            response_times_us: self.response_times.iter().map(|times| times.mean).collect(),
            limiters: self
                .limiters
                .iter()
                .map(|l| (l.limit, l.usual_in_flight, l.response_times.mean))
                .collect(),
            usual_work_us: self.usual_work,
            servers: self.servers.iter().filter(|(_, s)| !s.member.origin).map(learned_server).collect(),
        }
    }

    /// Continues from what another balancer has learned, as far as it applies: response times by the index of
    /// their class, if the number of classes is the same; servers that are listed; and only valid numbers. To
    /// be called once, before the first request.
    pub fn restore(&mut self, learned: &Learned) {
        const HOUR_US: f64 = 3.6e9;
        if learned.response_times_us.len() == self.response_times.len() {
            for (times, &mean) in self.response_times.iter_mut().zip(&learned.response_times_us) {
                if let Some(mean) = validated(mean, HOUR_US) {
                    *times = ResponseTimes::initial(mean);
                }
            }
        }
        for (limiter, &(limit, usual, mean)) in self.limiters.iter_mut().zip(&learned.limiters) {
            // Half of the other balancer's limit, since that one may still be running; the limit rises
            // quickly.
            let valid = validated(limit, 1e6).zip(validated(usual, 1e6)).zip(validated(mean, HOUR_US));
            if let Some(((limit, usual), mean)) = valid {
                let limit = (limit / 2.0).max(INITIAL_CONCURRENCY_LIMIT);
                *limiter = ConcurrencyLimiter::new(mean, limit, usual);
            }
        }
        self.usual_work = validated(learned.usual_work_us, HOUR_US).unwrap_or(self.usual_work);
        for learned in &learned.servers {
            let Some(server) = self.servers.get_mut(&ServerId(learned.id)) else { continue };
            server.last_response_at = learned.last_response_age.map(|age| self.now.saturating_sub(age));
            server.unanswered_attempts = learned.unanswered_attempts;
            if let Some(slowness) = validated(learned.slowness, 100.0) {
                server.add_sample(slowness, 1.0, self.now);
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
    fn what_was_learned_is_restored_and_invalid_numbers_are_ignored() {
        let mut first = balancer();
        let mut actions = Vec::new();
        for n in 0..200_u32 {
            let (id, now) = (RequestId(n), u64::from(n) * 50_000);
            let read =
                Request { class: Some(0), budget: 900_000, key: Some(n.to_string()), ..Request::new(id) };
            first.on_event(now, Event::Request(read), &mut actions);
            for action in std::mem::take(&mut actions) {
                let Action::Send { server, .. } = action else { continue };
                let elapsed = if server == ServerId(2) { 90_000 } else { 10_000 };
                let end = AttemptEnd { elapsed, ..AttemptEnd::new(id, 0, Outcome::Ok) };
                first.on_event(now + elapsed, Event::Outcome(end), &mut actions);
            }
        }
        let learned = first.learned();
        let slow = |b: &Balancer| b.server_view(ServerId(2)).unwrap().slowness;
        assert!(slow(&first) > 2.0 && first.response_times[0].mean < 60_000.0);
        let mut second = balancer();
        second.on_event(10_000_000, Event::Timer(TimerToken(7)), &mut actions);
        second.restore(&serde_json::from_str(&serde_json::to_string(&learned).unwrap()).unwrap());
        assert!((slow(&second) - slow(&first)).abs() < 0.2, "{} {}", slow(&second), slow(&first));
        assert!((second.response_times[0].mean - first.response_times[0].mean).abs() < 1.0);
        // None of these numbers is valid.
        let invalid = Learned {
            response_times_us: vec![f64::NAN, -1.0],
            limiters: vec![(f64::INFINITY, 0.0, -5.0)],
            usual_work_us: f64::NAN,
            servers: vec![LearnedServer { id: 1, slowness: 1e300, ..LearnedServer::default() }],
        };
        let (before, mut third) = (balancer().learned(), balancer());
        third.restore(&invalid);
        assert_eq!(third.learned(), before);
    }
}
