//! Randomised simulations of a fleet under injected faults.

use std::fmt;

use magnoliapin_fleet::check_feasible;
use magnoliapin_fleet::ControlRow;
use magnoliapin_fleet::FleetSnapshot;
use magnoliapin_fleet::InstanceState;
use magnoliapin_fleet::OperatorRequest;
use magnoliapin_fleet::RolloutStage;
use magnoliapin_model::ConfigDocument;
use magnoliapin_model::PoolId;

use crate::world::FaultRates;
use crate::world::FleetWorld;
use crate::world::SimulatedInstance;
use crate::world::STEP_MS;

/// Simulation steps in an hour of virtual time.
pub(crate) const STEPS_PER_HOUR: u64 = 3_600_000 / STEP_MS;

/// Counters of one simulation.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SoakReport {
    /// Transactions that were committed.
    pub(crate) commits: u64,
    /// Transactions that met a conflict.
    pub(crate) conflicts: u64,
    /// Operator requests that were answered.
    pub(crate) answers: usize,
}

impl fmt::Display for SoakReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} commits, {} conflicts, {} answers to operators",
            self.commits, self.conflicts, self.answers
        )
    }
}

/// Returns a document with two serving pools, a spare pool and a maintenance period of one hour.
pub(crate) fn document() -> ConfigDocument {
    let mut document = ConfigDocument::default();
    for (pool, instances, spare) in [("east", 8, false), ("west", 8, false), ("extra", 8, true)] {
        let section = document.pools.entry(PoolId::new(pool).unwrap()).or_default();
        section.instances = instances;
        section.max_unavailable = 2;
        section.spare = spare;
        section.image = "one".to_owned();
    }
    document.maintenance.period_hours = 1;
    document.maintenance.drain_seconds = 20;
    document.maintenance.max_racks = 2;
    document.maintenance.canary_seconds = 60;
    document
}

/// Returns 24 instances, four per rack, in three zones; each pool is spread over the racks.
pub(crate) fn instances() -> Vec<SimulatedInstance> {
    (0..24)
        .map(|number| {
            let pool = ["east", "west", "extra"][number % 3];
            let rack = number / 4;
            let zone = format!("zone-{}", rack / 2);
            let (instance, rack) = (format!("i-{number:02}"), format!("rack-{rack}"));
            SimulatedInstance::new(&instance, &zone, &rack, pool)
        })
        .collect()
}

/// Returns faults of entries and of the platform, without instance crashes and operator requests.
pub(crate) fn process_faults() -> FaultRates {
    FaultRates {
        lost_message: 0.05,
        entry_kill: 0.002,
        entry_pause: 0.002,
        platform_outage: 0.000_5,
        ..FaultRates::default()
    }
}

/// Returns the rates with which every kind of fault is injected.
pub(crate) fn all_faults() -> FaultRates {
    FaultRates {
        instance_crash: 0.002,
        group_crash: 0.000_2,
        operator_request: 0.02,
        quarantine_proposal: 0.002,
        ..process_faults()
    }
}

/// Simulates process faults and asserts every 2000 steps that no instance is overdue for
/// maintenance.
pub(crate) fn run_with_process_faults(seed: u64, steps: u64) -> SoakReport {
    let mut world = FleetWorld::new(seed, 4, document(), instances());
    assert_eq!(check_feasible(&world.document, &FleetSnapshot::default()), Ok(()));
    world.faults = process_faults();
    for _ in 0..steps.div_ceil(2_000) {
        world.run(2_000);
        assert_eq!(world.overdue(), Vec::new(), "at {} ms", world.now_ms);
    }
    report(&world)
}

/// Simulates every fault and changing images, then asserts that the fleet settles.
pub(crate) fn run_with_all_faults(seed: u64, steps: u64) -> SoakReport {
    let mut world = FleetWorld::new(seed, 4, document(), instances());
    world.faults = all_faults();
    for round in 0..steps.div_ceil(STEPS_PER_HOUR / 2) {
        let mut document = world.document.clone();
        let image = if round % 3 == 2 { "bad".to_owned() } else { format!("image-{round}") };
        for section in document.pools.values_mut() {
            section.image.clone_from(&image);
        }
        world.bad_image = Some("bad".to_owned());
        world.set_document(document);
        world.run(steps.min(STEPS_PER_HOUR / 2));
    }
    settle(&mut world);
    report(&world)
}

/// Stops all faults, reverts what operators did and asserts that the fleet then settles by itself.
fn settle(world: &mut FleetWorld) {
    world.faults = FaultRates::default();
    world.bad_image = None;
    world.run(3_000);
    let instances: Vec<_> = world.instances.keys().copied().collect();
    world.send_operator_request(0, OperatorRequest::PauseMaintenance { paused: false });
    world.run(80);
    for instance in instances {
        world.send_operator_request(0, OperatorRequest::Undrain { instance });
        world.propose_release(instance);
        world.run(80);
    }
    let pools: Vec<PoolId> = world.document.pools.keys().copied().collect();
    for pool in pools {
        world.send_operator_request(0, OperatorRequest::ResumeRollout { pool });
        world.run(80);
    }
    world.run(STEPS_PER_HOUR);
    assert_eq!(world.table.fleet.control.row, ControlRow::default());
    for (instance, _, row) in world.table.fleet.rows() {
        let is_in_use = row.state == InstanceState::Serving || row.goal.is_some();
        assert!(is_in_use, "{instance} did not settle: {row:?}");
    }
    for (pool, rollout) in &world.table.fleet.rollouts {
        assert_eq!(rollout.row.stage, RolloutStage::Done, "roll-out of {pool}");
    }
    assert_eq!(world.overdue(), Vec::new());
    for pool in world.table.fleet.pools.values() {
        assert!(pool.row.unavailable.total() <= 2, "{}", pool.row.unavailable);
    }
}

fn report(world: &FleetWorld) -> SoakReport {
    SoakReport {
        commits: world.table.commits,
        conflicts: world.table.conflicts,
        answers: world.answers.len(),
    }
}
