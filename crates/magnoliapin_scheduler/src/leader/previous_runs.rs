//! The runs that the previous leader may have started, until they are reported or have ended.

use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_model::Moment;
use magnoliapin_model::UnixMillis;
use magnoliapin_site::InstanceName;
use magnoliapin_site::Resources;
use magnoliapin_site::RunId;
use magnoliapin_site::TargetName;
use magnoliapin_site::TeamName;

use crate::leader::target::Target;
use crate::leader::target::TargetKey;
use crate::leader::Leader;
use crate::outbox::Outbox;
use crate::rows::AssignmentBatchRow;
use crate::times::CLOCK_DRIFT;
use crate::times::LEASE_SLACK;

#[cfg(test)]
#[path = "previous_runs_tests.rs"]
pub(super) mod tests;

/// An incarnation of a target that may execute runs of the previous leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct PreviousIncarnation {
    pub(super) started_at: UnixMillis,
    /// Instance that hosts it.
    pub(super) instance: Option<InstanceName>,
    /// Runs that it may execute.
    pub(super) runs: Vec<RunId>,
    /// Resources that runs of finished jobs use there, charged to the caps of their teams.
    pub(super) orphans: Vec<(TeamName, Resources)>,
    /// For how long before the takeover no leader can have extended its leases.
    pub(super) silent_for: Duration,
}

impl PreviousIncarnation {
    /// Returns when its leases end that leaders before the takeover at `acquired_at` have granted; `None` if the
    /// batch row does not tell.
    pub(super) fn known_lease_end(
        &self,
        acquired_at: Moment,
        longest_lease: Duration,
    ) -> Option<Moment> {
        // Nothing was started on a target while the batch row listed it.
        let is_listed = !self.silent_for.is_zero();
        is_listed.then(|| acquired_at + longest_lease.saturating_sub(self.silent_for))
    }
}

/// Targets that the batch row lists, or may list, as silent. Their leases must not be extended.
#[derive(Debug)]
pub(super) struct SilentTargets {
    announced: IndexMap<TargetName, Duration>,
    /// When they were last recorded.
    recorded_at: Moment,
}

impl SilentTargets {
    /// Creates an empty list.
    pub(super) fn new(now: Moment) -> Self {
        Self { announced: IndexMap::new(), recorded_at: now }
    }

    /// Sets the targets that the batch row lists.
    pub(super) fn set_announced(&mut self, batch: &AssignmentBatchRow) {
        self.announced.clear();
        self.add_announced(batch);
    }

    /// Adds the targets of a batch that is sent now.
    pub(super) fn record(&mut self, batch: &AssignmentBatchRow, now: Moment) {
        self.recorded_at = now;
        self.add_announced(batch);
    }

    fn add_announced(&mut self, batch: &AssignmentBatchRow) {
        let listed = batch.silent_targets.iter();
        self.announced.extend(
            listed.map(|(name, silent_ms)| (name.clone(), Duration::from_millis(*silent_ms))),
        );
    }

    /// Returns whether the lease of a target must not be extended.
    pub(super) fn contains(&self, name: &TargetName) -> bool {
        self.announced.contains_key(name)
    }

    /// Returns for how long no leader can have extended the leases of a target, as the batch row
    /// states.
    pub(super) fn silent_for(&self, name: &TargetName) -> Duration {
        self.announced.get(name).copied().unwrap_or_default()
    }
}

/// The latest run of a task that the previous leader may have started on a target that has not
/// reported yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct UnconfirmedRun {
    pub(super) attempt: u32,
    pub(super) target: TargetName,
    /// Team that the run is charged to, and its resources.
    pub(super) charge: Option<(TeamName, Resources)>,
}

/// Silence from which on a target is recorded as silent; nearly all report sooner after a takeover.
const MIN_SILENCE: Duration = Duration::from_millis(500);
/// Time between two records of the silent targets.
const SILENCE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of silent targets that are recorded, as they share a row of limited size.
const MAX_SILENT_TARGETS: usize = 1_000;
/// Time between two log messages about runs of the previous leader that are not resolved.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of incarnations that are named in the log each time.
const LOGGED_INCARNATIONS: usize = 8;

impl Leader {
    /// Adds an incarnation of a target that may execute runs of the previous leader.
    pub(super) fn add_previous_incarnation(
        &mut self,
        name: TargetName,
        incarnation: PreviousIncarnation,
    ) {
        for run in &incarnation.runs {
            let candidate =
                UnconfirmedRun { attempt: run.attempt, target: name.clone(), charge: None };
            let latest = self.unconfirmed_runs.entry(run.task).or_insert_with(|| candidate.clone());
            // Earlier runs of the task were known to have ended when the latest one was recorded.
            if run.attempt > latest.attempt {
                *latest = candidate;
            }
        }
        self.previous_incarnations.insert(name, incarnation);
    }

