//! What a node knows about the room for jobs, so that it refuses what the leader would refuse.

use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_model::ByteSize;
use magnoliapin_model::Moment;
use magnoliapin_site::TeamName;
use rand::Rng;

use crate::job_size::JobSize;
use crate::outbox::Outbox;

/// Share of the memory that the jobs may take in the next leader which this node stores while it
/// knows no leader.
const DIRECT_SHARE: u64 = 64;
/// Time for which a node refuses the jobs of a team by itself after the leader has refused one.
const CLOSED_TIME: Duration = Duration::from_millis(1_000);
/// Range of the delay after which a client may return, in milliseconds. It is spread, so that the
/// clients of a crowd do not return at the same time.
const RETURN_DELAY_MS: (u64, u64) = (1_000, 4_000);

/// What a node knows about the room for jobs.
#[derive(Debug)]
pub(super) struct ClientAdmission {
    /// Teams of which the leader has refused a job of this size, and until when this node does the same.
    closed_until: IndexMap<Option<TeamName>, (Moment, JobSize)>,
    /// Memory of the jobs that this node has stored since a leader last took one.
    direct_memory: ByteSize,
    direct_limit: ByteSize,
}

impl ClientAdmission {
    /// Creates the state of a node with this memory.
    pub(super) fn new(memory: ByteSize) -> Self {
        Self {
            closed_until: IndexMap::new(),
            direct_memory: ByteSize::default(),
            direct_limit: ByteSize(memory.0 / DIRECT_SHARE),
        }
    }

    /// Records that the leader has refused a job of a team for lack of room.
    pub(super) fn record_full(&mut self, team: Option<TeamName>, size: JobSize, now: Moment) {
        self.closed_until.retain(|_, (until, _)| *until > now);
        self.closed_until.insert(team, (now + CLOSED_TIME, size));
    }

    /// Records that a leader has accepted a job, so it knows all jobs that are stored.
    pub(super) fn record_accepted(&mut self) {
        self.direct_memory = ByteSize::default();
    }

    /// Records a job that this node has stored without the leader.
    pub(super) fn record_direct(&mut self, size: JobSize) {
        self.direct_memory.0 += size.memory.0;
    }

    /// Returns whether a leader has recently refused a job of the team that is not larger.
    pub(super) fn is_closed(&self, team: Option<&TeamName>, size: JobSize, now: Moment) -> bool {
        let closed = self.closed_until.get(&team.cloned());
        closed.is_some_and(|(until, refused)| {
            *until > now && size.memory >= refused.memory && size.input >= refused.input
        })
    }

    /// Returns whether this node has stored as much without a leader as it may.
    pub(super) fn is_direct_full(&self) -> bool {
        self.direct_memory >= self.direct_limit
    }

    /// Returns a delay after which a client may return.
    pub(super) fn return_delay(out: &mut Outbox) -> Duration {
        Duration::from_millis(out.random.random_range(RETURN_DELAY_MS.0..RETURN_DELAY_MS.1))
    }
}
