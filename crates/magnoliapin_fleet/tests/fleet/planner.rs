//! The planner as a pure function, and the rules of single steps.

use magnoliapin_fleet::check_feasible;
use magnoliapin_fleet::plan;
use magnoliapin_fleet::DemandHistory;
use magnoliapin_fleet::FleetSnapshot;
use magnoliapin_fleet::FleetStep;
use magnoliapin_fleet::InstanceChange;
use magnoliapin_fleet::InstanceState;
use magnoliapin_fleet::InstanceStatus;
use magnoliapin_fleet::RolloutStage;
use magnoliapin_fleet::StepGoal;
use magnoliapin_fleet::StepWrites;
use magnoliapin_fleet::TargetLoad;
use magnoliapin_fleet::UnixSeconds;
use magnoliapin_model::ClientToken;
use magnoliapin_model::ConfigDocument;
use magnoliapin_model::InstanceId;
use magnoliapin_model::PoolId;
use magnoliapin_model::QueueId;
use magnoliapin_model::RowVersion;
use magnoliapin_wire::TransactionResult;

use crate::runs;
use crate::world::SimulatedTable;

const START: UnixSeconds = UnixSeconds(1_800_000_000);

fn instance(name: &str) -> InstanceId {
    InstanceId::new(name).unwrap()
}

fn pool(name: &str) -> PoolId {
    PoolId::new(name).unwrap()
}

fn apply(snapshot: &mut FleetSnapshot, document: &ConfigDocument, step: &FleetStep, now: u64) {
    let writes = StepWrites::new(snapshot, document, step, START.after(now)).unwrap();
    writes.apply_to(snapshot, &[]);
}

fn change(snapshot: &mut FleetSnapshot, name: &str, change: InstanceChange, now: u64) {
    apply(snapshot, &runs::document(), &FleetStep::new(instance(name), change), now);
}

fn plan_at(snapshot: &FleetSnapshot, document: &ConfigDocument, now: u64) -> Vec<FleetStep> {
    plan(snapshot, document, &DemandHistory::default(), START.after(now))
}

/// Returns 24 serving instances in three pools.
fn serving_fleet() -> FleetSnapshot {
    let mut snapshot = FleetSnapshot::default();
    for simulated in runs::instances() {
        let record = Some(simulated.record(0));
        let status = InstanceStatus { record, ..InstanceStatus::default() };
        snapshot.instances.insert(simulated.instance, status);
    }
    for step in plan_at(&snapshot, &runs::document(), 0) {
        apply(&mut snapshot, &runs::document(), &step, 0);
    }
    snapshot
}

fn drain_to_reboot(image: &str) -> InstanceChange {
    let goal = StepGoal::Reboot { image: image.to_owned() };
    InstanceChange::Drain { goal, force: false }
}

/// Sets the load of a target that has drained, as reported for the row version `epoch`.
fn set_idle(snapshot: &mut FleetSnapshot, name: &str, epoch: RowVersion) {
    let status = snapshot.instances.get_mut(&instance(name)).unwrap();
    let incarnation = status.row.as_ref().unwrap().row.run;
    status.load = Some(TargetLoad { incarnation, leaving: true, busy: 0 });
    status.load_epoch = epoch;
}

fn instances_to_drain(steps: &[FleetStep]) -> Vec<InstanceId> {
    let is_drain = |step: &&FleetStep| {
        matches!(step, FleetStep::Instance { change: InstanceChange::Drain { .. }, .. })
    };
    steps.iter().filter(is_drain).filter_map(FleetStep::instance).collect()
}

fn is_move(step: &FleetStep) -> bool {
    let FleetStep::Instance { change: InstanceChange::Drain { goal, .. }, .. } = step else {
        return false;
    };
    matches!(goal, StepGoal::Move { .. })
}

#[test]
fn reboot_requires_an_idle_report_for_the_current_row_version() {
    let mut snapshot = serving_fleet();
    change(&mut snapshot, "i-00", drain_to_reboot("one"), 0);
    let version = snapshot.instances[&instance("i-00")].row.as_ref().unwrap().version;
    let step = FleetStep::new(instance("i-00"), InstanceChange::Reboot);
    set_idle(&mut snapshot, "i-00", RowVersion(version.0 - 1));
    assert!(!plan_at(&snapshot, &runs::document(), 1).contains(&step));
    set_idle(&mut snapshot, "i-00", version);
    assert!(plan_at(&snapshot, &runs::document(), 1).contains(&step));
}

#[test]
fn drain_is_given_up_at_its_time_limit_instead_of_stopping_tasks() {
    let mut snapshot = serving_fleet();
    change(&mut snapshot, "i-00", drain_to_reboot("one"), 0);
    let step = FleetStep::new(instance("i-00"), InstanceChange::GiveUp);
    assert!(!plan_at(&snapshot, &runs::document(), 19).contains(&step));
    assert!(plan_at(&snapshot, &runs::document(), 20).contains(&step));
}

