//! A node's counters and gauges, which are always maintained.
//!
//! A request is counted once, when it ends, by its outcome; it is not counted if its client has disconnected before.
//! Updates go through [`Metrics`], which is cheap to clone; an update is one addition to a number in memory. The
//! values are exported as StatsD-style lines ([`Metrics::statsd_lines`]) or in Prometheus' text format
//! ([`Metrics::prometheus`]).

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::{Arc, Mutex, OnceLock, PoisonError};

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use tracing::warn;

/// The prefix of the names in the StatsD-style lines.
const STATSD_PREFIX: &str = "edge_edge";

/// Names of the gauges that describe the other nodes.
const SIBLING_GAUGES: [&str; 3] = ["siblings_here", "siblings_gone", "siblings_unknown"];
/// Names of the gauges that describe the replicated store.
const REPLICA_GAUGES: [&str; 3] = ["common_records", "common_conflicts", "common_behind"];

/// The outcome of a request, as its client sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Answered with a value or a confirmation.
    Served,
    /// Refused without side effects, so that a retry is safe.
    Refused,
    /// Failed; whether the request took effect is unknown.
    Failed,
}

/// A rule of the protocol that the node checks on itself. Violations are counted where the node acts, independently of
/// the code that decides what to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Rule {
    /// The deadline forwarded to a server was later than the client's.
    DeadlineToldTooLong,
    /// An attempt began after the client's deadline.
    BegunAfterDeadline,
    /// An attempt began after the client had disconnected.
    BegunAfterClientLeft,
    /// An attempt began at a server that is draining or has been removed.
    BegunAtDrained,
    /// A connection was closed although a request read from it had not been answered.
    ClosedUnanswered,
}

impl Rule {
    /// All rules.
    pub const ALL: [Rule; 5] = [
        Rule::DeadlineToldTooLong,
        Rule::BegunAfterDeadline,
        Rule::BegunAfterClientLeft,
        Rule::BegunAtDrained,
        Rule::ClosedUnanswered,
    ];

    /// The name of the rule in metrics and logs.
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

/// Counts violations of each [`Rule`]. Cheap to clone.
#[derive(Clone)]
pub struct ViolationCounters(Arc<[Counter; Rule::ALL.len()]>);

impl ViolationCounters {
    /// Counts and logs a violation by the request with this number, which is unique within the process.
    pub fn record(&self, rule: Rule, request: u32) {
        self.counter(rule).inc();
        warn!(request, rule = rule.name(), "a rule was broken");
    }

    /// The number of violations of a rule since the start.
    pub fn total(&self, rule: Rule) -> u64 {
        self.counter(rule).get()
    }

