//! Measures what the pools need.

use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_model::Moment;
use magnoliapin_site::JobSpec;
use magnoliapin_site::PoolName;
use magnoliapin_site::Resources;

use crate::leader::queue_facts::QueueFacts;
use crate::leader::Leader;

/// Span over which arriving work is averaged: long enough for several jobs, and shorter than the
/// time in which a surge must be answered.
const ARRIVAL_SPAN: Duration = Duration::from_millis(1_000);

/// What a pool needs.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PoolDemand {
    /// Smoothed arriving work, in thousandths of a core and mebibytes that it will occupy.
    arriving: Amount,
    arrived_at: Moment,
    /// What runs and waits now.
    present: Amount,
    /// Part of that whose tasks last.
    lasting: Amount,
    /// Instances that tasks of one step need, as they may not share one.
    pub(super) apart: u32,
    /// Instances that are being freed of tasks that last.
    pub(super) leaving: u32,
    /// Since when it has had more instances than it needs.
    surplus_since: Option<Moment>,
}

/// An amount of processor and memory that may be a fraction.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Amount {
    pub(super) cpu_milli: f64,
    pub(super) memory_mb: f64,
}

impl Amount {
    fn add(&mut self, demand: Resources, times: f64) {
        self.cpu_milli += f64::from(demand.cpu_milli) * times;
        self.memory_mb += f64::from(demand.memory_mb) * times;
    }

    fn or_more(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            memory_mb: self.memory_mb.max(other.memory_mb),
        }
    }

    /// Returns how many instances of a size the amount fills.
    pub(super) fn instances(self, capacity: Resources) -> f64 {
        let cpu = self.cpu_milli / f64::from(capacity.cpu_milli.max(1));
        let memory = self.memory_mb / f64::from(capacity.memory_mb.max(1));
        cpu.max(memory)
    }
}

impl PoolDemand {
    /// Adds the work of a job that has arrived.
    fn arrive(&mut self, spec: &JobSpec, facts: &QueueFacts, now: Moment) {
        self.decay(now);
        for step in &spec.steps {
            let seconds = facts.run_time(step).as_secs_f64();
            let times = f64::from(step.tasks) * seconds / ARRIVAL_SPAN.as_secs_f64();
            self.arriving.add(step.demand, times);
        }
    }

    fn decay(&mut self, now: Moment) {
        let passed = now.since(self.arrived_at).as_secs_f64() / ARRIVAL_SPAN.as_secs_f64();
        let factor = (-passed).exp();
        self.arriving.cpu_milli *= factor;
        self.arriving.memory_mb *= factor;
        self.arrived_at = now;
    }

    /// Notes whether the pool has more instances than it needs. Returns since when.
    pub(super) fn surplus_since(&mut self, has_surplus: bool, now: Moment) -> Option<Moment> {
        let since = self.surplus_since.unwrap_or(now);
        self.surplus_since = has_surplus.then_some(since);
        self.surplus_since
    }

    /// Returns what the pool needs: what is there, or what will be if jobs go on arriving.
    pub(super) fn needed(&self) -> Amount {
        let future = Amount {
            cpu_milli: self.arriving.cpu_milli + self.lasting.cpu_milli,
            memory_mb: self.arriving.memory_mb + self.lasting.memory_mb,
        };
        future.or_more(self.present)
    }
}

/// What is in a pool now.
#[derive(Clone, Copy, Debug, Default)]
struct Present {
    all: Amount,
    lasting: Amount,
    apart: u32,
    leaving: u32,
}

impl Leader {
    /// Notes that a job has arrived.
    pub(in crate::leader) fn note_arrival(
        &mut self,
        pool: &PoolName,
        spec: &JobSpec,
        facts: &QueueFacts,
        now: Moment,
    ) {
        if !spec.is_long_running() {
            self.fleet.demand.entry(pool.clone()).or_default().arrive(spec, facts, now);
        }
    }

    /// Measures what runs and waits in each pool.
    pub(super) fn measure_demand(&mut self, now: Moment) {
        let mut present: IndexMap<PoolName, Present> = IndexMap::new();
        for target in self.targets.values() {
            let pool = present.entry(target.record.pool.clone()).or_default();
            for run in target.runs.values() {
                pool.all.add(run.demand, 1.0);
                if run.is_long_running {
                    pool.lasting.add(run.demand, 1.0);
                }
            }
            let has_lasting = target.runs.values().any(|run| run.is_long_running);
            pool.leaving += u32::from(target.is_reserved && has_lasting);
        }
        for job in self.jobs.values().filter(|job| job.ending.is_none()) {
            let pool = present.entry(job.pool.clone()).or_default();
            for occurrence in &job.occurrences {
                for (spec, step) in job.spec.steps.iter().zip(&occurrence.steps) {
                    if step.is_open && step.waiting > 0 {
                        pool.all.add(spec.demand, f64::from(step.waiting));
                        if spec.long_running {
                            pool.lasting.add(spec.demand, f64::from(step.waiting));
                        }
                    }
                    if spec.long_running && spec.anti_affinity > 0 {
                        pool.apart = pool.apart.max(spec.tasks.div_ceil(spec.anti_affinity));
                    }
                }
            }
        }
        for demand in self.fleet.demand.values_mut() {
            (demand.apart, demand.leaving) = (0, 0);
        }
        for (pool, present) in present {
            let demand = self.fleet.demand.entry(pool).or_default();
            demand.present = present.all;
            demand.lasting = present.lasting;
            demand.apart = present.apart;
            demand.leaving = present.leaving;
        }
        for demand in self.fleet.demand.values_mut() {
            demand.decay(now);
        }
    }
}
