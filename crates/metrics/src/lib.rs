//! One book of counts of a node's work, always kept.
//!
//! A request counts once, at its end, whatever way it ends; what ends after its client has left counts nowhere.
//! Whoever keeps the book has a [`Metrics`], cheap to clone; a count is one addition to a number in memory. Whoever
//! reads it asks for a form: the operators' lines ([`Metrics::lines`]) or Prometheus' text ([`Metrics::prometheus`]).

use std::fmt::Write as _;
use std::sync::{Arc, Mutex, OnceLock, PoisonError};

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use tracing::warn;

/// What the operators' lines begin with.
const PREFIX: &str = "edge_edge";

/// The figures of other nodes.
const SIBLINGS: [&str; 3] = ["siblings_here", "siblings_gone", "siblings_unknown"];
/// The figures of what nodes hold in common.
const COMMON: [&str; 3] = ["common_records", "common_conflicts", "common_behind"];

/// How a request has ended, as its client sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// With a value or a receipt.
    Served,
    /// Refused: trying again is harmless.
    Refused,
    /// Failed, with no promise.
    Failed,
}

/// A rule of the protocol that the node holds itself to. Its violations are counted where it acts, apart from where it
/// decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Rule {
    /// A server was told a longer deadline than the client had left.
    DeadlineToldTooLong,
    /// An attempt began after the client's deadline.
    BegunAfterDeadline,
    /// An attempt began after the client had left.
    BegunAfterClientLeft,
    /// An attempt began at a server that drains or is gone.
    BegunAtDrained,
    /// A connection was closed with a request that had been read and not answered.
    ClosedUnanswered,
}

impl Rule {
    /// All of them.
    pub const ALL: [Rule; 5] = [
        Rule::DeadlineToldTooLong,
        Rule::BegunAfterDeadline,
        Rule::BegunAfterClientLeft,
        Rule::BegunAtDrained,
        Rule::ClosedUnanswered,
    ];

    /// Its name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Rule::DeadlineToldTooLong => "deadline_told_too_long",
            Rule::BegunAfterDeadline => "begun_after_deadline",
            Rule::BegunAfterClientLeft => "begun_for_nobody",
            Rule::BegunAtDrained => "begun_at_drained",
            Rule::ClosedUnanswered => "closed_unanswered",
        }
    }
}

/// Counts violations. Cheap to clone.
#[derive(Clone)]
pub struct ViolationCounters(Arc<[Counter; Rule::ALL.len()]>);

impl ViolationCounters {
    /// One more, by a request of this number in this process. It is logged.
    pub fn record(&self, rule: Rule, request: u32) {
        self.of(rule).inc();
        warn!(request, rule = rule.name(), "a rule was broken");
    }

    /// How many there were of a rule.
    pub fn total(&self, rule: Rule) -> u64 {
        self.of(rule).get()
    }

    fn of(&self, rule: Rule) -> &Counter {
        &self.0[rule as usize]
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RuleLabels {
    rule: &'static str,
}

/// A class's requests by their ends.
#[derive(Default, Clone)]
struct Ends {
    passed: Counter,
    dropped: Counter,
    failed: Counter,
}

impl Ends {
    fn of(&self, end: RequestOutcome) -> &Counter {
        match end {
            RequestOutcome::Served => &self.passed,
            RequestOutcome::Refused => &self.dropped,
            RequestOutcome::Failed => &self.failed,
        }
    }
}

/// The book. Clones are of one book.
#[derive(Clone)]
pub struct Metrics(Arc<Pages>);

struct Pages {
    /// By the classes' places in the settings.
    classes: Vec<(String, Ends)>,
    /// Requests that name no class.
    unnamed: Ends,
    tries: Counter,
    withheld: Counter,
    violations: ViolationCounters,
    in_progress: Gauge,
    known: Gauge,
    skipped: Gauge,
    /// Other nodes that are here, gone and not known; only where nodes speak to one another.
    siblings: OnceLock<[Gauge; 3]>,
    common: OnceLock<[Gauge; 3]>,
    registry: Mutex<Registry>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    class: String,
    end: &'static str,
}

/// What the book holds of all classes together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RequestTotals {
    /// Requests that were served.
    pub passed: u64,
    /// Requests that were refused.
    pub dropped: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Attempts written whole to servers, the origin among them.
    pub attempts: u64,
}

impl Metrics {
    /// An empty book for classes with these names.
    pub fn new(classes: Vec<String>) -> Metrics {
        let mut registry = Registry::with_prefix("lilacquay");
        let requests = Family::<RequestLabels, Counter>::default();
        let ends = |class: &str| {
            let of = |end| requests.get_or_create_owned(&RequestLabels { class: class.to_owned(), end });
            Ends { passed: of("passed"), dropped: of("dropped"), failed: of("bad_gateway") }
        };
        let unnamed = ends("");
        let classes = classes.into_iter().map(|name| (name.clone(), ends(&name))).collect();
        let (tries, in_progress, known, skipped): (Counter, Gauge, Gauge, Gauge) = Default::default();
        registry.register("requests", "Requests by class and end", requests);
        registry.register("upstream_tries", "Attempts written whole to servers", tries.clone());
        let withheld = Counter::default();
        registry.register("withheld", "Attempts that were decided and could not begin", withheld.clone());
        let broken = Family::<RuleLabels, Counter>::default();
        let of = |rule: Rule| broken.get_or_create_owned(&RuleLabels { rule: rule.name() });
        let violations = ViolationCounters(Arc::new(Rule::ALL.map(of)));
        registry.register("violations", "Rules that the node itself saw broken", broken.clone());
        registry.register("in_progress", "Requests taken and not ended", in_progress.clone());
        registry.register("known_cache_servers", "Caches in the list", known.clone());
        registry.register("skipped_cache_servers", "Listed caches that are avoided now", skipped.clone());
        let (siblings, common, registry) = (OnceLock::new(), OnceLock::new(), Mutex::new(registry));
        Metrics(Arc::new(Pages {
            classes,
            unnamed,
            tries,
            withheld,
            violations,
            in_progress,
            known,
            skipped,
            siblings,
            common,
            registry,
        }))
    }

