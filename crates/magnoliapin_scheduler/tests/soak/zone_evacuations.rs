//! Evacuations of zones: an operator who requests and ends them, and the checks that nothing starts in
//! an evacuated zone, that long-running tasks leave it, and that it is in use again afterwards.

use std::collections::BTreeMap;
use std::time::Duration;

use magnoliapin_model::Moment;
use magnoliapin_site::RunId;
use magnoliapin_site::StoreRequest;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::assert_no_violations;
use crate::faults::FaultChange;
use crate::faults::FaultPlan;
use crate::faults::StoreMode;
use crate::run_world;
use crate::site;
use crate::target::FakeTarget;
use crate::world::Event;
use crate::world::World;
use crate::world::LOAD_END;
use crate::LONGEST_FAULT_MS;

/// Time after the acknowledgement of an evacuation within which runs may still begin in the zone.
const EVACUATION_TIME: Duration = Duration::from_millis(5_000);
/// Time after which the operator repeats a write that the store has not acknowledged.
const RETRY_INTERVAL: Duration = Duration::from_millis(125);
/// Time without faults in which long-running tasks must leave an evacuated zone with room elsewhere.
const MOVE_OUT_TIME: Duration = Duration::from_secs(10);
/// Time within which a zone must be in use again after its return.
const RETURN_TIME: Duration = Duration::from_secs(6);
/// Bounds of the length of an evacuation, in milliseconds.
const LENGTHS_MS: std::ops::Range<u64> = 6_000..13_000;

/// Evacuations of zones, as the operator sees them.
#[derive(Default)]
pub(crate) struct ZoneEvacuations {
    is_enabled: bool,
    /// Zones whose rows exist, with the time of the acknowledgement.
    zones: BTreeMap<usize, Option<Moment>>,
    /// Zones that have returned, when, and whether a run has begun there since.
    restored: BTreeMap<usize, (Moment, bool)>,
    /// When calls for the operator's rows get no reply, while the store answers all others.
    unreadable: Option<std::ops::Range<Moment>>,
}

impl ZoneEvacuations {
    /// Returns the bound in the nodes' settings; `None` in simulations without evacuations.
    pub(crate) fn bound(&self) -> Option<Duration> {
        self.is_enabled.then_some(EVACUATION_TIME)
    }

    /// Returns whether a call gets no reply as it asks for the operator's rows.
    pub(crate) fn is_unreadable(&self, request: &StoreRequest, now: Moment) -> bool {
        let is_site = matches!(request, StoreRequest::ReadSite | StoreRequest::WatchSite { .. });
        is_site && self.unreadable.as_ref().is_some_and(|unreadable| unreadable.contains(&now))
    }

    pub(crate) fn includes(&self, zone: usize) -> bool {
        self.zones.contains_key(&zone)
    }
}

impl World {
    /// Lets the operator evacuate `count` zones, one after the other. Returns the world and when the
    /// evacuations begin and end, in milliseconds.
    fn with_zone_evacuations(mut self, seed: u64, count: usize) -> (Self, Vec<(u64, u64)>) {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        self.evacuations.is_enabled = true;
        self.store.tracks_evacuations = true;
        for node in 0..site::NODES {
            self.start_node(node);
        }
        let mut times = Vec::new();
        let mut at = random.random_range(5_000..10_000);
        let first = random.random_range(0..site::ZONES);
        for number in 0..count {
            let end = at + random.random_range(LENGTHS_MS);
            let zone = (first + number) % site::ZONES;
            let event = |is_evacuated| Event::ZoneEvacuation(zone, is_evacuated);
            self.schedule_after(Duration::from_millis(at), event(true));
            self.schedule_after(Duration::from_millis(end), event(false));
            times.push((at, end));
            at = end + random.random_range(0..2_000);
        }
        (self, times)
    }