    fn counter(&self, rule: Rule) -> &Counter {
        &self.0[rule as usize]
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RuleLabels {
    rule: &'static str,
}

/// Counters of the requests of one class, by outcome.
#[derive(Default, Clone)]
struct OutcomeCounters {
    served: Counter,
    refused: Counter,
    failed: Counter,
}

impl OutcomeCounters {
    fn counter(&self, outcome: RequestOutcome) -> &Counter {
        match outcome {
            RequestOutcome::Served => &self.served,
            RequestOutcome::Refused => &self.refused,
            RequestOutcome::Failed => &self.failed,
        }
    }
}

/// Use of the memory for long commands and large values of clients. Cheap to clone.
#[derive(Clone, Default)]
pub struct BufferMetrics {
    /// Bytes granted and not released.
    pub granted_bytes: Gauge,
    /// Bytes that commands wait for.
    pub awaited_bytes: Gauge,
    /// Commands that wait for memory.
    pub waiting_commands: Gauge,
    /// The longest wait for memory since the start, in milliseconds.
    pub longest_wait_ms: Gauge,
    /// Commands that were discarded as they arrived, for want of memory.
    pub discarded_commands: Counter,
}

impl BufferMetrics {
    /// The gauges with their names and descriptions.
    fn gauges(&self) -> [(&'static str, &'static str, &Gauge); 4] {
        [
            ("buffer_granted_bytes", "Bytes granted for long commands and large values", &self.granted_bytes),
            ("buffer_awaited_bytes", "Bytes that long commands wait for", &self.awaited_bytes),
            ("buffer_waiting_commands", "Long commands that wait for memory", &self.waiting_commands),
            ("buffer_longest_wait_ms", "Longest wait for memory since the start", &self.longest_wait_ms),
        ]
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CloseLabels {
    reason: &'static str,
}

/// Counts closed client connections by the reason.
#[derive(Clone, Default)]
struct CloseCounters {
    family: Family<CloseLabels, Counter>,
    by_reason: Arc<Mutex<BTreeMap<&'static str, Counter>>>,
}

impl CloseCounters {
    fn increment(&self, reason: &'static str) {
        let mut by_reason = self.by_reason.lock().unwrap_or_else(PoisonError::into_inner);
        let new = || self.family.get_or_create_owned(&CloseLabels { reason });
        by_reason.entry(reason).or_insert_with(new).inc();
    }

    fn counts(&self) -> Vec<(&'static str, u64)> {
        let by_reason = self.by_reason.lock().unwrap_or_else(PoisonError::into_inner);
        by_reason.iter().map(|(reason, counter)| (*reason, counter.get())).collect()
    }
}

/// The metrics of a node. Clones share their values.
#[derive(Clone)]
pub struct Metrics(Arc<Inner>);

struct Inner {
    /// Names and counters of the classes, in the order of the settings.
    classes: Vec<(String, OutcomeCounters)>,
    /// Requests without a class.
    unclassified: OutcomeCounters,
    attempts: Counter,
    withheld: Counter,
    violations: ViolationCounters,
    buffers: BufferMetrics,
    closes: CloseCounters,
    in_progress: Gauge,
    known: Gauge,
    skipped: Gauge,
    /// Numbers of other nodes that are alive, gone and in an unknown state; registered only if the node has siblings.
    siblings: OnceLock<[Gauge; 3]>,
    /// State of the replicated store; registered only if the node has one.
    replica: OnceLock<[Gauge; 3]>,
    registry: Mutex<Registry>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    class: String,
    end: &'static str,
}

/// Numbers of requests over all classes, and of attempts, since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RequestTotals {
    /// Requests that were served.
    pub served: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Attempts written completely to servers, including the origin.
    pub attempts: u64,
}

impl Metrics {
    /// Metrics for classes with these names; all values are 0.
    pub fn new(classes: Vec<String>) -> Metrics {
        let mut registry = Registry::with_prefix("lilacquay");
        let requests = Family::<RequestLabels, Counter>::default();
        let outcome_counters = |class: &str| {
            let counter = |end| requests.get_or_create_owned(&RequestLabels { class: class.to_owned(), end });
            OutcomeCounters {
                served: counter("passed"),
                refused: counter("dropped"),
                failed: counter("bad_gateway"),
            }
        };
        let unclassified = outcome_counters("");
        let classes = classes.into_iter().map(|name| (name.clone(), outcome_counters(&name))).collect();
        let (attempts, in_progress, known, skipped): (Counter, Gauge, Gauge, Gauge) = Default::default();
        registry.register("requests", "Requests by class and end", requests);
        registry.register("upstream_tries", "Attempts written whole to servers", attempts.clone());
        let withheld = Counter::default();
        registry.register("withheld", "Attempts that were decided and could not begin", withheld.clone());
        let violations_by_rule = Family::<RuleLabels, Counter>::default();
        let counter = |rule: Rule| violations_by_rule.get_or_create_owned(&RuleLabels { rule: rule.name() });
        let violations = ViolationCounters(Arc::new(Rule::ALL.map(counter)));
        registry.register("violations", "Rules that the node itself saw broken", violations_by_rule.clone());
        let (buffers, closes) = (BufferMetrics::default(), CloseCounters::default());
        for (name, help, gauge) in buffers.gauges() {
            registry.register(name, help, gauge.clone());
        }
        let discarded = buffers.discarded_commands.clone();
        registry.register("buffer_discarded_commands", "Commands discarded for want of memory", discarded);
        registry.register("closes", "Client connections closed, by reason", closes.family.clone());
        registry.register("in_progress", "Requests taken and not ended", in_progress.clone());
        registry.register("known_cache_servers", "Caches in the list", known.clone());
        registry.register("skipped_cache_servers", "Listed caches that are avoided now", skipped.clone());
        let (siblings, replica, registry) = (OnceLock::new(), OnceLock::new(), Mutex::new(registry));
        Metrics(Arc::new(Inner {
            classes,
            unclassified,
            attempts,
            withheld,
            violations,
            buffers,
            closes,
            in_progress,
            known,
            skipped,
            siblings,
            replica,
            registry,
        }))
    }

    fn outcomes(&self, class: Option<usize>) -> &OutcomeCounters {
        class
            .and_then(|class| self.0.classes.get(class))
            .map_or(&self.0.unclassified, |(_, outcomes)| outcomes)
    }

    /// Counts a request as in progress.
    pub fn request_started(&self) {
        self.0.in_progress.inc();
    }

    /// Counts the end of a request that was in progress. `outcome` is none if the client had disconnected.
    pub fn request_ended(&self, class: Option<usize>, outcome: Option<RequestOutcome>) {
        self.0.in_progress.dec();
        if let Some(outcome) = outcome {
            self.outcomes(class).counter(outcome).inc();
        }
    }

    /// The counter of attempts written completely to a server.
    pub fn attempt_counter(&self) -> AttemptCounter {
        AttemptCounter(self.0.attempts.clone())
    }

    /// Counts an attempt that was decided on but could not begin.
    pub fn attempt_withheld(&self) {
        self.0.withheld.inc();
    }

    /// The counters of violations.
    pub fn violations(&self) -> ViolationCounters {
        self.0.violations.clone()
    }

    /// The gauges of the memory for long commands and large values.
    pub fn buffers(&self) -> BufferMetrics {
        self.0.buffers.clone()
    }

    /// Counts a closed client connection under this reason. A reason is exported once it has occurred.
    pub fn connection_closed(&self, reason: &'static str) {
        self.0.closes.increment(reason);
    }

    /// Sets the number of caches in the list, and of those that are currently avoided.
    pub fn set_cache_counts(&self, known: usize, skipped: usize) {
        self.0.known.set(known as i64);
        self.0.skipped.set(skipped as i64);
    }

    /// Sets the numbers of other nodes that are alive, gone and in an unknown state. These metrics are exported from
    /// the first call on.
    pub fn set_sibling_counts(&self, counts: [usize; 3]) {
        self.set_gauges(&self.0.siblings, SIBLING_GAUGES, "Other nodes, as this one sees them", counts);
    }

    /// Sets the number of replicated records, the number of conflicting orders, and whether this node is behind (1 or
    /// 0). These metrics are exported from the first call on.
    pub fn set_replica_counts(&self, counts: [usize; 3]) {
        self.set_gauges(
            &self.0.replica,
            REPLICA_GAUGES,
            "What all nodes hold in common, as this one has it",
            counts,
        );
    }

    /// Sets gauges, and registers them at the first call.
    fn set_gauges(
        &self,
        gauges: &OnceLock<[Gauge; 3]>,
        names: [&'static str; 3],
        help: &str,
        values: [usize; 3],
    ) {
        let gauges = gauges.get_or_init(|| {
            let gauges = names.map(|_| Gauge::default());
            let mut registry = self.0.registry.lock().unwrap_or_else(PoisonError::into_inner);
            for (name, gauge) in names.into_iter().zip(&gauges) {
                registry.register(name, help, gauge.clone());
            }
            gauges
        });
        for (gauge, value) in gauges.iter().zip(values) {
            gauge.set(value as i64);
        }
    }

    /// The totals over all classes.
    pub fn totals(&self) -> RequestTotals {
        let all = self.0.classes.iter().map(|(_, outcomes)| outcomes).chain([&self.0.unclassified]);
        let mut totals = RequestTotals { attempts: self.0.attempts.get(), ..RequestTotals::default() };
        for outcomes in all {
            totals.served += outcomes.served.get();
            totals.refused += outcomes.refused.get();
            totals.failed += outcomes.failed.get();
        }
        totals
    }

    /// The metrics as StatsD-style lines: `NAME:VALUE|c` for counters since the start, `NAME:VALUE|g` for gauges.
    pub fn statsd_lines(&self) -> String {
        let mut text = String::with_capacity(1024);
        let unclassified = [("none", &self.0.unclassified)];
        let named = self.0.classes.iter().map(|(name, outcomes)| (name.as_str(), outcomes));
        let has_requests = |outcomes: &OutcomeCounters| {
            outcomes.served.get() + outcomes.refused.get() + outcomes.failed.get() > 0
        };
        for (class, outcomes) in
            named.chain(unclassified.into_iter().filter(|(_, outcomes)| has_requests(outcomes)))
        {
            for (end, count) in [
                ("passed", &outcomes.served),
                ("dropped", &outcomes.refused),
                ("bad_gateway", &outcomes.failed),
            ] {
                put_line(&mut text, format_args!("handled.{class}.{end}"), count.get() as i64, 'c');
            }
        }
        put_line(&mut text, format_args!("upstream_tries"), self.0.attempts.get() as i64, 'c');
        put_line(&mut text, format_args!("withheld"), self.0.withheld.get() as i64, 'c');
        for rule in Rule::ALL {
            let count = self.0.violations.total(rule) as i64;
            put_line(&mut text, format_args!("violations.{}", rule.name()), count, 'c');
        }
        for (reason, count) in self.0.closes.counts() {
            put_line(&mut text, format_args!("closes.{reason}"), count as i64, 'c');
        }
        for (name, _, gauge) in self.0.buffers.gauges() {
            put_line(&mut text, format_args!("{name}"), gauge.get(), 'g');
        }
        let discarded = self.0.buffers.discarded_commands.get() as i64;
        put_line(&mut text, format_args!("buffer_discarded_commands"), discarded, 'c');
        put_line(&mut text, format_args!("in_progress"), self.0.in_progress.get(), 'g');
        put_line(&mut text, format_args!("known_cache_servers"), self.0.known.get(), 'g');
        put_line(&mut text, format_args!("skipped_cache_servers"), self.0.skipped.get(), 'g');
        let siblings = SIBLING_GAUGES.into_iter().zip(self.0.siblings.get().into_iter().flatten());
        let replica = REPLICA_GAUGES.into_iter().zip(self.0.replica.get().into_iter().flatten());
        for (name, gauge) in siblings.chain(replica) {
            put_line(&mut text, format_args!("{name}"), gauge.get(), 'g');
        }
        text
    }

    /// The metrics in Prometheus' text format, as OpenMetrics.
    pub fn prometheus(&self) -> String {
        let mut text = String::new();
        let registry = self.0.registry.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = encode(&mut text, &registry); // writing to a string cannot fail
        text
    }
}

fn put_line(text: &mut String, name: std::fmt::Arguments, value: i64, kind: char) {
    let _ = writeln!(text, "{STATSD_PREFIX}.{name}:{value}|{kind}"); // writing to a string cannot fail
}

/// Counts attempts written completely to a server.
#[derive(Clone)]
pub struct AttemptCounter(Counter);

impl AttemptCounter {
    /// Counts one attempt.
    pub fn increment(&self) {
        self.0.inc();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_request_is_counted_once_under_its_class_and_outcome() {
        let metrics = Metrics::new(vec!["read".into(), "put".into()]);
        for (class, outcome) in [
            (Some(0), Some(RequestOutcome::Served)),
            (Some(1), Some(RequestOutcome::Refused)),
            (Some(1), None),
            (Some(9), Some(RequestOutcome::Failed)),
        ] {
            metrics.request_started();
            metrics.request_ended(class, outcome);
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
            assert!(text.lines().any(|l| l == line), "{line} is missing in\n{text}");
        }
        assert_eq!(metrics.totals(), RequestTotals { served: 1, refused: 1, failed: 1, attempts: 1 });
        let text = metrics.prometheus();
        assert!(text.contains("lilacquay_requests_total{class=\"read\",end=\"passed\"} 1"), "{text}");
        assert!(text.contains("lilacquay_in_progress 1"), "{text}");
    }

    #[test]
    fn a_violation_is_counted_under_its_rule() {
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
    fn closes_are_counted_by_reason_and_buffers_are_exported() {
        let metrics = Metrics::new(Vec::new());
        assert!(!metrics.statsd_lines().contains("closes"));
        metrics.connection_closed("evicted");
        metrics.connection_closed("evicted");
        metrics.buffers().granted_bytes.set(4096);
        let (lines, text) = (metrics.statsd_lines(), metrics.prometheus());
        assert!(lines.contains("edge_edge.closes.evicted:2|c\n"), "{lines}");
        assert!(lines.contains("edge_edge.buffer_granted_bytes:4096|g\n"), "{lines}");
        assert!(text.contains("lilacquay_closes_total{reason=\"evicted\"} 2"), "{text}");
        assert!(text.contains("lilacquay_buffer_granted_bytes 4096"), "{text}");
    }

    #[test]
    fn gauges_of_other_nodes_are_exported_once_they_are_set() {
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
    fn no_line_is_exported_for_unclassified_requests_while_there_are_none() {
        assert!(!Metrics::new(vec!["read".into()]).statsd_lines().contains("none"));
    }
}