    fn ends(&self, class: Option<usize>) -> &Ends {
        class.and_then(|class| self.0.classes.get(class)).map_or(&self.0.unnamed, |(_, ends)| ends)
    }

    /// A request was taken.
    pub fn request_started(&self) {
        self.0.in_progress.inc();
    }

    /// A request that was taken has ended, with nobody to tell if there is no `end`.
    pub fn request_ended(&self, class: Option<usize>, end: Option<RequestOutcome>) {
        self.0.in_progress.dec();
        if let Some(end) = end {
            self.ends(class).of(end).inc();
        }
    }

    /// Counts attempts as they are written whole.
    pub fn attempt_counter(&self) -> AttemptCounter {
        AttemptCounter(self.0.tries.clone())
    }

    /// An attempt that was decided could not begin.
    pub fn attempt_withheld(&self) {
        self.0.withheld.inc();
    }

    /// Counts violations.
    pub fn violations(&self) -> ViolationCounters {
        self.0.violations.clone()
    }

    /// How many caches the list has, and how many of those are avoided now.
    pub fn set_cache_counts(&self, known: usize, skipped: usize) {
        self.0.known.set(known as i64);
        self.0.skipped.set(skipped as i64);
    }

    /// How many other nodes are here, gone and not known. Figures of these are told from the first call on.
    pub fn set_sibling_counts(&self, numbers: [usize; 3]) {
        self.set(&self.0.siblings, SIBLINGS, "Other nodes, as this one sees them", numbers);
    }

    /// How many records are held in common, how many orders contradict each other, and whether this node is behind. Figures
    /// of these are told from the first call on.
    pub fn set_replica_counts(&self, numbers: [usize; 3]) {
        self.set(&self.0.common, COMMON, "What all nodes hold in common, as this one has it", numbers);
    }

