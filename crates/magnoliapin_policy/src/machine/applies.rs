//! Changes of the configuration, checked section by section and committed by a compare-and-set on
//! the row of the configuration's head.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use magnoliapin_model::ConfigDocument;
use magnoliapin_model::ConfigVersion;
use magnoliapin_model::ErrorKind;
use magnoliapin_model::KeyHash;
use magnoliapin_model::Moment;
use magnoliapin_model::SectionName;
use magnoliapin_model::TeamId;
use magnoliapin_wire::rows::ConfigHead;
use magnoliapin_wire::rows::RowKey;
use magnoliapin_wire::rows::RowValue;
use magnoliapin_wire::rows::SectionRow;
use magnoliapin_wire::CallerAnswer;
use magnoliapin_wire::ConfigChange;
use magnoliapin_wire::RefusalView;

use crate::allotment::TeamQuota;
use crate::commit::ChangeOutcome;
use crate::commit::ChangeTag;
use crate::commit::RowChange;
use crate::machine::jobs::first_version;
use crate::CallId;
use crate::EntryMachine;

/// Longest time until an operator's change is answered.
const APPLY_TIMEOUT: Duration = Duration::from_secs(5);

/// A change of the configuration that an operator requested.
#[derive(Debug)]
pub(crate) struct PendingApply {
    /// Call of the operator; `None` once it was answered while the commit is still in flight.
    call: Option<CallId>,
    /// Team of the operator; `None` for the first document.
    team: Option<TeamId>,
    change: ConfigChange,
    deadline: Moment,
    /// The configuration that results from the change, while it is being committed.
    in_flight: Option<NextConfig>,
}

#[derive(Clone, Debug)]
struct NextConfig {
    head: ConfigHead,
    sections: IndexMap<SectionName, String>,
    /// Teams whose limits are lowered; their quota allotments must not change in the meantime.
    lowered: Vec<TeamId>,
}

impl EntryMachine {
    /// Returns whether a change that this entry sent may still be committed.
    pub(crate) fn has_apply_in_flight(&self) -> bool {
        self.pending_applies.iter().any(|apply| apply.in_flight.is_some())
    }

    pub(crate) fn admit_apply(&mut self, call: CallId, key: Option<KeyHash>, change: ConfigChange) {
        if self.membership.is_stopping() || !self.config.is_loaded() {
            self.out.refuse(
                call,
                ErrorKind::NotReady,
                "this entry is stopping or has not read the configuration yet",
            );
            return;
        }
        let is_first = self.config.version == ConfigVersion(0);
        let team = match key {
            _ if is_first => None,
            key => match self.operator_team(key) {
                Ok(team) => Some(team),
                Err(error) => {
                    self.reject(call, error);
                    return;
                }
            },
        };
        let deadline = self.out.now + APPLY_TIMEOUT;
        self.pending_applies.push(PendingApply {
            call: Some(call),
            team,
            change,
            deadline,
            in_flight: None,
        });
    }

    /// Sends the next change. Only one is in flight at a time, so that each is based on the
    /// previous one.
    pub(crate) fn advance_applies(&mut self) {
        let is_allowed = self.membership.is_registered()
            && self.config.is_fresh(self.out.now, &self.times)
            && self.peers.all_replied(self.out.now, &self.times);
        if !is_allowed || self.has_apply_in_flight() {
            return;
        }
        while let Some(index) = self.pending_applies.iter().position(|apply| apply.call.is_some()) {
            match self.next_config(&self.pending_applies[index]) {
                Ok(Some(next)) => {
                    self.send_apply(index, next);
                    return;
                }
                Ok(None) => {
                    let version = self.config.version;
                    self.finish_apply(
                        index,
                        CallerAnswer::Applied { version, warnings: Vec::new() },
                    );
                }
                Err(refusal) => self.finish_apply(index, CallerAnswer::Refused(*refusal)),
            }
        }
    }

    fn finish_apply(&mut self, index: usize, answer: CallerAnswer) {
        let apply = self.pending_applies.remove(index);
        if let Some(call) = apply.call {
            self.out.answer(call, answer);
        }
    }

    /// Returns the configuration that results from a change, or `None` if it changes nothing.
    fn next_config(&self, apply: &PendingApply) -> Result<Option<NextConfig>, Box<RefusalView>> {
        let changes = self.effective_changes(&apply.change);
        if changes.is_empty() {
            return Ok(None);
        }
        self.check_base(&apply.change, &changes)?;
        self.check_owners(apply.team, &changes)?;
        let mut sections = self.config.sections.clone();
        for (name, text) in &changes {
            match text {
                Some(text) => sections.insert(*name, text.clone()),
                None => sections.shift_remove(name),
            };
        }
        let document = ConfigDocument::from_sections(&sections).map_err(|errors| {
            let mut refusal = RefusalView::new(ErrorKind::BadDocument, "the document has errors");
            refusal.errors = errors;
            Box::new(refusal)
        })?;
        self.check_limits(&document)?;
        let mut head = self.config.head.clone();
        head.record(&changes.keys().copied().collect::<Vec<_>>());
        let lowered = self.lowered_teams(&document);
        Ok(Some(NextConfig { head, sections, lowered }))
    }

    /// Returns the teams whose limits a document lowers.
    fn lowered_teams(&self, document: &ConfigDocument) -> Vec<TeamId> {
        let is_lower = |team: &TeamId, old: u32| {
            document.teams.get(team).map_or(0, |section| section.limit.0) < old
        };
        let teams = self.config.document.teams.iter();
        let lowered = teams.filter(|(team, section)| is_lower(team, section.limit.0));
        lowered.map(|(team, _)| *team).collect()
    }