    /// Writes or removes the row of an evacuation, or tries again later if the store does not reply.
    pub(crate) fn change_zone(&mut self, zone: usize, is_evacuated: bool) {
        let retry = Event::ZoneEvacuation(zone, is_evacuated);
        if matches!(self.faults.store, StoreMode::Unresponsive | StoreMode::Rejecting) {
            return self.schedule_after(RETRY_INTERVAL, retry);
        }
        if !is_evacuated && self.evacuations.includes(zone) {
            self.check_moved_out(zone);
        }
        self.store.set_evacuated(site::zone_name(zone), is_evacuated);
        let is_acknowledged = !self.random.random_bool(self.faults.lost_reply_chance);
        log::info!("event=zone_changed zone={zone} evacuated={is_evacuated}");
        if is_evacuated {
            let acknowledged_at = self.evacuations.zones.entry(zone).or_default();
            *acknowledged_at = acknowledged_at.or(is_acknowledged.then_some(self.now));
            self.evacuations.restored.remove(&zone);
        } else if self.evacuations.zones.remove(&zone).is_some() {
            self.evacuations.restored.insert(zone, (self.now, false));
        }
        self.reply_to_watches();
        if !is_acknowledged {
            self.schedule_after(RETRY_INTERVAL, retry);
        }
    }

    /// Checks a run that begins on a target.
    pub(crate) fn check_zone(&mut self, number: usize, run: RunId, is_late: bool) {
        let zone = self.targets[number].zone;
        if let Some((_, is_used)) = self.evacuations.restored.get_mut(&zone) {
            *is_used = true;
        }
        let Some(Some(acknowledged_at)) = self.evacuations.zones.get(&zone) else { return };
        let passed = self.now.since(*acknowledged_at);
        if passed > EVACUATION_TIME && !is_late {
            let text = format!(
                "{}: run {} began in evacuated zone {zone} {} ms after the acknowledgement",
                run.task,
                run.attempt,
                passed.as_millis()
            );
            self.checker.report_violation(self.now, &text);
        }
    }

    /// Checks that the long-running tasks for which there is room elsewhere have left a zone, if there
    /// was time without faults.
    fn check_moved_out(&mut self, zone: usize) {
        let acknowledged_at = self.evacuations.zones.get(&zone).copied().flatten();
        let had_time = acknowledged_at.is_some_and(|at| self.now.since(at) > MOVE_OUT_TIME);
        if !had_time || !self.is_fault_free(MOVE_OUT_TIME) {
            return;
        }
        let in_zone = self.targets.iter().filter(|target| target.zone == zone && target.is_up);
        let running: Vec<_> = in_zone.flat_map(FakeTarget::running_tasks).collect();
        for task in running {
            let job = &self.checker.jobs[&task.job];
            if job.spec.is_long_running() && !job.cancel_sent && self.has_room(task, true) {
                let text = format!("{task}: still runs in evacuated zone {zone}");
                self.checker.report_violation(self.now, &text);
            }
        }
    }

    /// Checks that zones were in use again after their return.
    pub(crate) fn check_restored_zones(&mut self) {
        let load_end = Moment::START + LOAD_END;
        for (zone, (at, is_used)) in std::mem::take(&mut self.evacuations.restored) {
            if !is_used && at + RETURN_TIME < load_end {
                let text = format!("no run began in zone {zone} after its return");
                self.checker.report_violation(at, &text);
            }
        }
    }
}

/// Returns a world without faults, with and without an instance service and agents.
fn world(seed: u64) -> World {
    let (has_fleet, has_agents) = (seed % 2 == 1, seed % 4 >= 2);
    World::new(seed, FaultPlan::Restarts, has_fleet, has_agents)
}

/// Guards against runs that begin in an evacuated zone, services that are interrupted beyond their budget
/// or remain in the zone, and zones that are not used again.
#[test]
fn zones_are_evacuated() {
    assert_no_violations(|seed| run_world(world(seed).with_zone_evacuations(seed, 1).0));
}

