//! Datagrams between entries.
//!
//! Each datagram is a postcard-encoded [`PeerEnvelope`] preceded by an HMAC tag, see
//! [`PeerCodec`](crate::PeerCodec).

use std::net::SocketAddr;

use indexmap::IndexMap;
use magnoliapin_model::plain_data;
use magnoliapin_model::ConfigVersion;
use magnoliapin_model::EntryId;
use magnoliapin_model::InstanceId;
use magnoliapin_model::Moment;
use magnoliapin_model::RowVersion;
use magnoliapin_model::SectionName;
use magnoliapin_model::TeamId;
use magnoliapin_model::ZoneId;

use crate::rows::ConfigHead;
use crate::HybridStamp;

plain_data! {
    /// A message with its sender.
    pub struct PeerEnvelope {
        /// Sender.
        pub from: EntryId,
        /// Receiver; `None` if the sender has not discovered its identifier yet.
        pub to: Option<EntryId>,
        /// Sequence number of the sender; strictly increasing, so that replays are dropped.
        pub sequence: u64,
        /// Sender's clock, which orders events in the timeline.
        pub stamp: HybridStamp,
        /// The message.
        pub message: PeerMessage,
    }

    /// A message between two entries.
    pub enum PeerMessage {
        /// Heartbeat: reports the sender's status and requests the receiver's.
        Heartbeat {
            /// Sender's clock; the reply returns it.
            stamp: Moment,
            /// Status of the sender.
            status: EntryStatus,
        },
        /// Reply to a heartbeat.
        HeartbeatReply {
            /// Stamp of the heartbeat.
            stamp: Moment,
            /// Status of the replying entry.
            status: EntryStatus,
        },
        /// Reports that the sender discovered that a target is leaving.
        TargetLeaving(InstanceId),
        /// Reports that a slice of a team's quota allotment was moved to the receiver.
        SliceMoved(TeamId),
        /// Requests the changes of the configuration since the sender's version.
        RequestConfig {
            /// Version in force at the sender.
            known: ConfigVersion,
        },
        /// Sends the changes up to the configuration in force at the sender.
        SendConfig(ConfigUpdate),
    }

    /// Changes of the configuration since a version.
    pub struct ConfigUpdate {
        /// Version on which the update is based.
        pub since: ConfigVersion,
        /// Head of the configuration.
        pub head: ConfigHead,
        /// Version of the head's row.
        pub head_row: RowVersion,
        /// Text of each changed section; `None` if it was removed.
        pub sections: IndexMap<SectionName, Option<String>>,
    }

    /// Status that an entry reports to its peers.
    pub struct EntryStatus {
        /// Its availability zone.
        pub zone: ZoneId,
        /// Address for peers' datagrams.
        pub peer_address: SocketAddr,
        /// Address for callers and operators.
        pub caller_address: SocketAddr,
        /// Its state.
        pub state: EntryState,
        /// Version of the configuration in force at the entry.
        pub config: ConfigVersion,
        /// Time since it read the configuration head from the platform itself, in microseconds;
        /// `None` if it never did.
        pub head_age_us: Option<u64>,
        /// Whether a configuration change that it sent to the platform may still be accepted.
        pub apply_in_flight: bool,
        /// Number of entries known to it; lets two peers detect that their views differ.
        pub member_count: u32,
        /// Usage by teams at this entry; if there are many teams, each message has some of them in
        /// turn.
        pub usage: Vec<TeamUsage>,
    }

    /// State of an entry.
    #[derive(Copy, Eq, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum EntryState {
        /// It has no configuration yet.
        Starting,
        /// It accepts work.
        Ready,
        /// It accepts no new work and finishes its current work.
        Stopping,
    }

    /// Running and waiting work of one team at one entry.
    #[derive(Copy, Eq, Hash)]
    pub struct TeamUsage {
        /// The team.
        pub team: TeamId,
        /// Number of its running tasks.
        pub running: u32,
        /// Number of its waiting requests and jobs.
        pub waiting: u32,
        /// Slice of its quota allotment that the entry has, in slots.
        pub slice: u32,
    }
}
