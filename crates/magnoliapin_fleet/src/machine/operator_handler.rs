//! Operators' requests: those that only look are answered from a snapshot, the others become one
//! step.

use magnoliapin_model::ConfigDocument;
use magnoliapin_model::InstanceId;
use magnoliapin_model::PoolId;
use magnoliapin_model::SlotCount;
use magnoliapin_wire::InstanceView;
use magnoliapin_wire::PoolView;

use crate::budget::max_unavailable;
use crate::check_feasible;
use crate::plan;
use crate::ControlRow;
use crate::DemandHistory;
use crate::FleetSnapshot;
use crate::FleetStep;
use crate::InstanceChange;
use crate::InstanceState;
use crate::MaintenanceDeadline;
use crate::MaintenanceLoad;
use crate::MaintenanceView;
use crate::OperatorAnswer;
use crate::OperatorRequest;
use crate::PoolForecast;
use crate::RolloutRow;
use crate::RolloutStage;
use crate::StepGoal;
use crate::StepRefusal;
use crate::StepWrites;
use crate::UnixSeconds;

/// Deadlines shown to an operator.
const SHOWN_DEADLINES: usize = 20;

/// What a request comes to.
#[derive(Clone, Debug)]
pub(super) enum HandlerVerdict {
    /// It is answered.
    Answer(OperatorAnswer),
    /// It is one step to carry out.
    Step(FleetStep, Box<StepWrites>),
}

/// Everything that a request is judged by.
#[derive(Clone, Copy, Debug)]
pub(super) struct OperatorHandler<'a> {
    /// The fleet.
    pub(super) snapshot: &'a FleetSnapshot,
    /// The document in force.
    pub(super) document: &'a ConfigDocument,
    /// Slow demand.
    pub(super) demand: &'a DemandHistory,
    /// Wall-clock time.
    pub(super) wall: UnixSeconds,
}