/// Guards against the same for the second zone, as instances have moved for the first one.
#[test]
fn zones_are_evacuated_one_after_the_other() {
    assert_no_violations(|seed| run_world(world(seed).with_zone_evacuations(seed, 2).0));
}

/// Guards against a new leader that does not know of an evacuation.
#[test]
fn zones_are_evacuated_while_leaders_fail() {
    assert_no_violations(run_seed_with_failing_leaders);
}

fn run_seed_with_failing_leaders(seed: u64) -> Vec<String> {
    let (mut world, times) = world(seed).with_zone_evacuations(seed, 1);
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    for (begin, end) in times {
        for _ in 0..2 {
            let at = Duration::from_millis(random.random_range(begin..end));
            world.schedule_after(at, Event::FailLeader(random.random_range(200..6_000)));
        }
    }
    run_world(world)
}

/// Guards against evacuations that are missed, or held for longer than they last, as replies of the store
/// are lost, its history is cut, or it does not reply at all.
#[test]
fn zones_are_evacuated_while_the_store_loses_replies() {
    assert_no_violations(|seed| {
        let (mut world, times) = world(seed).with_zone_evacuations(seed, 1);
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        for (begin, end) in times {
            let at = begin - 500;
            world.schedule_fault(at, FaultChange::LoseCommitReplies(0.35));
            world.schedule_fault(end + 500, FaultChange::LoseCommitReplies(0.0));
            for _ in 0..4 {
                let at = random.random_range(at..end);
                world.schedule_fault(at, FaultChange::LosePendingWatches);
            }
            world.schedule_fault(random.random_range(at..end), FaultChange::DropStoreHistory);
            // The end of the evacuation is missed, and only a full read shows it.
            let mode = match random.random_range(0..3) {
                0 => StoreMode::Slow,
                1 => StoreMode::Rejecting,
                _ => StoreMode::Unresponsive,
            };
            world.schedule_fault(end - 1, FaultChange::CutNodeFromStore(seed as usize % 5, true));
            world.schedule_fault(end + 100, FaultChange::DropStoreHistory);
            world
                .schedule_fault(end + 200, FaultChange::CutNodeFromStore(seed as usize % 5, false));
            let at = random.random_range(begin..end - 2_000);
            world.schedule_fault(at, FaultChange::Store(mode));
            world.schedule_fault(at + 1_500, FaultChange::Store(StoreMode::Up));
        }
        run_world(world)
    });
}

/// Guards against the same under random faults of nodes, targets and links, with late orders.
#[test]
fn zones_are_evacuated_under_random_faults() {
    assert_no_violations(run_seed_with_random_faults);
}

fn run_seed_with_random_faults(seed: u64) -> Vec<String> {
    let plan = FaultPlan::Independent(LONGEST_FAULT_MS);
    let world = World::new(seed, plan, seed % 2 == 1, seed % 4 >= 2);
    run_world(world.with_zone_evacuations(seed, 2).0)
}

/// Guards against zones that are not used again after their return.
#[test]
#[ignore = "known red, see KNOWN-RED.txt"]
fn zones_are_used_again_after_their_return() {
    let mut violations = run_seed_with_failing_leaders(62);
    violations.extend(run_seed_with_random_faults(83));
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// Guards against a leader that the store confirms, and that goes on starting runs although it cannot read
/// which zones are evacuated.
#[test]
fn zones_are_evacuated_while_their_rows_cannot_be_read() {
    assert_no_violations(|seed| {
        let (mut world, times) = world(seed).with_zone_evacuations(seed, 1);
        let (begin, _) = times[0];
        let at = |millis| Moment::START + Duration::from_millis(millis);
        world.evacuations.unreadable = Some(at(begin - 100)..at(begin + 9_000));
        world.schedule_fault(begin - 100, FaultChange::LosePendingWatches);
        // The fault ends here, so that the checks that need time without faults count from now on.
        world.schedule_fault(begin + 9_000, FaultChange::LosePendingWatches);
        run_world(world)
    });
}