#[test]
fn planned_work_stops_while_failures_exceed_the_budget_and_resumes() {
    let mut document = runs::document();
    document.maintenance.max_racks = 24;
    let mut snapshot = serving_fleet();
    let due_seconds = 3_000;
    change(&mut snapshot, "i-00", drain_to_reboot("one"), due_seconds);
    for name in ["i-03", "i-06"] {
        change(&mut snapshot, name, InstanceChange::Fail, due_seconds);
    }
    let steps = plan_at(&snapshot, &document, due_seconds + 1);
    assert!(steps.contains(&FleetStep::new(instance("i-00"), InstanceChange::GiveUp)));
    let east = instances_to_drain(&steps)
        .into_iter()
        .filter(|instance| snapshot.row(*instance).unwrap().pool == pool("east"));
    assert_eq!(east.count(), 0, "{steps:?}");
    for name in ["i-03", "i-06"] {
        change(&mut snapshot, name, InstanceChange::Recover, due_seconds + 2);
    }
    change(&mut snapshot, "i-00", InstanceChange::GiveUp, due_seconds + 2);
    let steps = plan_at(&snapshot, &document, due_seconds + 60);
    let east = instances_to_drain(&steps)
        .into_iter()
        .filter(|instance| snapshot.row(*instance).unwrap().pool == pool("east"));
    assert_eq!(east.count(), 2, "{steps:?}");
}

#[test]
fn rollout_starts_with_one_canary_and_halts_when_it_fails() {
    let mut document = runs::document();
    let mut snapshot = serving_fleet();
    document.pools[&pool("east")].image = "two".to_owned();
    let steps = plan_at(&snapshot, &document, 60);
    assert_eq!(instances_to_drain(&steps).len(), 1, "{steps:?}");
    apply(&mut snapshot, &document, &steps[0], 60);
    let canary = instance("i-00");
    let status = snapshot.instances.get_mut(&canary).unwrap();
    status.row.as_mut().unwrap().row.image = "two".to_owned();
    change(&mut snapshot, "i-00", InstanceChange::Fail, 61);
    let steps = plan_at(&snapshot, &document, 62);
    let stage = steps.iter().find_map(|step| match step {
        FleetStep::Rollout { row, .. } => Some(row.stage),
        _ => None,
    });
    assert_eq!(stage, Some(RolloutStage::Halted));
    assert_eq!(instances_to_drain(&steps), Vec::new());
}

#[test]
fn rollback_ignores_the_cooldown_of_a_restarted_canary() {
    let mut document = runs::document();
    let mut snapshot = serving_fleet();
    document.pools[&pool("east")].image = "two".to_owned();
    let steps = plan_at(&snapshot, &document, 60);
    let rollout = steps.iter().find_map(|step| match step {
        FleetStep::Rollout { pool, row } => Some((*pool, row.clone())),
        _ => None,
    });
    let (pool, mut row) = rollout.expect("the roll-out starts");
    row.stage = RolloutStage::RollingBack;
    apply(&mut snapshot, &document, &FleetStep::Rollout { pool, row }, 61);
    let canary = instance("i-00");
    let status = snapshot.instances.get_mut(&canary).unwrap();
    let canary_row = &mut status.row.as_mut().unwrap().row;
    canary_row.image = "two".to_owned();
    canary_row.changed_at = START.after(62);
    canary_row.maintained_at = START.after(61);
    assert_eq!(instances_to_drain(&plan_at(&snapshot, &document, 63)), [canary]);
}

#[test]
fn infeasible_maintenance_is_reported_with_the_calculation() {
    let message = |document: &ConfigDocument| {
        check_feasible(document, &serving_fleet()).unwrap_err().to_string()
    };
    let mut document = runs::document();
    document.pools[&pool("east")].max_unavailable = 0;
    insta::assert_snapshot!(message(&document), @"pool east has 8 instances and max_unavailable = 0, so none of them can ever be maintained");
    document.pools[&pool("east")].max_unavailable = 1;
    document.maintenance.drain_seconds = 600;
    insta::assert_snapshot!(message(&document), @"pool east: 8 instances, 1 at a time, make 8 waves of 750 s, together 6000 s, but the period has 3600 s");
    document.pools[&pool("east")].max_unavailable = 2;
    document.maintenance.max_racks = 1;
    insta::assert_snapshot!(message(&document), @"the racks need 6 waves of 750 s, 1 racks at a time, together 4500 s, but the period has 3600 s");
}

