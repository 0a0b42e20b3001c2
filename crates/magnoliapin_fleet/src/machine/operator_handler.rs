//! Handles operator requests: queries are answered from a snapshot, other requests become one step.

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

/// Number of maintenance deadlines shown to an operator.
const MAX_SHOWN_DEADLINES: usize = 20;

/// How to handle a request.
#[derive(Clone, Debug)]
pub(super) enum RequestDecision {
    /// Send this answer.
    Answer(OperatorAnswer),
    /// Carry out this step with these writes.
    Step(FleetStep, Box<StepWrites>),
}

/// Decides operator requests from one state of the fleet.
#[derive(Clone, Copy, Debug)]
pub(super) struct OperatorHandler<'a> {
    /// The fleet.
    pub(super) snapshot: &'a FleetSnapshot,
    /// The configuration in force.
    pub(super) document: &'a ConfigDocument,
    /// Averaged demand of the queues.
    pub(super) demand: &'a DemandHistory,
    /// Wall-clock time.
    pub(super) wall: UnixSeconds,
}

impl OperatorHandler<'_> {
    /// Returns how to handle a request.
    pub(super) fn decide(&self, request: &OperatorRequest) -> RequestDecision {
        let decision = match request {
            OperatorRequest::ShowPools => {
                Ok(RequestDecision::Answer(OperatorAnswer::Pools(self.pool_views())))
            }
            OperatorRequest::ShowInstances => {
                Ok(RequestDecision::Answer(OperatorAnswer::Instances(self.instance_views())))
            }
            OperatorRequest::ShowMaintenance => {
                Ok(RequestDecision::Answer(OperatorAnswer::Maintenance(self.maintenance_view())))
            }
            OperatorRequest::ShowRollouts => {
                let rollouts = self.snapshot.rollouts.iter();
                let rollouts = rollouts.map(|(pool, rollout)| (*pool, rollout.row.clone()));
                Ok(RequestDecision::Answer(OperatorAnswer::Rollouts(rollouts.collect())))
            }
            OperatorRequest::Move { instance, pool, force, dry_run } => {
                self.decide_move(*instance, *pool, *force, *dry_run)
            }
            step_request => self.step_for(step_request).and_then(|step| self.check_step(step)),
        };
        decision.unwrap_or_else(|refusal| RequestDecision::Answer(OperatorAnswer::Refused(refusal)))
    }

    fn check_step(&self, step: FleetStep) -> Result<RequestDecision, StepRefusal> {
        let writes = StepWrites::new(self.snapshot, self.document, &step, self.wall)?;
        Ok(RequestDecision::Step(step, Box::new(writes)))
    }

    fn step_for(&self, request: &OperatorRequest) -> Result<FleetStep, StepRefusal> {
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
                debug_assert!(false, "handled by `decide`");
                Err(StepRefusal::Conflict)
            }
        }
    }

    fn decide_move(
        &self,
        instance: InstanceId,
        pool: PoolId,
        force: bool,
        dry_run: bool,
    ) -> Result<RequestDecision, StepRefusal> {
        let goal = StepGoal::Move { pool };
        let step = FleetStep::new(instance, InstanceChange::Drain { goal, force });
        let writes = StepWrites::new(self.snapshot, self.document, &step, self.wall)?;
        self.check_budget(pool)?;
        if !dry_run {
            return Ok(RequestDecision::Step(step, Box::new(writes)));
        }
        let from = self.snapshot.row(instance).map(|row| row.pool);
        let mut pools: Vec<PoolForecast> =
            from.iter().map(|from| self.forecast(*from, -1)).collect();
        pools.push(self.forecast(pool, 1));
        Ok(RequestDecision::Answer(OperatorAnswer::Forecast { step, pools }))
    }

    /// Checks that the budget of the destination pool allows one more unavailable instance, as an
    /// instance is unavailable while it joins.
    fn check_budget(&self, pool: PoolId) -> Result<(), StepRefusal> {
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
        let previous = self.snapshot.rollouts.get(&pool).map(|rollout| &rollout.row);
        let refused = |stage| {
            Err(StepRefusal::Stage { pool, stage, step: "start another roll-out".to_owned() })
        };
        if let Some(previous) = previous.filter(|previous| previous.stage != RolloutStage::Done) {
            return refused(Some(previous.stage));
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
            let records = serving.filter_map(|(_, status, _)| status.record.as_ref());
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
        deadlines.truncate(MAX_SHOWN_DEADLINES);
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
