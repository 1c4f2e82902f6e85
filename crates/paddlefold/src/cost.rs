//! What a read loses by one way rather than another, reckoned in the deployment's own terms: its prices, its classes'
//! aims, and what answers have told of times and misses. An aim's time is held to be worth the answer.

use super::*;

/// The part of its usual time by which a request in flight holds up the next: a cache works on several at once.
const HOLD_UP: f64 = 0.5;
/// What asking a cache in vain takes, in requests in flight there.
const VAIN: f64 = 0.5;
/// A cache that holds a key with this chance is asked, however quick the origin is: it is there to spare it.
const LIKELY: f64 = 0.5;
/// Requests in flight that one rank is worth, where nothing else tells caches apart...
const TIE: f64 = 1e-3;
/// ... and where caches fetch for themselves, so that misses are theirs to bear.
const AFFINITY: f64 = 0.6;

/// A read is worth a try where this part of those with as little time was served...
const WORTHWHILE: f64 = 0.6;
/// ... and so often where it was not, to find out whether that still holds.
const TRIAL: f64 = 1.0 / 16.0;
/// Reads over which that part is reckoned.
const JUDGED: f64 = 32.0;

/// Caches at which an answer of the origin is stored.
const STORED: usize = 2;

/// Where a read would go, and why.
pub(super) struct Pick {
    pub to: ServerId,
    pub known: Known,
    /// There is idle room.
    pub idle: bool,
    /// Asking there is worth less than it takes: the origin is as well asked at once.
    pub vain: bool,
}

impl Balancer {
    /// Of the key's candidates, the one where a read loses least: by its queue, its zone, a miss.
    pub(super) fn pick(&self, id: RequestId) -> Option<Pick> {
        let r = &self.open[&id];
        // One that was tried before only if all were.
        let tried = |s: &Server| if r.tried(s.member.id) { 1e9 } else { 0.0 };
        let cost = |(rank, s): &(usize, &Server)| tried(s) + self.load(s) + self.detours(r, s, *rank);
        let candidates = self.candidates(r.key).into_iter().enumerate();
        let (rank, s) = candidates.min_by(|a, b| cost(a).total_cmp(&cost(b)))?;
        let known = self.known(r, s, rank);
        let vain = self.is_vain(r, s, known);
        Some(Pick { to: s.member.id, known, idle: self.idle(s, r.class), vain })
    }

    /// Our requests in flight at a cache, in the time that they take there.
    fn load(&self, s: &Server) -> f64 {
        // A cache not yet heard from counts at the others' mean, never idle.
        let mean = self.gates[CACHES].out as f64 / self.ranking.len().max(1) as f64;
        let held = (s.out.len() as f64).max(if s.heard.is_none() { mean } else { 0.0 });
        (held + 1.0) * s.slowness(self.now)
    }

    /// Idle room: nothing of ours out, and about as quick as all are when uncongested.
    pub(super) fn idle(&self, s: &Server, class: usize) -> bool {
        let timing = &self.timings[class];
        s.out.is_empty() && s.slowness(self.now) * timing.mean < SLOW / 2.0 * timing.base
    }

    /// What a read loses beside the queue if it asks this cache, in requests in flight there.
    fn detours(&self, r: &Open, s: &Server, rank: usize) -> f64 {
        let miss = match self.settings.mode {
            Mode::Aside => (1.0 - self.holders.chance(self.known(r, s, rank))) * self.fetch_loss(r),
            Mode::Through => AFFINITY * rank as f64 * self.place(r),
        };
        (self.crossing(s) + miss) / self.place(r) + TIE * rank as f64
    }

    /// Whether a read gains less by asking this cache than that takes, so that the origin is asked at once.
    ///
    /// Guards against: a far cache asked in vain, which crosses zones twice; and keys wanted once that drive out of
    /// a small cache what is wanted again. A key asked for within the time that caches keep keys is stored near us.
    /// Where the origin strains it is spared: caches may know what we don't.
    fn is_vain(&self, r: &Open, s: &Server, known: Known) -> bool {
        let gate = &self.gates[ORIGIN];
        if self.settings.mode == Mode::Through || !r.repeatable() || !r.tries.is_empty() || r.stored.is_some()
        {
            return false;
        }
        let spared = self.origin.is_none() || gate.full() || gate.strain > STRAINED / 2.0;
        let chance = self.holders.chance(known);
        let gain = chance * self.fetch_loss(r);
        let wanted = r.recent && !self.abroad(s) || chance >= LIKELY;
        !(spared || wanted) && gain < self.crossing(s) + VAIN * self.place(r)
    }