impl OperatorHandler<'_> {
    /// Judges a request.
    pub(super) fn judge(&self, request: &OperatorRequest) -> HandlerVerdict {
        let judged = match request {
            OperatorRequest::ShowPools => {
                Ok(HandlerVerdict::Answer(OperatorAnswer::Pools(self.pool_views())))
            }
            OperatorRequest::ShowInstances => {
                Ok(HandlerVerdict::Answer(OperatorAnswer::Instances(self.instance_views())))
            }
            OperatorRequest::ShowMaintenance => {
                Ok(HandlerVerdict::Answer(OperatorAnswer::Maintenance(self.maintenance_view())))
            }
            OperatorRequest::ShowRollouts => {
                let rollouts = self.snapshot.rollouts.iter();
                let rollouts = rollouts.map(|(pool, rollout)| (*pool, rollout.row.clone()));
                Ok(HandlerVerdict::Answer(OperatorAnswer::Rollouts(rollouts.collect())))
            }
            OperatorRequest::Move { instance, pool, force, dry_run } => {
                self.judge_move(*instance, *pool, *force, *dry_run)
            }
            other => self.step_of(other).and_then(|step| self.checked(step)),
        };
        judged.unwrap_or_else(|refusal| HandlerVerdict::Answer(OperatorAnswer::Refused(refusal)))
    }

    fn checked(&self, step: FleetStep) -> Result<HandlerVerdict, StepRefusal> {
        let writes = StepWrites::new(self.snapshot, self.document, &step, self.wall)?;
        Ok(HandlerVerdict::Step(step, Box::new(writes)))
    }

    fn step_of(&self, request: &OperatorRequest) -> Result<FleetStep, StepRefusal> {
        match request {
            OperatorRequest::Drain { instance, force } => {
                let change = InstanceChange::OperatorDrain { force: *force };
                Ok(FleetStep::new(*instance, change))
            }
            OperatorRequest::Undrain { instance } => {
                Ok(FleetStep::new(*instance, InstanceChange::Undrain))
            }
            OperatorRequest::PauseMaintenance { paused } => {
                Ok(FleetStep::Control(ControlRow { paused: *paused }))
            }
            OperatorRequest::StartRollout { pool } => self.start_rollout(*pool),
            OperatorRequest::PauseRollout { pool } => {
                self.change_stage(*pool, "pause", RolloutStage::Paused, RolloutRow::is_active)
            }
            OperatorRequest::ResumeRollout { pool } => {
                let stage = self.rollout(*pool, "resume")?.resume_stage;
                self.change_stage(*pool, "resume", stage, |row| {
                    matches!(row.stage, RolloutStage::Paused | RolloutStage::Halted)
                })
            }
            OperatorRequest::RollBack { pool } => {
                self.change_stage(*pool, "roll back", RolloutStage::RollingBack, |row| {
                    row.stage != RolloutStage::RollingBack && !row.previous_image.is_empty()
                })
            }
            OperatorRequest::Move { .. }
            | OperatorRequest::ShowPools
            | OperatorRequest::ShowInstances
            | OperatorRequest::ShowMaintenance
            | OperatorRequest::ShowRollouts => {
                debug_assert!(false, "judged elsewhere");
                Err(StepRefusal::Conflict)
            }
        }
    }

    fn judge_move(
        &self,
        instance: InstanceId,
        pool: PoolId,
        force: bool,
        dry_run: bool,
    ) -> Result<HandlerVerdict, StepRefusal> {
        let goal = StepGoal::Move { pool };
        let step = FleetStep::new(instance, InstanceChange::Drain { goal, force });
        let writes = StepWrites::new(self.snapshot, self.document, &step, self.wall)?;
        self.check_room(pool)?;
        if !dry_run {
            return Ok(HandlerVerdict::Step(step, Box::new(writes)));
        }
        let from = self.snapshot.row(instance).map(|row| row.pool);
        let mut pools: Vec<PoolForecast> =
            from.iter().map(|from| self.forecast(*from, -1)).collect();
        pools.push(self.forecast(pool, 1));
        Ok(HandlerVerdict::Answer(OperatorAnswer::Forecast { step, pools }))
    }

    /// Checks that the receiving pool can count one more joining instance.
    fn check_room(&self, pool: PoolId) -> Result<(), StepRefusal> {
        let unavailable = self.snapshot.pool(pool).row.unavailable;
        let max_unavailable = max_unavailable(self.document, pool);
        if unavailable.total() >= max_unavailable {
            return Err(StepRefusal::Budget { pool, unavailable, max_unavailable });
        }
        Ok(())
    }

    fn forecast(&self, pool: PoolId, change: i32) -> PoolForecast {
        let now = self.snapshot.pool(pool).row;
        let members_after = now.members.saturating_add_signed(change);
        PoolForecast {
            pool,
            now,
            members_after,
            max_unavailable: max_unavailable(self.document, pool),
        }
    }

    fn rollout(&self, pool: PoolId, step: &str) -> Result<&RolloutRow, StepRefusal> {
        let rollout = self.snapshot.rollouts.get(&pool).map(|rollout| &rollout.row);
        rollout.ok_or(StepRefusal::Stage { pool, stage: None, step: step.to_owned() })
    }

    fn change_stage(
        &self,
        pool: PoolId,
        step: &str,
        stage: RolloutStage,
        allowed: impl Fn(&RolloutRow) -> bool,
    ) -> Result<FleetStep, StepRefusal> {
        let row = self.rollout(pool, step)?;
        if !allowed(row) {
            let (stage, step) = (Some(row.stage), step.to_owned());
            return Err(StepRefusal::Stage { pool, stage, step });
        }
        Ok(FleetStep::Rollout { pool, row: row.with_stage(stage, self.wall) })
    }

    fn start_rollout(&self, pool: PoolId) -> Result<FleetStep, StepRefusal> {
        let section = self.document.pools.get(&pool).ok_or(StepRefusal::NoPool(pool))?;
        let last = self.snapshot.rollouts.get(&pool).map(|rollout| &rollout.row);
        let refused = |stage| {
            Err(StepRefusal::Stage { pool, stage, step: "start another roll-out".to_owned() })
        };
        if let Some(last) = last.filter(|last| last.stage != RolloutStage::Done) {
            return refused(Some(last.stage));
        }
        let mut members = self.snapshot.members(pool);
        let old = members.find(|(_, _, row)| row.image != section.image);
        let Some((_, _, old)) = old.filter(|_| !section.image.is_empty()) else {
            return Err(StepRefusal::Image { pool, document: section.image.clone() });
        };
        let row = RolloutRow::new(section.image.clone(), old.image.clone(), self.wall);
        Ok(FleetStep::Rollout { pool, row })
    }

    fn pool_views(&self) -> Vec<PoolView> {
        let pools = self.document.pools.iter().map(|(pool, section)| {
            let row = self.snapshot.pool(*pool).row;
            let serving = self.snapshot.members(*pool);
            let serving = serving.filter(|(_, _, row)| row.state == InstanceState::Serving);
            let records = serving.filter_map(|(_, facts, _)| facts.record.as_ref());
            PoolView {
                pool: *pool,
                instances: row.members,
                unavailable: row.unavailable.total(),
                max_unavailable: section.max_unavailable,
                slots: SlotCount(records.map(|record| record.slots.0).sum()),
            }
        });
        pools.collect()
    }

    fn instance_views(&self) -> Vec<InstanceView> {
        let instances = self.snapshot.rows().map(|(instance, _, row)| InstanceView {
            instance,
            pool: Some(row.pool),
            zone: row.zone,
            rack: row.rack,
            state: row.state.to_string(),
            image: row.image.clone(),
        });
        instances.collect()
    }

    fn maintenance_view(&self) -> MaintenanceView {
        let period_seconds = u64::from(self.document.maintenance.period_hours) * 3_600;
        let mut deadlines: Vec<MaintenanceDeadline> = self
            .snapshot
            .rows()
            .map(|(instance, _, row)| {
                let deadline = row.maintained_at.after(period_seconds);
                MaintenanceDeadline { instance, deadline }
            })
            .collect();
        deadlines.sort_by_key(|deadline| (deadline.deadline, deadline.instance));
        deadlines.truncate(SHOWN_DEADLINES);
        MaintenanceView {
            paused: self.document.maintenance.paused || self.snapshot.control.row.paused,
            total_seconds: MaintenanceLoad::new(self.document, self.snapshot).total_seconds(),
            period_seconds,
            infeasible: check_feasible(self.document, self.snapshot).err(),
            steps: plan(self.snapshot, self.document, self.demand, self.wall),
            deadlines,
        }
    }
}