    /// Charges unconfirmed runs to their teams' caps, as their jobs may finish before the runs do.
    pub(super) fn charge_unconfirmed(&mut self) {
        for (task, run) in &mut self.unconfirmed_runs {
            let job = self.job_keys.get(&task.job).and_then(|key| self.jobs.get(key));
            let charge =
                job.and_then(|job| Some((job.team.clone()?, job.step_spec(*task)?.demand)));
            run.charge = charge;
        }
    }

    /// Removes a previous incarnation of a target once its runs are reported or have ended, and
    /// marks the pools of their jobs for dispatch. Returns `None` if there is no such incarnation.
    pub(super) fn resolve_previous_incarnation(
        &mut self,
        name: &TargetName,
    ) -> Option<PreviousIncarnation> {
        let incarnation = self.previous_incarnations.swap_remove(name)?;
        for run in &incarnation.runs {
            let latest = self.unconfirmed_runs.get(&run.task);
            if latest.is_none_or(|latest| latest.target != *name) {
                continue;
            }
            self.unconfirmed_runs.swap_remove(&run.task);
            let job = self.job_keys.get(&run.task.job).and_then(|key| self.jobs.get(key));
            if let Some(pool) = job.map(|job| job.pool.clone()) {
                self.mark_for_dispatch(&pool);
            }
        }
        Some(incarnation)
    }

    /// Returns whether targets may execute runs of the previous leader that are neither recorded
    /// nor reported yet.
    pub(super) fn may_have_unrecorded_runs(&self) -> bool {
        self.records.previous_had_unrecorded_runs() && !self.previous_runs_resolved
    }

    /// Returns whether a target cannot execute unconfirmed runs of the previous leader.
    pub(super) fn has_no_previous_runs(&self, name: &TargetName) -> bool {
        !self.may_have_unrecorded_runs() && !self.previous_incarnations.contains_key(name)
    }

    /// Checks whether all runs of the previous leader are resolved: the registrations are read, and
    /// each incarnation that may execute such runs has reported or ended, or every lease that the
    /// previous leader can have granted has expired. Runs that may be missing from the rows are
    /// resolved once the targets have listed all their completions.
    pub(super) fn check_previous_runs(&mut self, out: &Outbox) {
        if self.previous_runs_resolved {
            return;
        }
        let longest_lease = self.longest_lease();
        let is_expired = |incarnation: &PreviousIncarnation| {
            let known_end = incarnation.known_lease_end(self.acquired_at, longest_lease);
            out.now > known_end.unwrap_or_else(|| self.previous_starts_until() + longest_lease)
        };
        let expired: Vec<TargetName> = self
            .previous_incarnations
            .iter()
            .filter(|(_, incarnation)| is_expired(incarnation))
            .map(|(name, _)| name.clone())
            .collect();
        if !expired.is_empty() {
            log::warn!(
                "event=runs_given_up generation={} targets={}",
                self.generation,
                expired.len()
            );
        }
        for name in expired {
            self.remember_lapsed_previous(&name, out.now);
            self.mark_unconfirmed_lost(&name, out.now);
            self.resolve_previous_incarnation(&name);
            self.obsolete_rows.push(name);
        }
        // A run that no row names may have ended without being listed yet.
        let has_unlisted = self.targets.values().any(|target| {
            target.has_reported
                && !target.has_listed_all
                && !target.is_lease_expired(self.confirmed_at)
        });
        let is_listed = !has_unlisted || !self.records.previous_had_unrecorded_runs();
        if self.previous_incarnations.is_empty() && !self.registrations.is_reading() && is_listed {
            log::info!(
                "event=runs_accounted generation={} after_ms={}",
                self.generation,
                out.now.since(self.acquired_at).as_millis()
            );
            self.previous_runs_resolved = true;
        }
        self.log_unresolved(out);
    }

    /// Returns the longest time for which a lease can last after it was sent.
    pub(super) fn longest_lease(&self) -> Duration {
        self.identity.times.max_lease.div_f64(1.0 - CLOCK_DRIFT) + LEASE_SLACK
    }

