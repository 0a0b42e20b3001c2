//! Measures the demand of the pools.

use indexmap::IndexMap;
use indexmap::IndexSet;
use magnoliapin_model::Moment;
use magnoliapin_site::JobSpec;
use magnoliapin_site::PoolName;

use crate::decisions::amount::Amount;
use crate::decisions::arrival_forecast::ArrivalForecast;
use crate::leader::job::JobKey;
use crate::leader::queue_statistics::QueueStatistics;
use crate::leader::Leader;

/// Demand of a pool.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PoolDemand {
    arriving: ArrivalForecast,
    /// Resources of all running and waiting tasks.
    current: Amount,
    /// Share of `current` that can be in time, long-running tasks included.
    in_time: Amount,
    /// Share of `current` that belongs to long-running tasks.
    long_running: Amount,
    /// Number of instances that the anti-affinity of the tasks requires.
    pub(super) min_instances: u32,
    /// Number of instances whose long-running tasks are being evacuated.
    pub(super) evacuating: u32,
    /// When the pool began to have more instances than it needs; `None` if it has not.
    surplus_since: Option<Moment>,
}

impl PoolDemand {
    /// Adds the work of an arriving job.
    fn add_arrival(&mut self, spec: &JobSpec, statistics: &QueueStatistics, now: Moment) {
        let mut work = Amount::default();
        for step in &spec.steps {
            let seconds = statistics.run_time(step).as_secs_f64();
            work.add(step.demand, f64::from(step.tasks) * seconds);
        }
        self.arriving.add(work, now);
    }

    /// Records whether the pool has more instances than it needs. Returns since when it has.
    pub(super) fn update_surplus(&mut self, has_surplus: bool, now: Moment) -> Option<Moment> {
        let since = self.surplus_since.unwrap_or(now);
        self.surplus_since = has_surplus.then_some(since);
        self.surplus_since
    }

    /// Returns the need of the pool for all work: the larger of the current demand and the demand
    /// expected if jobs keep arriving at the same rate.
    pub(super) fn needed(&self) -> Amount {
        self.expected().component_max(self.current)
    }

    /// Returns the need of the pool for work that can be in time.
    pub(super) fn needed_in_time(&self) -> Amount {
        self.expected().component_max(self.in_time)
    }

    /// Returns the demand that is expected if jobs keep arriving at the same rate.
    fn expected(&self) -> Amount {
        self.arriving.expected().plus(self.long_running)
    }
}

/// Work in a pool now.
#[derive(Clone, Copy, Debug, Default)]
struct CurrentDemand {
    all: Amount,
    in_time: Amount,
    long_running: Amount,
    min_instances: u32,
    evacuating: u32,
}

impl Leader {
    /// Records the arrival of a job. Long-running jobs are not counted as arriving work.
    pub(in crate::leader) fn record_arrival(
        &mut self,
        pool: &PoolName,
        spec: &JobSpec,
        statistics: &QueueStatistics,
        now: Moment,
    ) {
        if !spec.is_long_running() {
            self.fleet.demand.entry(pool.clone()).or_default().add_arrival(spec, statistics, now);
        }
    }

    /// Measures the running and waiting tasks of each pool.
    pub(super) fn measure_demand(&mut self, now: Moment) {
        let open = self.jobs.iter().filter(|(_, job)| job.final_state.is_none());
        let can_be_in_time: IndexSet<JobKey> =
            open.filter(|(_, job)| self.can_be_in_time(job, now)).map(|(key, _)| *key).collect();
        let mut current: IndexMap<PoolName, CurrentDemand> = IndexMap::new();
        for target in self.targets.values() {
            let pool = current.entry(target.record.pool.clone()).or_default();
            let is_evacuated = self.zone_evacuation.includes(&target.record.zone);
            // Tasks that end by themselves finish in an evacuated zone and need nothing elsewhere.
            let needed = target.runs.values().filter(|run| !is_evacuated || run.is_long_running);
            for run in needed {
                pool.all.add(run.demand, 1.0);
                if run.job.is_some_and(|job| can_be_in_time.contains(&job)) {
                    pool.in_time.add(run.demand, 1.0);
                }
                if run.is_long_running {
                    pool.long_running.add(run.demand, 1.0);
                }
            }
            let has_long_running = target.runs.values().any(|run| run.is_long_running);
            pool.evacuating += u32::from(target.is_reserved && has_long_running);
        }
        for (key, job) in self.jobs.iter().filter(|(_, job)| job.final_state.is_none()) {
            let is_in_time = can_be_in_time.contains(key);
            let pool = current.entry(job.pool.clone()).or_default();
            for occurrence in &job.occurrences {
                for (spec, step) in job.spec.steps.iter().zip(&occurrence.steps) {
                    if step.is_open && step.waiting > 0 {
                        pool.all.add(spec.demand, f64::from(step.waiting));
                        if is_in_time {
                            pool.in_time.add(spec.demand, f64::from(step.waiting));
                        }
                        if spec.long_running {
                            pool.long_running.add(spec.demand, f64::from(step.waiting));
                        }
                    }
                    if spec.long_running && spec.anti_affinity > 0 {
                        pool.min_instances =
                            pool.min_instances.max(spec.tasks.div_ceil(spec.anti_affinity));
                    }
                }
            }
        }
        for demand in self.fleet.demand.values_mut() {
            (demand.min_instances, demand.evacuating) = (0, 0);
            (demand.current, demand.in_time, demand.long_running) = Default::default();
        }
        for (pool, current) in current {
            let demand = self.fleet.demand.entry(pool).or_default();
            demand.current = current.all;
            demand.in_time = current.in_time;
            demand.long_running = current.long_running;
            demand.min_instances = current.min_instances;
            demand.evacuating = current.evacuating;
        }
        for demand in self.fleet.demand.values_mut() {
            demand.arriving.update(now);
        }
    }
}
