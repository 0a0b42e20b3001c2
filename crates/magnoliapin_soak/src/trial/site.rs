//! The site of a trial: nine entries, fifty targets, five pools, six teams.

use std::fmt::Write;
use std::time::Duration;

use magnoliapin_model::Moment;
use magnoliapin_model::SlotCount;
use magnoliapin_model::TeamId;
use magnoliapin_policy::PolicyCounts;
use magnoliapin_policy::PolicyOptions;

use crate::entry_node::EntryNode;
use crate::load::with_hashed_keys;
use crate::trial::log::TrialLog;
use crate::world::address;
use crate::world::zone;
use crate::world::WorldEvent;
use crate::world::FIRST_PORT;
use crate::SoakPlan;
use crate::SoakViolation;
use crate::SoakWorld;

/// Number of pools that serve a queue; one more pool is spare.
pub(crate) const SERVING_POOLS: usize = 4;
const TARGETS_PER_POOL: usize = 10;
const ENTRIES: usize = 9;
/// Slots of all serving pools.
pub(crate) const SERVING_SLOTS: u32 = 320;
/// Weight and limit in slots of each team.
pub(crate) const TEAMS: [(u32, u32); 6] =
    [(4, 240), (3, 200), (2, 160), (1, 100), (1, 100), (1, 100)];
/// Time for the entries to start before a trial.
const START_TIME: Duration = Duration::from_secs(15);

/// Parameters of a trial.
#[derive(Clone, Copy, Debug)]
pub struct TrialPlan {
    /// Seed of all random draws.
    pub seed: u64,
    /// Number of availability zones.
    pub zones: usize,
    /// Policy options of the entries.
    pub options: PolicyOptions,
}

impl TrialPlan {
    /// Creates a plan with three zones and the default policy options.
    pub fn new(seed: u64) -> Self {
        Self { seed, zones: 3, options: PolicyOptions::default() }
    }

    /// Sets the policy options.
    #[must_use]
    pub fn with_options(mut self, options: PolicyOptions) -> Self {
        self.options = options;
        self
    }
}

/// Simulation of a trial.
#[derive(Debug)]
pub struct TrialWorld {
    pub(crate) world: SoakWorld,
}

impl TrialWorld {
    /// Creates a simulation and runs it until the entries have started.
    pub fn new(plan: TrialPlan) -> Self {
        let soak = SoakPlan { seed: plan.seed, fault_interval: None, ..SoakPlan::default() };
        let mut world = SoakWorld::empty(soak);
        world.options = plan.options;
        world.trial = Some(Box::new(TrialLog::new(with_hashed_keys(&document()))));
        for index in 0..(SERVING_POOLS + 1) * TARGETS_PER_POOL {
            let pool = format!("p{}", index / TARGETS_PER_POOL);
            world.add_target(zone(index % plan.zones), &pool);
        }
        for index in 0..ENTRIES {
            let port = FIRST_PORT + u16::try_from(index).unwrap_or_default();
            world.entries.push(EntryNode::new(zone(index % plan.zones), address(port)));
            world.schedule_after(Duration::from_millis(10), WorldEvent::StartEntry(index));
        }
        world.schedule_after(Duration::ZERO, WorldEvent::Register);
        let mut trial = Self { world };
        trial.run_for(START_TIME);
        trial
    }

    /// Returns the virtual time.
    pub fn now(&self) -> Moment {
        self.world.now
    }

    /// Runs the simulation for `span` of virtual time.
    pub fn run_for(&mut self, span: Duration) {
        let end = self.world.now + span;
        while self.world.events.first_key_value().is_some_and(|((at, _), _)| *at <= end) {
            self.world.step();
        }
        self.world.now = end;
    }

    /// Returns the broken invariants.
    pub fn violations(&self) -> &[SoakViolation] {
        &self.world.report.violations
    }

    pub(crate) fn log(&self) -> &TrialLog {
        self.world.trial.as_ref().expect("a trial has a log")
    }

    /// Returns the counters of every incarnation of every entry.
    pub(crate) fn counts(&self) -> Vec<PolicyCounts> {
        self.world.entries.iter().flat_map(EntryNode::all_counts).collect()
    }

    /// Sums one counter over all incarnations of all entries.
    pub(crate) fn count(&self, read: impl Fn(&PolicyCounts) -> u64) -> u64 {
        self.counts().iter().map(read).sum()
    }

    /// Returns the slots that each team occupies on the targets.
    pub(crate) fn running(&self) -> [u32; TEAMS.len()] {
        let mut running = [0; TEAMS.len()];
        for target in &self.world.targets {
            for (team, count) in target.state.ledger().running_by_team() {
                if let Some(slot) = team_number(*team).and_then(|team| running.get_mut(team)) {
                    *slot += count;
                }
            }
        }
        running
    }
}

/// Returns the limit of a team, in slots.
pub(crate) fn team_limit(team: usize) -> SlotCount {
    SlotCount(TEAMS[team].1)
}

fn team_number(team: TeamId) -> Option<usize> {
    team.as_str().strip_prefix('t')?.parse().ok()
}

fn document() -> String {
    let mut text = String::new();
    let mut add = |lines: String| text.write_str(&lines).expect("writing to a string succeeds");
    for pool in 0..=SERVING_POOLS {
        add(format!("[pools.p{pool}]\ninstances = {TARGETS_PER_POOL}\nmax_unavailable = 2\n"));
        if pool == SERVING_POOLS {
            add("spare = true\n".to_owned());
        }
    }
    add("[teams.ops]\nlimit = 4\noperator = true\n".to_owned());
    add("[teams.ops.keys]\nfirst = \"KEY:ops\"\n".to_owned());
    for (team, (weight, limit)) in TEAMS.iter().enumerate() {
        add(format!("[teams.t{team}]\nweight = {weight}\nlimit = {limit}\n"));
        add(format!("[teams.t{team}.keys]\nk0 = \"KEY:team{team}\"\n"));
    }
    for queue in 0..SERVING_POOLS {
        add(format!("[queues.q{queue}]\npool = \"p{queue}\"\nidempotent = true\n"));
        add("timeout_ms = 2000\nmax_waiting = 200\n".to_owned());
        if queue + 1 == SERVING_POOLS {
            add("open = true\nopen_team = \"t5\"\n".to_owned());
        }
    }
    text
}
