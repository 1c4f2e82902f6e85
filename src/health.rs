//! Health of caches, zones and kinds of machines, learned from our own traffic alone.

use super::*;

impl Balancer {
    pub(super) fn observe(&mut self, end: &AttemptEnd, to: ServerId) {
        let (class, aim) = self.open.get(&end.id).map_or((0, 0), |r| (r.class, r.aim));
        let tau = self.tau();
        let Some(s) = self.servers.get_mut(&to) else { return };
        let overdue = s.close(end.id, end.attempt).is_some_and(|due| due <= self.now);
        let (outcome, elapsed) = (end.outcome, end.elapsed);
        // Guards against: reads that wait while most caches idle. One attempt each overruns none of them.
        let least = if s.member.origin { 1.0 } else { self.caches.max(1) as f64 };
        let gate = &mut self.gates[usize::from(s.member.origin)];
        gate.out = gate.out.saturating_sub(1);
        let zone = self.zones.entry(s.member.zone).or_default();
        zone.failed = if outcome == Outcome::ConnectError { zone.failed + 1 } else { 0 };
        if matches!(outcome, Outcome::Ok | Outcome::Miss) {
            zone.answered_in(elapsed);
        }
        // A queue shows in the time before it spoils the aim; a miss, or a fetch, is but one leg of its read.
        // Guards against: a gate that shuts because its servers are far, not full, so that fetches wait, caches
        // stay empty and misses grow. Covers all that makes every answer of a zone slower than the nearest
        // zone's: the way there, a slow link, a zone of slow machines. It hurts where one zone queues for so
        // long that no quick answer of it is remembered: gates shut later then, at times over the aim.
        let legs = if outcome == Outcome::Miss { 3 } else { 1 + u64::from(s.member.origin) };
        let in_time = aim.min(aim / legs + detour(&self.zones, s.member.zone));
        let crowded = end.utilization > Some(FULL) || elapsed > in_time;
        let bad = match outcome {
            Outcome::Ok | Outcome::Miss | Outcome::TimedOut | Outcome::Canceled => crowded,
            Outcome::Failed | Outcome::QueueFull | Outcome::ConnectError | Outcome::Reset => true,
            Outcome::Ignored => return,
        };
        Self::adapt(gate, least, self.now, bad, tau);
        if outcome == Outcome::Ok {
            gate.timing.observe(elapsed);
        }
        if s.member.origin {
            return;
        }
        // One request of unusual cost does not brand a cache: a sample counts up to 6 times usual.
        let sample = (elapsed as f64 / self.timings[class].mean.max(1.0)).min(2.0 * SLOW);
        if outcome == Outcome::Ok && end.hit != Some(false) {
            self.kinds.entry(s.member.kind).or_insert_with(Pace::new).observe(sample);
        }
        match outcome {
            Outcome::Ok | Outcome::Miss | Outcome::Failed | Outcome::QueueFull => {
                s.heard = Some(self.now);
                s.silent = 0;
            }
            Outcome::ConnectError | Outcome::Reset | Outcome::TimedOut => s.silent += 1,
            // A cancelled attempt tells something only if it was overdue.
            Outcome::Canceled | Outcome::Ignored => s.silent += u32::from(overdue),
        }
        let slowness = match outcome {
            // A miss waits for the origin, which is not the cache's fault.
            Outcome::Ok if end.hit != Some(false) => sample,
            Outcome::Canceled | Outcome::TimedOut => sample.max(s.slowness),
            Outcome::QueueFull => 2.0 * SLOW,
            _ => s.slowness,
        };
        s.slowness += (slowness - s.slowness) * if s.slowness > SLOW { 0.5 } else { 0.15 };
        if outcome == Outcome::Ok {
            self.timings[class].observe(elapsed);
        }
    }

    /// Silent, or holding an attempt of ours that is long overdue.
    pub(super) fn suspect(&self, s: &Server) -> bool {
        s.silent >= 2 || s.out.first().is_some_and(|o| o.0 <= self.now)
    }

    /// Guards against: candidates tried one by one in a zone that is cut off. Its caches are not dead:
    /// one read at a time finds out when it is back.
    pub(super) fn cut_off(&self, s: &Server) -> bool {
        let cut = self.zones.get(&s.member.zone).is_some_and(|z| z.failed >= CUT && self.now < z.retry_at);
        cut && self.zones.values().any(|z| z.failed == 0)
    }
}