    /// A request's work, in requests of usual work, by its class; none counts as more than can be saved up.
    pub(super) fn work(&self, class: usize) -> f64 {
        (self.timings[class].base / self.usual_work.max(1.0)).min(SAVED)
    }

    /// A request came: a part of its work may be spent on doing work over again.
    pub(super) fn earn(&mut self, class: usize) {
        let work = self.timings[class].base;
        let part = if self.usual_work > 0.0 { 1.0 / JUDGED } else { 1.0 };
        self.usual_work += (work - self.usual_work) * part;
        self.copies = (self.copies + COPY_SHARE * self.work(class)).min(SAVED);
        self.retries = (self.retries + RETRY_SHARE * self.work(class)).min(SAVED);
    }

    /// With how little time a read came; nothing if that is ample.
    pub(super) fn haste(&self, request: &Request, r: &Open) -> Option<usize> {
        let time = request.budget as f64 / self.timings[r.class].base.max(1.0);
        Hastes::step(time).filter(|_| r.repeatable())
    }

    /// Whether reads that came with so little time were seldom served of late.
    ///
    /// Guards against: impatient clients, whose reads are given up before an answer can come, miss after miss and
    /// fetch after fetch, and who come again with more time only once they are answered. It hurts those who would
    /// have been lucky.
    pub(super) fn hopeless(&mut self, r: &Open) -> bool {
        let tau = self.tau();
        let chance = r.haste.map_or(1.0, |step| self.hastes.chance(step, self.now, tau));
        chance < WORTHWHILE && self.rng.f64() >= TRIAL
    }

    /// Learns from the end of a read that was tried.
    pub(super) fn judge(&mut self, id: RequestId, served: bool) {
        let r = self.open.get(&id).filter(|r| !r.settled && !r.tries.is_empty());
        if let Some(step) = r.and_then(|r| r.haste) {
            self.hastes.told(step, served, JUDGED, self.now, self.tau());
        }
    }

    pub(super) fn known(&self, r: &Open, s: &Server, rank: usize) -> Known {
        let standing = match rank {
            _ if self.abroad(s) => Standing::Far,
            0 => Standing::Home,
            _ => Standing::Spare,
        };
        self.holders.known(r.key, s.member.id, standing, self.now)
    }

    /// What a request in flight costs the next one at that cache, as a part of its worth.
    fn place(&self, r: &Open) -> f64 {
        (HOLD_UP * self.timings[r.class].base / (r.aim as f64).max(1.0)).max(TIE)
    }

    /// What a fetch costs a read, as a part of its worth.
    fn fetch_loss(&self, r: &Open) -> f64 {
        let way = self.origin.and_then(|id| self.servers.get(&id)).map_or(0.0, |s| self.crossing(s));
        self.gates[ORIGIN].timing.mean / (r.aim as f64).max(1.0) + way
    }

    /// What the way to a server costs, as a part of a read's worth.
    fn crossing(&self, s: &Server) -> f64 {
        let price = self.settings.cross_zone_price;
        if self.far(s) && price.is_finite() { price.max(0.0) } else { 0.0 }
    }

    pub(super) fn far(&self, s: &Server) -> bool {
        self.settings.zone.is_some_and(|zone| zone != s.member.zone)
    }

    /// In another zone, where that has a price that splits the sets.
    fn abroad(&self, s: &Server) -> bool {
        self.far(s) && self.nearness() > 1.0
    }

    /// The own zone first, where crossing has a price: a point of it is not worth splitting the sets.
    pub(super) fn nearness(&self) -> f64 {
        (100.0 * self.settings.cross_zone_price).powf(1.5).max(1.0)
    }

    /// Learns from the end of an attempt who holds the key.
    pub(super) fn recall(&mut self, end: &AttemptEnd) {
        let Some(r) = self.open.get(&end.id) else { return };
        let (t, key) = (&r.tries[end.attempt], r.key);
        let at_origin = self.servers.get(&t.server).is_some_and(|s| s.member.origin);
        match end.outcome {
            Outcome::Ok if r.write => self.holders.lack(key, None),
            // The origin's answer is stored at the first that missed for this request.
            Outcome::Ok if at_origin => {
                let missed = r.tries.iter().filter(|t| t.missed).take(STORED).map(|t| t.server);
                missed.for_each(|s| self.holders.hold(key, s, self.now));
            }
            Outcome::Ok => {
                self.holders.told(t.known, end.hit != Some(false));
                self.holders.hold(key, t.server, self.now);
            }
            Outcome::Miss => {
                self.holders.told(t.known, false);
                self.holders.lack(key, Some(t.server));
            }
            _ => {}
        }
    }
}