    /// Checks that lowered limits hold even on disconnected entries, which may use half of their
    /// quota slices before they receive the new limits.
    fn check_limits(&self, document: &ConfigDocument) -> Result<(), Box<RefusalView>> {
        for team in self.lowered_teams(document) {
            let limit = document.teams.get(&team).map_or(0, |section| section.limit.0);
            let quota = self.allotments.quotas.get(&team);
            let lowest = quota.map_or(0, TeamQuota::lowest_limit);
            if limit < lowest {
                let message = format!(
                    "team {team} cannot be limited to {limit} at once: entries that are cut \
                     off may keep half of their quota slices, {lowest} slots in total; lower the \
                     limit to {lowest} first, and further when the slices have been returned"
                );
                return Err(Box::new(RefusalView::new(ErrorKind::BudgetExceeded, message)));
            }
        }
        Ok(())
    }

    /// Returns the sections whose text differs from the one in force; `None` removes a section.
    fn effective_changes(&self, change: &ConfigChange) -> IndexMap<SectionName, Option<String>> {
        let mut changes = change.sections.clone();
        if change.whole {
            for name in self.config.sections.keys() {
                changes.entry(*name).or_insert(None);
            }
        }
        changes.retain(|name, text| self.config.sections.get(name) != text.as_ref());
        changes
    }

    /// Checks that none of the sections changed after the version that the change is based on.
    fn check_base(
        &self,
        change: &ConfigChange,
        changes: &IndexMap<SectionName, Option<String>>,
    ) -> Result<(), Box<RefusalView>> {
        let Some(base) = change.base else { return Ok(()) };
        let is_newer = |name: &&SectionName| {
            self.config.changed_at.get(*name).is_some_and(|version| *version > base)
        };
        let newer = changes.keys().filter(is_newer).copied().collect::<IndexSet<_>>();
        if newer.is_empty() {
            return Ok(());
        }
        let message = format!("{} sections changed after version {base}", newer.len());
        let mut refusal = RefusalView::new(ErrorKind::Conflict, message);
        let current = |name: SectionName| (name, self.config.sections.get(&name).cloned());
        refusal.current = newer.into_iter().map(current).collect();
        Err(Box::new(refusal))
    }

    fn check_owners(
        &self,
        team: Option<TeamId>,
        changes: &IndexMap<SectionName, Option<String>>,
    ) -> Result<(), Box<RefusalView>> {
        let Some(team) = team else { return Ok(()) };
        for name in changes.keys() {
            if let Err(not_owner) = self.config.document.may_change(team, *name) {
                let refusal = RefusalView::new(ErrorKind::NotAllowed, not_owner.to_string());
                return Err(Box::new(refusal));
            }
        }
        Ok(())
    }

    fn send_apply(&mut self, index: usize, next: NextConfig) {
        let version = next.head.version;
        let mut change = RowChange::new(ChangeTag::Apply)
            .with_guard(RowKey::ConfigHead, self.config.head_row_version)
            .with_write(RowKey::ConfigHead, Some(next.head.to_json()));
        let changed = next.head.recent.iter().filter(|change| change.version == version);
        for name in changed.map(|change| change.section) {
            let text = next.sections.get(&name).cloned();
            let owner = self.config.document.owner(name);
            let row = SectionRow { owner, version, text };
            change = change.with_write(RowKey::Section(name), Some(row.to_json()));
        }
        for team in &next.lowered {
            let version = self.allotments.quota(*team).version;
            change = change.with_guard(RowKey::Allotment(*team), version);
        }
        self.pending_applies[index].in_flight = Some(next);
        let change = self.guard_membership(change);
        self.control_commits.push(change);
    }

    /// Handles the outcome of the change in flight.
    pub(crate) fn handle_apply_result(&mut self, outcome: &ChangeOutcome) {
        let Some(index) = self.pending_applies.iter().position(|apply| apply.in_flight.is_some())
        else {
            return;
        };
        let in_flight = self.pending_applies[index].in_flight.take();
        match (outcome, in_flight) {
            (ChangeOutcome::Committed(versions), Some(next)) => {
                let version = next.head.version;
                self.config.apply_committed(
                    next.head,
                    first_version(versions),
                    next.sections,
                    &mut self.out,
                );
                self.finish_apply(index, CallerAnswer::Applied { version, warnings: Vec::new() });
            }
            (outcome, _) => {
                if let ChangeOutcome::Conflict(rows) = outcome {
                    self.apply_allotment_rows(rows);
                }
                if self.pending_applies[index].call.is_none() {
                    self.pending_applies.remove(index);
                }
                self.config.mark_stale();
            }
        }
    }

    /// Refuses the changes that were not committed before their deadline.
    pub(crate) fn expire_applies(&mut self) {
        let now = self.out.now;
        let due = |apply: &PendingApply| apply.deadline <= now && apply.call.is_some();
        while let Some(index) = self.pending_applies.iter().position(due) {
            self.expire_apply(index);
        }
    }

    fn expire_apply(&mut self, index: usize) {
        let is_in_flight = self.pending_applies[index].in_flight.is_some();
        let is_withdrawn = is_in_flight && self.control_commits.withdraw(ChangeTag::Apply);
        let Some(call) = self.pending_applies[index].call.take() else { return };
        if is_in_flight && !is_withdrawn {
            let message = "whether the change was accepted is not known yet";
            self.out.refuse(call, ErrorKind::PlatformUnknown, message);
        } else {
            self.pending_applies.remove(index);
            let message = "the platform's store or another entry did not answer in time";
            self.out.refuse(call, ErrorKind::PlatformDown, message);
        }
    }
}
