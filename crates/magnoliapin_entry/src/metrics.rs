//! Counters, gauges and histograms of one entry.

use std::fmt;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use magnoliapin_model::ErrorKind;
use magnoliapin_wire::CallFailure;
use prometheus_client::encoding::text;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::EncodeLabelValue;
use prometheus_client::encoding::LabelValueEncoder;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use prometheus_client::registry::Unit;

macro_rules! label_values {
    ($($(#[$meta:meta])* $name:ident { $($(#[$value_meta:meta])* $value:ident => $text:literal,)+ })+) => {
        $(
            $(#[$meta])*
            #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
            pub(crate) enum $name { $($(#[$value_meta])* $value,)+ }

            impl fmt::Display for $name {
                fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                    formatter.pad(match self { $(Self::$value => $text,)+ })
                }
            }

            impl EncodeLabelValue for $name {
                fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> Result<(), fmt::Error> {
                    let text = match self { $(Self::$value => $text,)+ };
                    EncodeLabelValue::encode(&text, encoder)
                }
            }
        )+
    };
}

label_values! {
    /// Names a child of the supervisor, or a kind of its short tasks.
    ChildName {
        /// Accepts callers' connections.
        Listener => "listener",
        /// Receives datagrams.
        Peers => "peers",
        /// Owns the machine.
        Driver => "driver",
        /// Closes unused connections.
        PoolSweep => "pool_sweep",
        /// One call of the platform.
        PlatformCall => "platform_call",
        /// One call of a target.
        TargetCall => "target_call",
        /// One connection of a caller.
        CallerConnection => "caller_connection",
    }

    /// Who is at the other end of a call or a connection.
    BorderName {
        /// Callers and operators.
        Caller => "caller",
        /// The platform's service.
        Platform => "platform",
        /// Targets.
        Target => "target",
    }

    /// How a call ended.
    CallResult {
        /// With an answer.
        Answered => "answered",
        /// Nothing was sent.
        NotSent => "not_sent",
        /// It may have been carried out.
        Unknown => "unknown",
        /// Its answer did not fit it; it may have been carried out.
        Mismatched => "mismatched",
    }

    /// What became of a datagram.
    DatagramFate {
        /// Sent to a peer.
        Sent => "sent",
        /// Could not be sent.
        SendFailed => "send_failed",
        /// Passed on to the driver.
        Received => "received",
        /// Not made with the site's key, or malformed.
        Foreign => "foreign",
        /// Meant for another entry, or sent by this one.
        Misdirected => "misdirected",
        /// Older than one already received from its sender.
        Replayed => "replayed",
        /// Dropped because too many wait for the driver.
        Overflowed => "overflowed",
    }

    /// What happened to the driver.
    EventName {
        /// Time passed.
        Tick => "tick",
        /// A caller asked for something.
        Caller => "caller",
        /// A caller hung up.
        CallerGone => "caller_gone",
        /// The platform answered.
        Platform => "platform",
        /// A target answered.
        Target => "target",
        /// A datagram came.
        Peer => "peer",
        /// A planned stop was asked for.
        Stop => "stop",
        /// An answer came for a machine that is no longer there.
        Outdated => "outdated",
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AnswerLabels {
    kind: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CallLabels {
    border: BorderName,
    result: CallResult,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct BorderLabels {
    border: BorderName,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ChildLabels {
    child: ChildName,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DatagramLabels {
    fate: DatagramFate,
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
    call_seconds: Family<BorderLabels, Histogram>,
    connections: Family<BorderLabels, Gauge>,
    refused_connections: Counter,
    datagrams: Family<DatagramLabels, Counter>,
    events: Family<EventLabels, Counter>,
    waiting_events: Gauge,
    restarts: Family<ChildLabels, Counter>,
    machines: Counter,
    timeline_dropped: Counter,
    event_seconds: Family<EventLabels, Counter<f64, AtomicU64>>,
}

impl EntryMetrics {
    /// Makes metrics that are all zero.
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("magnoliapin"),
            answers: Family::default(),
            calls: Family::default(),
            call_seconds: Family::new_with_constructor(latency_histogram),
            connections: Family::default(),
            refused_connections: Counter::default(),
            datagrams: Family::default(),
            events: Family::default(),
            waiting_events: Gauge::default(),
            restarts: Family::default(),
            machines: Counter::default(),
            timeline_dropped: Counter::default(),
            event_seconds: Family::default(),
        };
        metrics.register_calls();
        metrics.register_inside();
        metrics
    }

    /// Returns all metrics in the OpenMetrics text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing into a string does not fail.
        let _ = text::encode(&mut text, &self.registry);
        text
    }

    pub(crate) fn count_answer(&self, kind: Option<ErrorKind>, latency: Duration) {
        let labels = AnswerLabels { kind: kind.map_or("ok", ErrorKind::name) };
        self.answers.get_or_create(&labels).inc();
        self.observe_latency(BorderName::Caller, latency);
    }

    pub(crate) fn count_call(&self, border: BorderName, result: CallResult, latency: Duration) {
        self.calls.get_or_create(&CallLabels { border, result }).inc();
        self.observe_latency(border, latency);
    }

    pub(crate) fn count_connection(&self, border: BorderName, change: i64) {
        self.connections.get_or_create(&BorderLabels { border }).inc_by(change);
    }

    pub(crate) fn count_refused_connection(&self) {
        self.refused_connections.inc();
    }

    pub(crate) fn count_datagram(&self, fate: DatagramFate) {
        self.datagrams.get_or_create(&DatagramLabels { fate }).inc();
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

    pub(crate) fn count_timeline_drop(&self) {
        self.timeline_dropped.inc();
    }

    fn observe_latency(&self, border: BorderName, latency: Duration) {
        let labels = BorderLabels { border };
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
            "refused_connections",
            "Connections of callers closed because too many were open",
            self.refused_connections.clone(),
        );
    }

    fn register_inside(&mut self) {
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

impl From<CallFailure> for CallResult {
    fn from(failure: CallFailure) -> Self {
        match failure {
            CallFailure::NotSent => Self::NotSent,
            CallFailure::Unknown => Self::Unknown,
        }
    }
}
