//! Which teams may change a section.

use std::fmt;

use crate::ConfigDocument;
use crate::SectionName;
use crate::TeamId;

/// Error for a team that may not change a section.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotOwner {
    /// Section that the team may not change.
    pub section: SectionName,
    /// Team that may change it; `None` if every operator team may.
    pub owner: Option<TeamId>,
}

impl fmt::Display for NotOwner {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.owner {
            Some(owner) => {
                write!(formatter, "section [{}] may be changed by team {owner} only", self.section)
            }
            None => {
                write!(formatter, "section [{}] may be changed by operators only", self.section)
            }
        }
    }
}

impl std::error::Error for NotOwner {}

impl ConfigDocument {
    /// Returns the team that a section names as its owner, if any.
    pub fn owner(&self, section: SectionName) -> Option<TeamId> {
        match section {
            SectionName::Pool(pool) => self.pools.get(&pool)?.owner,
            SectionName::Team(team) => self.teams.get(&team)?.owner,
            SectionName::Queue(queue) => self.queues.get(&queue)?.owner,
            SectionName::Maintenance => self.maintenance.owner,
            SectionName::Weights => self.weights.owner,
        }
    }

    /// Checks whether `team` may change, add or remove `section` of this document.
    ///
    /// Only its owner may change a section that has one; operator teams may change every other
    /// section. An owner without keys is ignored, because otherwise no team could change its
    /// sections again.
    ///
    /// # Errors
    ///
    /// Returns [`NotOwner`] if `team` may not change the section.
    pub fn may_change(&self, team: TeamId, section: SectionName) -> Result<(), NotOwner> {
        let owner = self.owner(section).filter(|owner| self.has_key(*owner));
        let is_allowed = match owner {
            Some(owner) => owner == team,
            None => self.teams.get(&team).is_some_and(|team| team.operator),
        };
        if is_allowed {
            Ok(())
        } else {
            Err(NotOwner { section, owner })
        }
    }

    fn has_key(&self, team: TeamId) -> bool {
        self.teams.get(&team).is_some_and(|team| !team.keys.is_empty())
    }
}
