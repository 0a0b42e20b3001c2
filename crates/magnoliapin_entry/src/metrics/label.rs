//! Label values of the metrics.

use std::fmt;

use magnoliapin_wire::CallFailure;
use prometheus_client::encoding::EncodeLabelValue;
use prometheus_client::encoding::LabelValueEncoder;

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
    /// A child of the supervisor, or a kind of short task.
    ChildName {
        /// Accepts caller connections.
        Listener => "listener",
        /// Reloads changed certificates.
        Certificates => "certificates",
        /// Receives datagrams from peers.
        Peers => "peers",
        /// Runs the state machine.
        Driver => "driver",
        /// Closes idle connections to the platform and targets.
        PoolSweep => "pool_sweep",
        /// One call to the platform.
        PlatformCall => "platform_call",
        /// One call to a target.
        TargetCall => "target_call",
        /// One caller connection.
        CallerConnection => "caller_connection",
    }

    /// Kind of the remote side of a call or a connection.
    EndpointKind {
        /// Callers and operators.
        Caller => "caller",
        /// The platform.
        Platform => "platform",
        /// Targets.
        Target => "target",
    }

    /// Result of a call.
    CallResult {
        /// A valid response was received.
        Answered => "answered",
        /// The call was not sent, or had no effect.
        NotSent => "not_sent",
        /// The call may have been carried out.
        Unknown => "unknown",
        /// The response does not fit the call, which may have been carried out.
        Mismatched => "mismatched",
    }

    /// Outcome of a datagram.
    DatagramOutcome {
        /// Sent to a peer.
        Sent => "sent",
        /// Could not be sent.
        SendFailed => "send_failed",
        /// Passed to the driver.
        Received => "received",
        /// Malformed, or not authenticated with the site's key.
        Foreign => "foreign",
        /// Addressed to another entry, or sent by this one.
        Misdirected => "misdirected",
        /// Not newer than the latest one from its sender.
        Replayed => "replayed",
        /// Dropped because the driver's event queue is full or closed.
        Overflowed => "overflowed",
    }

    /// Kind of an event that the driver handles.
    EventName {
        /// Timer of the state machine.
        Tick => "tick",
        /// A caller's request.
        Caller => "caller",
        /// A caller disconnected.
        CallerDisconnected => "caller_gone",
        /// A reply of the platform.
        Platform => "platform",
        /// A reply of a target.
        Target => "target",
        /// A datagram of a peer.
        Peer => "peer",
        /// An update of the wall clock.
        WallClock => "wall_clock",
        /// A request for a planned stop.
        Stop => "stop",
        /// A reply for a state machine that was replaced.
        Outdated => "outdated",
    }
}

impl From<CallFailure> for CallResult {
    fn from(failure: CallFailure) -> Self {
        match failure {
            CallFailure::NotSent => Self::NotSent,
            CallFailure::Unknown => Self::Unknown,
        }
    }
}