    /// Returns for how long the leases may last that earlier leaders have granted to an incarnation of a target.
    pub(super) fn inherited_lease(
        &self,
        key: TargetKey,
        started_at: UnixMillis,
        now: Moment,
    ) -> Duration {
        let max_lease = self.identity.times.max_lease;
        let name = self.targets.get(&key).map(|target| &target.record.name);
        let incarnation = name.and_then(|name| self.previous_incarnations.get(name));
        // Without starts, it may be another incarnation.
        let is_same = started_at != UnixMillis::default();
        let incarnation = incarnation.filter(|known| is_same && known.started_at == started_at);
        let known_end = incarnation
            .and_then(|known| known.known_lease_end(self.acquired_at, self.longest_lease()));
        known_end.map_or(max_lease, |end| end.since(now).min(max_lease))
    }

    /// Returns the targets that have not reported yet, those that have fallen silent with runs, and all with runs
    /// once this leader hands over. Each has the time for which no leader can have extended its leases, in
    /// milliseconds; a shorter lease counts as a longest one that was granted earlier.
    pub(super) fn silent_targets(&self, now: Moment) -> Vec<(TargetName, u64)> {
        let since_takeover = now.since(self.acquired_at);
        // Those that the leader before has listed stay listed until they report.
        let is_listed = |incarnation: &PreviousIncarnation| {
            since_takeover >= MIN_SILENCE || !incarnation.silent_for.is_zero()
        };
        let inherited = self.previous_incarnations.iter();
        let inherited = inherited
            .filter(|(_, incarnation)| is_listed(incarnation))
            .map(|(name, incarnation)| (name, since_takeover + incarnation.silent_for));
        let longest_lease = self.longest_lease();
        let hands_over = self.renewal.is_releasing;
        let silent = self.targets.values().filter_map(|target| {
            let lease_end = match hands_over {
                true => target.used_lease_end(),
                false => target.silent_lease_end(),
            };
            let left = lease_end?.since(now);
            Some((&target.record.name, longest_lease.saturating_sub(left)))
        });
        let not_inherited =
            |(name, _): &(&TargetName, Duration)| !self.previous_incarnations.contains_key(*name);
        let listed = inherited.chain(silent.filter(not_inherited)).take(MAX_SILENT_TARGETS);
        listed
            .map(|(name, silent_for)| {
                (name.clone(), u64::try_from(silent_for.as_millis()).unwrap_or_default())
            })
            .collect()
    }

    /// Returns whether the batch row must list other silent targets than it does: one has reported
    /// and waits for its lease, or others have been silent, or have been so for longer.
    pub(super) fn must_record_silence(&self, now: Moment) -> bool {
        if self.renewal.is_releasing {
            return self.renewal.is_handing_over(now);
        }
        let has_fallen_silent = |target: &Target| target.silent_lease_end().is_some();
        let may_answer = |name: &TargetName| {
            let target = self.target_keys.get(name).and_then(|key| self.targets.get(key));
            !self.previous_incarnations.contains_key(name) && !target.is_some_and(has_fallen_silent)
        };
        let silent = &self.silent_targets;
        let is_due = || now.since(silent.recorded_at) >= SILENCE_INTERVAL;
        let has_silent = || {
            let has_inherited = !self.previous_incarnations.is_empty()
                && now.since(self.acquired_at) >= MIN_SILENCE;
            has_inherited || self.targets.values().any(has_fallen_silent)
        };
        silent.announced.keys().any(may_answer) || (is_due() && has_silent())
    }

    /// Logs what the leader waits for before it starts tasks that may still run somewhere.
    fn log_unresolved(&mut self, out: &Outbox) {
        if self.previous_runs_resolved || out.now < self.unresolved_logged_at + LOG_INTERVAL {
            return;
        }
        self.unresolved_logged_at = out.now;
        let unrecorded = self.may_have_unrecorded_runs();
        let held_jobs = self.jobs.values().filter(|job| job.is_inherited && job.has_waiting());
        log::info!(
            "event=tasks_held generation={} tasks={} unrecorded={unrecorded} waiting_jobs={} \
             targets={} after_ms={}",
            self.generation,
            self.unconfirmed_runs.len(),
            held_jobs.count(),
            self.previous_incarnations.len(),
            out.now.since(self.acquired_at).as_millis()
        );
        for (name, incarnation) in self.previous_incarnations.iter().take(LOGGED_INCARNATIONS) {
            let target = self.target_keys.get(name).and_then(|key| self.targets.get(key));
            let instance = incarnation.instance.as_ref();
            let listed = instance.and_then(|instance| self.fleet.describe(instance));
            log::info!(
                "event=runs_unresolved target={name} runs={} instance={} listed={} registered={}",
                incarnation.runs.len(),
                instance.cloned().unwrap_or_default(),
                listed.unwrap_or_else(|| "no".to_owned()),
                target.is_some_and(|target| target.missing_since.is_none())
            );
        }
    }
}
