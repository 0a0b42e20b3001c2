//! Sizes of the jobs that have not finished, and of those that wait to be stored.

use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_model::ByteSize;
use magnoliapin_model::Moment;
use magnoliapin_site::TeamName;

use crate::decisions::job_admission::JobBudget;
use crate::job_size::JobSize;

/// Time for which the smallest memory counts that the previous leader has published. Within it, the
/// nodes tell this leader theirs.
const INHERITED_VALIDITY: Duration = Duration::from_secs(60);

/// Sizes of jobs by team, and the memory of the smallest machine.
#[derive(Debug)]
pub(crate) struct JobLedger {
    /// Size of the jobs of each team; `None` stands for jobs without a key.
    teams: IndexMap<Option<TeamName>, JobSize>,
    taken: JobSize,
    /// Smallest memory of this node and those that have told theirs.
    announced_memory: ByteSize,
    inherited_memory: Option<ByteSize>,
    inherited_until: Moment,
}

impl JobLedger {
    /// Creates the ledger of a new leader with this memory.
    pub(crate) fn new(own_memory: ByteSize, inherited: Option<ByteSize>, now: Moment) -> Self {
        Self {
            teams: IndexMap::new(),
            taken: JobSize::default(),
            announced_memory: own_memory,
            inherited_memory: inherited,
            inherited_until: now + INHERITED_VALIDITY,
        }
    }

    /// Records the memory of another node.
    pub(crate) fn record_memory(&mut self, memory: ByteSize) {
        if memory > ByteSize(0) {
            self.announced_memory = self.announced_memory.min(memory);
        }
    }

    /// Returns the memory of the smallest machine.
    pub(crate) fn smallest_memory(&self, now: Moment) -> ByteSize {
        let inherited = self.inherited_memory.filter(|_| now < self.inherited_until);
        inherited.map_or(self.announced_memory, |memory| memory.min(self.announced_memory))
    }

    /// Returns whether another job of a team may be accepted.
    pub(crate) fn admits(&self, team: Option<&TeamName>, size: JobSize, now: Moment) -> bool {
        let budget = JobBudget::new(self.smallest_memory(now));
        let of_team = self.teams.get(&team.cloned()).copied().unwrap_or_default();
        budget.admits(size, of_team, self.taken)
    }

    /// Adds a job.
    pub(crate) fn add(&mut self, team: Option<&TeamName>, size: JobSize) {
        self.teams.entry(team.cloned()).or_default().add(size);
        self.taken.add(size);
    }

    /// Removes a job.
    pub(crate) fn remove(&mut self, team: Option<&TeamName>, size: JobSize) {
        self.taken.subtract(size);
        let team = team.cloned();
        if let Some(of_team) = self.teams.get_mut(&team) {
            of_team.subtract(size);
            if *of_team == JobSize::default() {
                self.teams.swap_remove(&team);
            }
        }
    }
}
