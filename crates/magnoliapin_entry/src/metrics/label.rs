//! Values of the metrics' labels.

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
    /// Names a child of the supervisor, or a kind of its short tasks.
    ChildName {
        /// Accepts callers' connections.
        Listener => "listener",
        /// Reads changed certificates.
        Certificates => "certificates",
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
        /// The wall clock was told.
        WallClock => "wall_clock",
        /// A planned stop was asked for.
        Stop => "stop",
        /// An answer came for a machine that is no longer there.
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
