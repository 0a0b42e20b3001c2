//! Datagrams between entries.
//!
//! Each datagram is a postcard-encoded [`PeerEnvelope`] behind a keyed hash, see
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
        /// Receiver; none if the sender does not know it yet.
        pub to: Option<EntryId>,
        /// Number of the message at its sender; only rises, so that replays are dropped.
        pub sequence: u64,
        /// Sender's clock for the time line.
        pub stamp: HybridStamp,
        /// The message.
        pub message: PeerMessage,
    }

    /// A message between two entries.
    pub enum PeerMessage {
        /// Tells what the sender knows and asks for the same.
        Probe {
            /// Sender's clock; comes back in the reply.
            stamp: Moment,
            /// What the sender knows.
            facts: EntryFacts,
        },
        /// Answers a probe.
        Reply {
            /// Stamp of the probe.
            stamp: Moment,
            /// What the replier knows.
            facts: EntryFacts,
        },
        /// Tells that the sender found a target leaving.
        TargetLeaving(InstanceId),
        /// Tells that a part of a team's allotment was moved to the receiver.
        PartMoved(TeamId),
        /// Asks for what changed in the configuration since the sender's version.
        AskConfig {
            /// Version that the sender has in force.
            known: ConfigVersion,
        },
        /// Tells the configuration in force at the sender.
        TellConfig(ConfigNews),
    }

    /// What changed in the configuration since a version.
    pub struct ConfigNews {
        /// Version that the news starts from.
        pub since: ConfigVersion,
        /// Head of the configuration.
        pub head: ConfigHead,
        /// Version of the head's row.
        pub head_row: RowVersion,
        /// Each section that changed; a section without text was removed.
        pub sections: IndexMap<SectionName, Option<String>>,
    }

    /// What an entry says of itself and of what it knows.
    pub struct EntryFacts {
        /// Its availability zone.
        pub zone: ZoneId,
        /// Address for peers' datagrams.
        pub peer_address: SocketAddr,
        /// Address for callers and operators.
        pub caller_address: SocketAddr,
        /// Its state.
        pub state: EntryState,
        /// Version of the configuration that it has in force.
        pub config: ConfigVersion,
        /// Microseconds since it read the platform's head itself; none if it never did.
        pub head_age_us: Option<u64>,
        /// Whether a change of the configuration that it sent may still be accepted.
        pub apply_in_flight: bool,
        /// Entries that it knows, so that the two can find that their views differ.
        pub member_count: u32,
        /// Slots that teams use and want here; only some teams, in turn, if there are many.
        pub usage: Vec<TeamUsage>,
    }

    /// State of an entry.
    #[derive(Copy, Eq, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum EntryState {
        /// It has no configuration yet.
        Starting,
        /// It takes work.
        Ready,
        /// It takes no new work and finishes what it has.
        Stopping,
    }

    /// What one team uses and wants at one entry.
    #[derive(Copy, Eq, Hash)]
    pub struct TeamUsage {
        /// The team.
        pub team: TeamId,
        /// Its tasks that run.
        pub running: u32,
        /// Its work that waits.
        pub waiting: u32,
        /// The part of its allotment that the entry holds.
        pub part: u32,
    }
}
