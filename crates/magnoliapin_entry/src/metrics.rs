//! Counters, gauges and histograms of one entry.

mod label;
mod policy_gauges;

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use magnoliapin_http::LimitObserver;
use magnoliapin_http::LimitReason;
use magnoliapin_model::ErrorKind;
use magnoliapin_policy::PolicyCounts;
use prometheus_client::encoding::text;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use prometheus_client::registry::Unit;

use self::policy_gauges::PolicyGauges;

pub(crate) use self::label::CallResult;
pub(crate) use self::label::ChildName;
pub(crate) use self::label::DatagramOutcome;
pub(crate) use self::label::EndpointKind;
pub(crate) use self::label::EventName;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AnswerLabels {
    kind: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct LimitLabels {
    reason: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CallLabels {
    border: EndpointKind,
    result: CallResult,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EndpointLabels {
    border: EndpointKind,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ChildLabels {
    child: ChildName,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DatagramLabels {
    fate: DatagramOutcome,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EventLabels {
    event: EventName,
}

/// Counters, gauges and histograms of one entry.
#[derive(Debug)]
pub struct EntryMetrics {
    registry: Registry,
    answers: Family<AnswerLabels, Counter>,
    calls: Family<CallLabels, Counter>,
    call_seconds: Family<EndpointLabels, Histogram>,
    connections: Family<EndpointLabels, Gauge>,
    limited_callers: Family<LimitLabels, Counter>,
    refused_connections: Counter,
    evicted_connections: Counter,
    failed_handshakes: Counter,
    refused_certificates: Counter,
    datagrams: Family<DatagramLabels, Counter>,
    events: Family<EventLabels, Counter>,
    waiting_events: Gauge,
    restarts: Family<ChildLabels, Counter>,
    machines: Counter,
    timeline_dropped: Counter,
    stamps_ahead: Counter,
    event_seconds: Family<EventLabels, Counter<f64, AtomicU64>>,
    policy: PolicyGauges,
}

impl EntryMetrics {
    /// Creates metrics that are all zero.
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("magnoliapin"),
            answers: Family::default(),
            calls: Family::default(),
            call_seconds: Family::new_with_constructor(latency_histogram),
            connections: Family::default(),
            limited_callers: Family::default(),
            refused_connections: Counter::default(),
            evicted_connections: Counter::default(),
            failed_handshakes: Counter::default(),
            refused_certificates: Counter::default(),
            datagrams: Family::default(),
            events: Family::default(),
            waiting_events: Gauge::default(),
            restarts: Family::default(),
            machines: Counter::default(),
            timeline_dropped: Counter::default(),
            stamps_ahead: Counter::default(),
            event_seconds: Family::default(),
            policy: PolicyGauges::default(),
        };
        metrics.register_calls();
        metrics.register_internals();
        metrics.policy.register(&mut metrics.registry);
        metrics
    }

    /// Returns all metrics in the OpenMetrics text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = text::encode(&mut text, &self.registry);
        text
    }

    pub(crate) fn count_answer(&self, kind: Option<ErrorKind>, latency: Duration) {
        let labels = AnswerLabels { kind: kind.map_or("ok", ErrorKind::name) };
        self.answers.get_or_create(&labels).inc();
        self.observe_latency(EndpointKind::Caller, latency);
    }

    pub(crate) fn count_call(&self, endpoint: EndpointKind, result: CallResult, latency: Duration) {
        self.calls.get_or_create(&CallLabels { border: endpoint, result }).inc();
        self.observe_latency(endpoint, latency);
    }

    pub(crate) fn count_connection(&self, endpoint: EndpointKind, change: i64) {
        self.connections.get_or_create(&EndpointLabels { border: endpoint }).inc_by(change);
    }

    pub(crate) fn count_failed_handshake(&self) {
        self.failed_handshakes.inc();
    }

    pub(crate) fn count_refused_certificate(&self) {
        self.refused_certificates.inc();
    }

    pub(crate) fn count_datagram(&self, outcome: DatagramOutcome) {
        self.datagrams.get_or_create(&DatagramLabels { fate: outcome }).inc();
    }

    pub(crate) fn count_event(&self, event: EventName, time: Duration) {
        self.events.get_or_create(&EventLabels { event }).inc();
        self.event_seconds.get_or_create(&EventLabels { event }).inc_by(time.as_secs_f64());
    }

    pub(crate) fn set_waiting_events(&self, count: usize) {
        self.waiting_events.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    pub(crate) fn count_restart(&self, child: ChildName) {
        self.restarts.get_or_create(&ChildLabels { child }).inc();
    }

    pub(crate) fn count_machine(&self) {
        self.machines.inc();
    }

    pub(crate) fn set_policy(&self, counts: &PolicyCounts) {
        self.policy.set(counts);
    }

    pub(crate) fn count_timeline_drop(&self) {
        self.timeline_dropped.inc();
    }

    pub(crate) fn count_ignored_stamp(&self) {
        self.stamps_ahead.inc();
    }

    fn observe_latency(&self, endpoint: EndpointKind, latency: Duration) {
        let labels = EndpointLabels { border: endpoint };
        self.call_seconds.get_or_create(&labels).observe(latency.as_secs_f64());
    }

    fn register_calls(&mut self) {
        let registry = &mut self.registry;
        registry.register("answers", "Answers to callers, by kind of error", self.answers.clone());
        registry.register(
            "calls",
            "Calls of the platform and of targets, by result",
            self.calls.clone(),
        );
        registry.register_with_unit(
            "latency",
            "Time from a request to its answer, by border",
            Unit::Seconds,
            self.call_seconds.clone(),
        );
        registry.register("connections", "Open connections, by border", self.connections.clone());
        registry.register(
            "limited_callers",
            "Requests refused and connections of callers closed by a limit, by reason",
            self.limited_callers.clone(),
        );
        registry.register(
            "refused_connections",
            "Connections of callers closed because too many were open",
            self.refused_connections.clone(),
        );
        registry.register(
            "evicted_connections",
            "Unused connections of callers closed to make room for others",
            self.evicted_connections.clone(),
        );
        registry.register(
            "failed_handshakes",
            "Connections of callers closed because their TLS handshake failed or took too long",
            self.failed_handshakes.clone(),
        );
        registry.register(
            "refused_certificates",
            "Changed certificates or keys that cannot be used",
            self.refused_certificates.clone(),
        );
    }

    fn register_internals(&mut self) {
        let registry = &mut self.registry;
        registry.register("datagrams", "Datagrams, by what became of them", self.datagrams.clone());
        registry.register("events", "Events that the driver handled", self.events.clone());
        registry.register_with_unit(
            "event_time",
            "Time that the driver spent on events",
            Unit::Seconds,
            self.event_seconds.clone(),
        );
        registry.register(
            "waiting_events",
            "Events that wait for the driver",
            self.waiting_events.clone(),
        );
        registry.register(
            "restarts",
            "Children that failed or panicked, by name",
            self.restarts.clone(),
        );
        registry.register(
            "machines",
            "Machines that the driver has started, each with its own entry identifier",
            self.machines.clone(),
        );
        registry.register(
            "timeline_dropped",
            "Events of the time line that were dropped from the full ring",
            self.timeline_dropped.clone(),
        );
        registry.register(
            "stamps_ahead",
            "Datagrams whose sender's clock is too far ahead to be followed",
            self.stamps_ahead.clone(),
        );
    }
}

impl LimitObserver for EntryMetrics {
    fn record_limit(&self, reason: LimitReason) {
        self.limited_callers.get_or_create(&LimitLabels { reason: reason.name() }).inc();
        match reason {
            LimitReason::EvictedForConnection => self.evicted_connections.inc(),
            LimitReason::ConnectionRefused => self.refused_connections.inc(),
            _ => 0,
        };
    }
}

impl Default for EntryMetrics {
    fn default() -> Self {
        Self::new()
    }
}

fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.000_5, 2.0, 18))
}
