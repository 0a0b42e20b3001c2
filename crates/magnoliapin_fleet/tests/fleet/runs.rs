//! Randomised runs of the tiny world.

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
use crate::world::TinyInstance;
use crate::world::TinyWorld;
use crate::world::STEP_MS;

/// Steps in an hour.
pub(crate) const HOUR_STEPS: u64 = 3_600_000 / STEP_MS;

/// What a run came to.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SoakReport {
    /// Transactions that were committed.
    pub(crate) commits: u64,
    /// Transactions that met a conflict.
    pub(crate) conflicts: u64,
    /// Operators' requests that were answered.
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

/// Returns a document with two serving pools, a spare one, and a period of one hour.
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

/// Returns 24 instances, four to a rack, in three zones; the pools are spread over the racks.
pub(crate) fn instances() -> Vec<TinyInstance> {
    (0..24)
        .map(|number| {
            let pool = ["east", "west", "extra"][number % 3];
            let rack = number / 4;
            let zone = format!("zone-{}", rack / 2);
            let (instance, rack) = (format!("i-{number:02}"), format!("rack-{rack}"));
            TinyInstance::new(&instance, &zone, &rack, pool)
        })
        .collect()
}

/// Faults of entries and of the platform; no instance fails and no operator interferes.
pub(crate) fn process_faults() -> FaultRates {
    FaultRates { lost: 0.05, kill: 0.002, pause: 0.002, outage: 0.000_5, ..FaultRates::default() }
}

/// Everything at once.
pub(crate) fn all_faults() -> FaultRates {
    FaultRates { crash: 0.002, wave: 0.000_2, operator: 0.02, suspect: 0.002, ..process_faults() }
}

/// Runs with faults of processes; every instance is maintained inside its period throughout.
pub(crate) fn run_processes(seed: u64, steps: u64) -> SoakReport {
    let mut world = TinyWorld::new(seed, 4, document(), instances());
    assert_eq!(check_feasible(&world.document, &FleetSnapshot::default()), Ok(()));
    world.faults = process_faults();
    for _ in 0..steps.div_ceil(2_000) {
        world.run(2_000);
        assert_eq!(world.overdue(), Vec::new(), "at {} ms", world.now_ms);
    }
    report(&world)
}

/// Runs with every fault and changing images, then lets the fleet settle.
pub(crate) fn run_everything(seed: u64, steps: u64) -> SoakReport {
    let mut world = TinyWorld::new(seed, 4, document(), instances());
    world.faults = all_faults();
    for round in 0..steps.div_ceil(HOUR_STEPS / 2) {
        let mut document = world.document.clone();
        let image = if round % 3 == 2 { "bad".to_owned() } else { format!("image-{round}") };
        for section in document.pools.values_mut() {
            section.image.clone_from(&image);
        }
        world.bad_image = Some("bad".to_owned());
        world.apply(document);
        world.run(steps.min(HOUR_STEPS / 2));
    }
    settle(&mut world);
    report(&world)
}

/// Ends all faults and takes back what operators did; the fleet must come to rest by itself.
fn settle(world: &mut TinyWorld) {
    world.faults = FaultRates::default();
    world.bad_image = None;
    world.run(3_000);
    let instances: Vec<_> = world.instances.keys().copied().collect();
    world.ask(0, OperatorRequest::PauseMaintenance { paused: false });
    world.run(80);
    for instance in instances {
        world.ask(0, OperatorRequest::Undrain { instance });
        world.release(instance);
        world.run(80);
    }
    let pools: Vec<PoolId> = world.document.pools.keys().copied().collect();
    for pool in pools {
        world.ask(0, OperatorRequest::ResumeRollout { pool });
        world.run(80);
    }
    world.run(HOUR_STEPS);
    assert_eq!(world.table.fleet.control.row, ControlRow::default());
    for (instance, _, row) in world.table.fleet.rows() {
        let is_at_work = row.state == InstanceState::Serving || row.goal.is_some();
        assert!(is_at_work, "{instance} is left {row:?}");
    }
    for (pool, rollout) in &world.table.fleet.rollouts {
        assert_eq!(rollout.row.stage, RolloutStage::Done, "roll-out of {pool}");
    }
    assert_eq!(world.overdue(), Vec::new());
    for pool in world.table.fleet.pools.values() {
        assert!(pool.row.unavailable.total() <= 2, "{}", pool.row.unavailable);
    }
}

fn report(world: &TinyWorld) -> SoakReport {
    SoakReport {
        commits: world.table.commits,
        conflicts: world.table.conflicts,
        answers: world.answers.len(),
    }
}
