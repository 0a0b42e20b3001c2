//! Transitions of instance rows.

use magnoliapin_model::ConfigDocument;
use magnoliapin_model::InstanceId;
use magnoliapin_model::PoolId;
use magnoliapin_wire::InstanceRecord;
use magnoliapin_wire::ListedState;

use crate::InstanceChange;
use crate::InstanceRow;
use crate::InstanceState;
use crate::InstanceStatus;
use crate::StepGoal;
use crate::StepRefusal;
use crate::UnixSeconds;

/// State machine of an instance: the changes that its state allows, and the rows that follow.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InstanceTransition<'a> {
    /// The document in force.
    pub(crate) document: &'a ConfigDocument,
    /// The instance.
    pub(crate) instance: InstanceId,
    /// Its row, platform record, load and health.
    pub(crate) status: &'a InstanceStatus,
    /// Wall-clock time.
    pub(crate) now: UnixSeconds,
}

impl InstanceTransition<'_> {
    /// Returns the row after `change`, or `None` if the row is deleted.
    ///
    /// # Errors
    ///
    /// Returns a [`StepRefusal`] if the present state does not allow the change.
    pub(crate) fn next_row(
        &self,
        change: &InstanceChange,
    ) -> Result<Option<InstanceRow>, StepRefusal> {
        if let InstanceChange::Adopt { pool } = change {
            return self.adopted_row(*pool).map(Some);
        }
        let row = self.row()?;
        let allowed = self.allows(row, change);
        if !allowed {
            return Err(self.state_refusal(row, change));
        }
        match change {
            InstanceChange::Retire => Ok(None),
            InstanceChange::Adopt { .. } => Err(self.state_refusal(row, change)),
            InstanceChange::Drain { goal, force } => {
                self.check_goal(row, goal)?;
                Ok(Some(self.draining_row(row, goal.clone(), *force)))
            }
            InstanceChange::GiveUp | InstanceChange::Serve => Ok(Some(self.row_without_step(row))),
            InstanceChange::Reboot => Ok(Some(self.with_state(row, InstanceState::Rebooting))),
            InstanceChange::Move => Ok(Some(self.with_state(row, InstanceState::Moving))),
            InstanceChange::Join => self.joining_row(row).map(Some),
            InstanceChange::Fail => Ok(Some(self.out_of_service_row(row, InstanceState::Failed))),
            InstanceChange::Quarantine => {
                Ok(Some(self.out_of_service_row(row, InstanceState::Quarantined)))
            }
            InstanceChange::Recover | InstanceChange::Release => self.refreshed_row(row).map(Some),
            InstanceChange::OperatorDrain { force } => {
                Ok(Some(self.operator_drained_row(row, *force)))
            }
            InstanceChange::Undrain => {
                let row = InstanceRow { drain: false, force: false, ..row.clone() };
                Ok(Some(if row.state == InstanceState::Draining {
                    self.row_without_step(&row)
                } else {
                    row
                }))
            }
        }
    }

    fn allows(&self, row: &InstanceRow, change: &InstanceChange) -> bool {
        use InstanceState::Draining;
        use InstanceState::Failed;
        use InstanceState::Joining;
        use InstanceState::Moving;
        use InstanceState::Quarantined;
        use InstanceState::Rebooting;
        use InstanceState::Serving;
        let state = row.state;
        match change {
            InstanceChange::Adopt { .. } => false,
            InstanceChange::Retire => self.status.listed_state() == Some(ListedState::Gone),
            InstanceChange::Drain { .. } => state == Serving && !row.drain,
            InstanceChange::GiveUp => matches!(state, Draining | Moving) && row.goal.is_some(),
            InstanceChange::Reboot => {
                state == Draining && row.goal.is_some() && !row.is_moving() && self.may_proceed(row)
            }
            InstanceChange::Move => state == Draining && row.is_moving() && self.may_proceed(row),
            InstanceChange::Join => {
                state == Moving || (state == Rebooting && self.has_rebooted(row))
            }
            InstanceChange::Serve => state == Joining && self.status.accepts_work(),
            InstanceChange::Fail => state != Failed && state != Quarantined,
            InstanceChange::Recover => state == Failed && self.status.is_listed_live(),
            InstanceChange::Quarantine => matches!(state, Serving | Draining),
            InstanceChange::Release => state == Quarantined,
            InstanceChange::OperatorDrain { .. } => {
                matches!(state, Serving | Draining | Failed | Quarantined)
            }
            InstanceChange::Undrain => row.drain,
        }
    }

    fn row(&self) -> Result<&InstanceRow, StepRefusal> {
        let row = self.status.row.as_ref().ok_or(StepRefusal::NoInstance(self.instance))?;
        Ok(&row.row)
    }

    fn record(&self) -> Result<&InstanceRecord, StepRefusal> {
        self.status.record.as_ref().ok_or(StepRefusal::NotListed(self.instance))
    }

    /// Returns whether a draining instance is idle, or its drain is forced and past the time limit.
    fn may_proceed(&self, row: &InstanceRow) -> bool {
        let limit_seconds = u64::from(self.document.maintenance.drain_seconds);
        let is_past_limit = self.now.since(row.changed_at) >= limit_seconds;
        self.status.is_idle() || (row.force && is_past_limit)
    }

    fn has_rebooted(&self, row: &InstanceRow) -> bool {
        let Some(StepGoal::Reboot { image }) = &row.goal else { return false };
        self.status.record.as_ref().is_some_and(|record| {
            record.run != row.run && record.image == *image && record.state == ListedState::Live
        })
    }

    fn check_goal(&self, row: &InstanceRow, goal: &StepGoal) -> Result<(), StepRefusal> {
        let record = self.record()?;
        if record.state != ListedState::Live {
            return Err(StepRefusal::NotListed(self.instance));
        }
        match goal {
            StepGoal::Move { pool } if *pool == row.pool => Err(StepRefusal::SamePool(*pool)),
            StepGoal::Move { pool } if !self.document.pools.contains_key(pool) => {
                Err(StepRefusal::NoPool(*pool))
            }
            StepGoal::Move { .. } | StepGoal::Reboot { .. } => Ok(()),
        }
    }

    fn adopted_row(&self, pool: PoolId) -> Result<InstanceRow, StepRefusal> {
        let record = self.record()?;
        if record.state != ListedState::Live || self.status.row.is_some() {
            return Err(StepRefusal::NotListed(self.instance));
        }
        Ok(InstanceRow {
            pool,
            zone: record.zone,
            rack: record.rack,
            state: InstanceState::Serving,
            image: record.image.clone(),
            run: record.run,
            maintained_at: self.now,
            changed_at: self.now,
            drain: false,
            force: false,
            goal: None,
        })
    }

    fn draining_row(&self, row: &InstanceRow, goal: StepGoal, force: bool) -> InstanceRow {
        let run = self.status.record.as_ref().map_or(row.run, |record| record.run);
        let row = InstanceRow { run, force, goal: Some(goal), ..row.clone() };
        self.with_state(&row, InstanceState::Draining)
    }

    fn joining_row(&self, row: &InstanceRow) -> Result<InstanceRow, StepRefusal> {
        let mut next = self.with_state(row, InstanceState::Joining);
        match &row.goal {
            Some(StepGoal::Move { pool }) => next.pool = *pool,
            Some(StepGoal::Reboot { .. }) | None => {
                let record = self.record()?;
                next.run = record.run;
                next.image.clone_from(&record.image);
                next.maintained_at = self.now;
            }
        }
        Ok(next)
    }

    /// Returns the row without a planned step: draining if an operator requested it, else serving.
    fn row_without_step(&self, row: &InstanceRow) -> InstanceRow {
        let state = if row.drain { InstanceState::Draining } else { InstanceState::Serving };
        let row = InstanceRow { goal: None, force: row.drain && row.force, ..row.clone() };
        self.with_state(&row, state)
    }

    fn operator_drained_row(&self, row: &InstanceRow, force: bool) -> InstanceRow {
        let row = InstanceRow { drain: true, force, goal: None, ..row.clone() };
        if matches!(row.state, InstanceState::Serving | InstanceState::Draining) {
            self.with_state(&row, InstanceState::Draining)
        } else {
            row
        }
    }

    fn out_of_service_row(&self, row: &InstanceRow, state: InstanceState) -> InstanceRow {
        let row = InstanceRow { goal: None, force: row.drain && row.force, ..row.clone() };
        self.with_state(&row, state)
    }

    fn refreshed_row(&self, row: &InstanceRow) -> Result<InstanceRow, StepRefusal> {
        let record = self.record()?;
        let mut next = self.row_without_step(row);
        next.run = record.run;
        next.image.clone_from(&record.image);
        Ok(next)
    }

    fn with_state(&self, row: &InstanceRow, state: InstanceState) -> InstanceRow {
        InstanceRow { state, changed_at: self.now, ..row.clone() }
    }

    fn state_refusal(&self, row: &InstanceRow, change: &InstanceChange) -> StepRefusal {
        let step = change.name().to_owned();
        StepRefusal::State { instance: self.instance, state: row.state, step }
    }
}