#[test]
fn budget_refusal_reports_the_counts_and_the_limit() {
    let mut snapshot = serving_fleet();
    change(&mut snapshot, "i-00", InstanceChange::Fail, 0);
    change(&mut snapshot, "i-03", InstanceChange::OperatorDrain { force: false }, 0);
    let step = FleetStep::new(instance("i-06"), InstanceChange::OperatorDrain { force: false });
    let refusal = StepWrites::new(&snapshot, &runs::document(), &step, START).unwrap_err();
    insta::assert_snapshot!(refusal.to_string(), @"pool east has 2 unavailable instances (1 failed, 1 draining, 0 rebooting, 0 moving, 0 quarantined) and allows 2");
}

#[test]
fn second_of_two_planners_gets_a_conflict_instead_of_exceeding_the_budget() {
    let mut table = SimulatedTable::default();
    let document = runs::document();
    let mut snapshot = FleetSnapshot::default();
    for (token, simulated) in (1..).zip(runs::instances()) {
        let status =
            InstanceStatus { record: Some(simulated.record(0)), ..InstanceStatus::default() };
        snapshot.instances.insert(simulated.instance, status);
        let step =
            FleetStep::new(simulated.instance, InstanceChange::Adopt { pool: simulated.pool });
        let writes = StepWrites::new(&snapshot, &document, &step, START).unwrap();
        let result = table.transact(&writes.to_transaction(ClientToken(token)), &document);
        let TransactionResult::Committed(versions) = result else { panic!("{result:?}") };
        writes.apply_to(&mut snapshot, &versions);
    }
    let result = |table: &mut SimulatedTable, name: &str, token| {
        let step = FleetStep::new(instance(name), drain_to_reboot("one"));
        let writes = StepWrites::new(&snapshot, &document, &step, START).unwrap();
        table.transact(&writes.to_transaction(ClientToken(token)), &document)
    };
    let first = result(&mut table, "i-00", 100);
    assert!(matches!(first, TransactionResult::Committed(_)), "{first:?}");
    let second = result(&mut table, "i-03", 101);
    assert!(matches!(second, TransactionResult::Conflict(_)), "{second:?}");
    assert_eq!(
        result(&mut table, "i-00", 100),
        first,
        "a repeated transaction returns its first result"
    );
}

#[test]
fn plan_does_not_depend_on_the_order_of_the_snapshot() {
    let snapshot = serving_fleet();
    let mut reversed = snapshot.clone();
    reversed.instances.reverse();
    let due_seconds = 3_000;
    let steps = plan_at(&snapshot, &runs::document(), due_seconds);
    assert!(!steps.is_empty());
    assert_eq!(steps, plan_at(&reversed, &runs::document(), due_seconds));
}

#[test]
fn moves_follow_the_average_demand_and_ignore_bursts() {
    let mut document = runs::document();
    document.weights.buffer = 0.0;
    document.maintenance.period_hours = 1_000;
    for name in ["east", "west"] {
        let queue = document.queues.entry(QueueId::new(name).unwrap()).or_default();
        queue.pool = pool(name);
    }
    let moves = |east: &dyn Fn(u64) -> f64| {
        let mut history = DemandHistory::default();
        for second in (0..1_800).step_by(10) {
            let now = START.after(second);
            history.observe(QueueId::new("east").unwrap(), east(second), now);
            history.observe(QueueId::new("west").unwrap(), 24.0, now);
        }
        let steps = plan(&serving_fleet(), &document, &history, START.after(1_800));
        steps.iter().filter(|step| is_move(step)).count()
    };
    assert_eq!(moves(&|_| 24.0), 0, "constant demand");
    assert_eq!(
        moves(&|second| if second % 100 < 20 { 120.0 } else { 0.0 }),
        0,
        "bursts with the same mean"
    );
    assert_eq!(
        moves(&|second| if second > 1_770 { 160.0 } else { 24.0 }),
        0,
        "one burst at the end"
    );
    assert_eq!(moves(&|_| 60.0), 1, "lasting increase");
}

#[test]
fn quarantine_stays_within_the_budget() {
    let mut snapshot = serving_fleet();
    for (_, status) in &mut snapshot.instances {
        status.quarantine_proposal = Some(true);
    }
    let steps = plan_at(&snapshot, &runs::document(), 0);
    for step in &steps {
        apply(&mut snapshot, &runs::document(), step, 0);
    }
    for row in snapshot.pools.values() {
        assert_eq!(row.row.unavailable.quarantined, 2);
    }
    let quarantined = snapshot.rows().filter(|(_, _, row)| row.state == InstanceState::Quarantined);
    assert_eq!(quarantined.count(), 6);
}

#[test]
fn maintenance_of_the_shipped_examples_is_feasible() {
    let texts = [
        include_str!("../../../../examples/glowtown.toml"),
        include_str!("../../../../examples/kyushu.toml"),
    ];
    for text in texts {
        let document = ConfigDocument::parse(text).unwrap();
        assert_eq!(check_feasible(&document, &FleetSnapshot::default()), Ok(()));
    }
}