    fn set(&self, of: &OnceLock<[Gauge; 3]>, names: [&'static str; 3], help: &str, numbers: [usize; 3]) {
        let gauges = of.get_or_init(|| {
            let gauges = names.map(|_| Gauge::default());
            let mut registry = self.0.registry.lock().unwrap_or_else(PoisonError::into_inner);
            for (name, gauge) in names.into_iter().zip(&gauges) {
                registry.register(name, help, gauge.clone());
            }
            gauges
        });
        for (gauge, number) in gauges.iter().zip(numbers) {
            gauge.set(number as i64);
        }
    }

    /// All classes together.
    pub fn totals(&self) -> RequestTotals {
        let all = self.0.classes.iter().map(|(_, ends)| ends).chain([&self.0.unnamed]);
        let mut totals = RequestTotals { attempts: self.0.tries.get(), ..RequestTotals::default() };
        for ends in all {
            totals.passed += ends.passed.get();
            totals.dropped += ends.dropped.get();
            totals.failed += ends.failed.get();
        }
        totals
    }

    /// The operators' lines: `NAME:VALUE|c` for counts since the start, `|g` for what is now.
    pub fn statsd_lines(&self) -> String {
        let mut text = String::with_capacity(1024);
        let unnamed = [("none", &self.0.unnamed)];
        let named = self.0.classes.iter().map(|(name, ends)| (name.as_str(), ends));
        let any = |ends: &Ends| ends.passed.get() + ends.dropped.get() + ends.failed.get() > 0;
        for (class, ends) in named.chain(unnamed.into_iter().filter(|(_, ends)| any(ends))) {
            for (end, count) in
                [("passed", &ends.passed), ("dropped", &ends.dropped), ("bad_gateway", &ends.failed)]
            {
                put(&mut text, format_args!("handled.{class}.{end}"), count.get() as i64, 'c');
            }
        }
        put(&mut text, format_args!("upstream_tries"), self.0.tries.get() as i64, 'c');
        put(&mut text, format_args!("withheld"), self.0.withheld.get() as i64, 'c');
        for rule in Rule::ALL {
            let count = self.0.violations.total(rule) as i64;
            put(&mut text, format_args!("violations.{}", rule.name()), count, 'c');
        }
        put(&mut text, format_args!("in_progress"), self.0.in_progress.get(), 'g');
        put(&mut text, format_args!("known_cache_servers"), self.0.known.get(), 'g');
        put(&mut text, format_args!("skipped_cache_servers"), self.0.skipped.get(), 'g');
        let siblings = SIBLINGS.into_iter().zip(self.0.siblings.get().into_iter().flatten());
        let common = COMMON.into_iter().zip(self.0.common.get().into_iter().flatten());
        for (name, gauge) in siblings.chain(common) {
            put(&mut text, format_args!("{name}"), gauge.get(), 'g');
        }
        text
    }

    /// Prometheus' text, in the OpenMetrics form.
    pub fn prometheus(&self) -> String {
        let mut text = String::new();
        let registry = self.0.registry.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = encode(&mut text, &registry); // a string takes all
        text
    }
}

fn put(text: &mut String, name: std::fmt::Arguments, value: i64, kind: char) {
    let _ = writeln!(text, "{PREFIX}.{name}:{value}|{kind}"); // a string takes all
}

/// Counts attempts written whole.
#[derive(Clone)]
pub struct AttemptCounter(Counter);

impl AttemptCounter {
    /// One more.
    pub fn increment(&self) {
        self.0.inc();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_request_counts_once_under_its_class_and_end() {
        let metrics = Metrics::new(vec!["read".into(), "put".into()]);
        for (class, end) in [
            (Some(0), Some(RequestOutcome::Served)),
            (Some(1), Some(RequestOutcome::Refused)),
            (Some(1), None),
            (Some(9), Some(RequestOutcome::Failed)),
        ] {
            metrics.request_started();
            metrics.request_ended(class, end);
        }
        metrics.request_started();
        metrics.attempt_counter().increment();
        metrics.set_cache_counts(12, 3);
        let text = metrics.statsd_lines();
        for line in [
            "edge_edge.handled.read.passed:1|c",
            "edge_edge.handled.read.dropped:0|c",
            "edge_edge.handled.put.dropped:1|c",
            "edge_edge.handled.put.passed:0|c",
            "edge_edge.handled.none.bad_gateway:1|c",
            "edge_edge.upstream_tries:1|c",
            "edge_edge.in_progress:1|g",
            "edge_edge.known_cache_servers:12|g",
            "edge_edge.skipped_cache_servers:3|g",
        ] {
            assert!(text.lines().any(|l| l == line), "{line} is not in\n{text}");
        }
        assert_eq!(metrics.totals(), RequestTotals { passed: 1, dropped: 1, failed: 1, attempts: 1 });
        let text = metrics.prometheus();
        assert!(text.contains("lilacquay_requests_total{class=\"read\",end=\"passed\"} 1"), "{text}");
        assert!(text.contains("lilacquay_in_progress 1"), "{text}");
    }

    #[test]
    fn a_violation_counts_under_its_rule() {
        let metrics = Metrics::new(Vec::new());
        for rule in Rule::ALL {
            metrics.violations().record(rule, 7);
        }
        metrics.violations().record(Rule::BegunAfterClientLeft, 8);
        metrics.attempt_withheld();
        let (lines, text) = (metrics.statsd_lines(), metrics.prometheus());
        assert!(lines.contains("edge_edge.violations.begun_for_nobody:2|c\n"), "{lines}");
        assert!(lines.contains("edge_edge.violations.deadline_told_too_long:1|c\n"), "{lines}");
        assert!(lines.contains("edge_edge.withheld:1|c\n"), "{lines}");
        assert!(text.contains("lilacquay_violations_total{rule=\"closed_unanswered\"} 1"), "{text}");
    }

    #[test]
    fn other_nodes_are_told_once_there_are_any() {
        let metrics = Metrics::new(Vec::new());
        assert!(!metrics.statsd_lines().contains("siblings") && !metrics.prometheus().contains("siblings"));
        metrics.set_sibling_counts([4, 1, 0]);
        metrics.set_sibling_counts([3, 2, 0]);
        assert!(
            metrics.statsd_lines().contains("edge_edge.siblings_gone:2|g\nedge_edge.siblings_unknown:0|g")
        );
        assert!(metrics.prometheus().contains("lilacquay_siblings_here 3"));
        assert!(!metrics.statsd_lines().contains("common"));
        metrics.set_replica_counts([7, 0, 1]);
        assert!(
            metrics.statsd_lines().ends_with("edge_edge.common_conflicts:0|g\nedge_edge.common_behind:1|g\n")
        );
    }

    #[test]
    fn a_class_that_nobody_names_is_not_told() {
        assert!(!Metrics::new(vec!["read".into()]).statsd_lines().contains("none"));
    }
}
