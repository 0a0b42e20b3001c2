//! Validates a whole document before it is accepted.

use indexmap::IndexMap;
use indexmap::IndexSet;

use super::document_error::ErrorList;
use crate::ConfigDocument;
use crate::DocumentError;
use crate::KeyHash;
use crate::NumberRange;
use crate::PoolId;
use crate::SectionName;
use crate::TeamId;

const ALLOWED_TEAM: &str = "the name of a section [teams.*]";

impl ConfigDocument {
    /// Checks all sections and the references between them and returns every error.
    pub fn check(&self) -> Vec<DocumentError> {
        let mut errors = ErrorList::default();
        self.check_sections(&mut errors);
        self.check_owners(&mut errors);
        self.check_queues(&mut errors);
        self.check_pools(&mut errors);
        self.check_operators(&mut errors);
        self.check_keys(&mut errors);
        errors.into_vec()
    }

    /// Checks each section on its own, without its references to other sections.
    pub(super) fn check_ranges(&self) -> Vec<DocumentError> {
        let mut errors = ErrorList::default();
        self.check_sections(&mut errors);
        errors.into_vec()
    }

    fn check_sections(&self, errors: &mut ErrorList) {
        for (pool, section) in &self.pools {
            section.check(SectionName::Pool(*pool), errors);
        }
        for (team, section) in &self.teams {
            section.check(SectionName::Team(*team), errors);
        }
        for (queue, section) in &self.queues {
            section.check(SectionName::Queue(*queue), errors);
        }
        self.maintenance.check(SectionName::Maintenance, errors);
        self.weights.check(SectionName::Weights, errors);
    }

    fn check_owners(&self, errors: &mut ErrorList) {
        for section in self.section_names() {
            self.check_team(section, "owner", self.owner(section), errors);
        }
    }

    fn check_queues(&self, errors: &mut ErrorList) {
        for (queue, section) in &self.queues {
            let name = SectionName::Queue(*queue);
            self.check_pool(name, section.pool, errors);
            self.check_team(name, "open_team", section.open_team, errors);
            let mut seen_teams = IndexSet::new();
            for team in &section.teams {
                self.check_team(name, "teams", Some(*team), errors);
                if !seen_teams.insert(*team) {
                    errors.add(name, "teams", quoted(team.as_str()), "each team once");
                }
            }
        }
    }

    /// Checks that every pool that is not a spare has a queue; otherwise its instances would idle.
    fn check_pools(&self, errors: &mut ErrorList) {
        let used: IndexSet<PoolId> = self.queues.values().map(|queue| queue.pool).collect();
        for (pool, section) in &self.pools {
            if !section.spare && !used.contains(pool) {
                let allowed = "a queue with this pool, or spare = true";
                errors.add(SectionName::Pool(*pool), "spare", "false and no queue", allowed);
            }
        }
    }

    /// Checks that some operator has a key; otherwise the document could never be changed again.
    fn check_operators(&self, errors: &mut ErrorList) {
        if !self.teams.values().any(|team| team.operator && !team.keys.is_empty()) {
            errors.push(DocumentError {
                section: "teams".to_owned(),
                key: "operator".to_owned(),
                value: "no team that is an operator and has a key".to_owned(),
                allowed: "at least one team with operator = true and a key".to_owned(),
            });
        }
    }

    /// Checks that no two keys have the same secret.
    fn check_keys(&self, errors: &mut ErrorList) {
        let mut first_uses: IndexMap<KeyHash, String> = IndexMap::new();
        for (team, section) in &self.teams {
            let name = SectionName::Team(*team);
            for (key, hash) in &section.keys {
                let key_path = format!("keys.{key}");
                if let Some(first_use) = first_uses.get(hash) {
                    let allowed = "a secret that no other key has";
                    errors.add(name, &key_path, format!("the secret of {first_use}"), allowed);
                } else {
                    first_uses.insert(*hash, format!("{key_path} in [{name}]"));
                }
            }
        }
    }

    fn check_pool(&self, name: SectionName, pool: PoolId, errors: &mut ErrorList) {
        let found = quoted(pool.as_str());
        match self.pools.get(&pool) {
            None => errors.add(name, "pool", found, "the name of a section [pools.*]"),
            Some(section) if section.spare => {
                errors.add(name, "pool", found, "a pool without spare = true");
            }
            Some(_) => {}
        }
    }

    fn check_team(
        &self,
        name: SectionName,
        key: &str,
        team: Option<TeamId>,
        errors: &mut ErrorList,
    ) {
        if let Some(team) = team {
            if !self.teams.contains_key(&team) {
                errors.add(name, key, quoted(team.as_str()), ALLOWED_TEAM);
            }
        }
    }
}

impl ErrorList {
    /// Adds an error if `number` is outside `range`.
    pub(super) fn check_range(
        &mut self,
        section: SectionName,
        key: &str,
        number: impl Into<u64>,
        range: NumberRange,
    ) {
        let number = number.into();
        if !range.contains(number) {
            self.add(section, key, number, range);
        }
    }
}

fn quoted(text: &str) -> String {
    format!("{text:?}")
}
