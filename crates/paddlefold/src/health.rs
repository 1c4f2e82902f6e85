//! Health of caches, zones and kinds of machines, learned from our own traffic alone.

use super::*;

impl Balancer {
    /// Learns from the end of an attempt; tells whose attempts it shows to be lost.
    pub(super) fn observe(&mut self, end: &AttemptEnd, to: ServerId) -> Vec<RequestId> {
        self.learn(end, to);
        self.write_off(to)
    }

    /// Takes off the books what is overdue at a server that has answered an attempt sent later at once: no queue
    /// holds it. It is overdue by the aim at the latest, however much times have spread, unless much goes badly:
    /// then all take long, and nothing is gained by asking again.
    ///
    /// Guards against: servers that swallow some requests and answer all others, whose lost ones fill the gate,
    /// shut it and brand every cache. Covers answers lost on the way and connections gone silent too. It hurts
    /// where a jammed server takes the newest first: what waits there then holds no place.
    pub(super) fn write_off(&mut self, to: ServerId) -> Vec<RequestId> {
        let Some(s) = self.servers.get(&to) else { return Vec::new() };
        let strained = self.gates[CACHES].strain > STRAINED;
        let lost = |&&(due, id, attempt): &&(Micros, RequestId, usize)| {
            let Some(r) = self.open.get(&id) else { return false };
            let sent = r.tries[attempt].sent;
            let spoilt = if strained { due } else { due.min(sent.saturating_add(r.aim)) };
            sent.saturating_add(r.aim / 4) < s.answered && self.now >= spoilt
        };
        let lost: Vec<_> = s.out.iter().filter(lost).copied().collect();
        lost.iter().for_each(|&(_, id, attempt)| self.strike_off(id, attempt, to));
        lost.into_iter().map(|(_, id, _)| id).collect()
    }

    /// Takes an attempt off the books: it holds no place any more, and is no sign of trouble while it lasts.
    pub(super) fn strike_off(&mut self, id: RequestId, attempt: usize, to: ServerId) {
        let Some(s) = self.servers.get_mut(&to) else { return };
        if s.close(id, attempt).is_some() {
            s.lost.insert((id, attempt));
            let gate = &mut self.gates[usize::from(s.member.origin)];
            gate.out = gate.out.saturating_sub(1);
        }
    }

    fn learn(&mut self, end: &AttemptEnd, to: ServerId) {
        let (class, aim) = self.open.get(&end.id).map_or((0, 0), |r| (r.class, r.aim));
        let tau = self.tau();
        let Some(s) = self.servers.get_mut(&to) else { return };
        let overdue = s.close(end.id, end.attempt).is_some_and(|due| due <= self.now);
        let (outcome, elapsed) = (end.outcome, end.elapsed);
        let lost = s.lost.remove(&(end.id, end.attempt));
        let passed = s.answered > self.now.saturating_sub(elapsed) + aim / 4;
        if lost && matches!(outcome, Outcome::TimedOut | Outcome::Canceled) {
            return; // it told what it had to when it was written off
        }
        // Guards against: reads that wait while most caches idle. One attempt each overruns none of them.
        let least = if s.member.origin { 1.0 } else { self.ranking.len().max(1) as f64 };
        let gate = &mut self.gates[usize::from(s.member.origin)];
        gate.out = gate.out.saturating_sub(usize::from(!lost));
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
        let way = detour(&self.zones, s.member.zone);
        let in_time = aim.min(aim / legs + way);
        if matches!(outcome, Outcome::Ok | Outcome::Miss) && elapsed <= aim.min(aim / 3 + way) {
            s.answered = s.answered.max(self.now.saturating_sub(elapsed)); // at once: there is no queue
        }
        let crowded = end.utilization > Some(FULL) || elapsed > in_time;
        let bad = match outcome {
            Outcome::TimedOut if passed => false, // lost, or it would have been answered first
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
        let before = s.seen(self.now);
        let slowness = match outcome {
            // A miss waits for the origin, which is not the cache's fault.
            Outcome::Ok if end.hit != Some(false) => sample,
            Outcome::Canceled | Outcome::TimedOut => sample.max(before),
            Outcome::QueueFull => 2.0 * SLOW,
            _ => before,
        };
        s.sample(slowness, if before > SLOW { 0.5 } else { 0.15 }, self.now);
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
