//! Holds the targets: extends their leases and learns what runs and what has ended there.

use std::time::Duration;

use indexmap::IndexSet;
use magnoliapin_model::Moment;
use magnoliapin_site::CallFailure;
use magnoliapin_site::Resources;
use magnoliapin_site::RunReport;
use magnoliapin_site::RunningTask;
use magnoliapin_site::StartRefusal;
use magnoliapin_site::TargetReply;
use magnoliapin_site::TargetRequest;
use magnoliapin_site::TaskName;

use crate::leader::job::TaskState;
use crate::leader::registrations::TargetLoss;
use crate::leader::target::ClockReading;
use crate::leader::target::HoldState;
use crate::leader::target::Run;
use crate::leader::target::RunStage;
use crate::leader::target::Target;
use crate::leader::target::TargetKey;
use crate::leader::target::UnstoredEnd;
use crate::leader::Leader;
use crate::leader::TargetCall;
use crate::outbox::Outbox;
use crate::times::LEASE_SLACK;
use crate::times::TRUST_TIME;

/// Pause after a hold that failed.
const FAILED_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause while ends wait to be stored; the lease must be extended meanwhile.
const UNSTORED_PAUSE: Duration = Duration::from_millis(500);

impl Leader {
    /// Sends the holds that are due.
    pub(super) fn poll_holds(&mut self, out: &mut Outbox) {
        let due: Vec<TargetKey> = self
            .targets
            .iter()
            .filter(|(_, target)| match target.hold {
                HoldState::Pausing(until) => out.now >= until || target.is_ready_to_hold(),
                HoldState::InFlight(..) => false,
            })
            .map(|(key, _)| *key)
            .collect();
        for key in due {
            self.send_hold(key, out);
        }
    }

    fn send_hold(&mut self, key: TargetKey, out: &mut Outbox) {
        let times = self.identity.times;
        let fence = self.generation;
        let confirmed_at = self.confirmed_at;
        let Some(target) = self.targets.get_mut(&key) else { return };
        // A target answers at once while it lists ends that it may not forget.
        let may_wait = target.is_led
            && target.is_same_life
            && target.unstored.is_empty()
            && target.failed_holds == 0;
        let wait = if may_wait { times.hold_wait } else { Duration::ZERO };
        let may_extend = target.failed_holds == 0;
        let lease_until_ms =
            if may_extend { target.next_lease(out.now, confirmed_at, &times) } else { None };
        let stored_end = if target.is_same_life { target.stored_end } else { 0 };
        let request = TargetRequest::Hold { fence, stored_end, lease_until_ms, wait };
        let timeout = wait + times.answer_slack;
        let call = self.call_target(key, TargetCall::Hold(key, out.now), request, timeout, out);
        if let Some((target, call)) = self.targets.get_mut(&key).zip(call) {
            target.hold = HoldState::InFlight(call, out.now);
        }
    }

    /// Takes the answer to a hold.
    pub(super) fn take_hold(
        &mut self,
        key: TargetKey,
        sent_at: Moment,
        reply: &TargetReply,
        out: &mut Outbox,
    ) {
        let Some(target) = self.targets.get_mut(&key) else { return };
        // A hold that was given up has been replaced by a later one.
        let is_current = matches!(target.hold, HoldState::InFlight(_, at) if at == sent_at);
        match reply {
            TargetReply::Report(report) => {
                if report.born_at.0 != 0 && report.born_at != target.born_at() {
                    return self.take_other_life(key, report, out);
                }
                self.take_report(key, sent_at, report, out);
            }
            TargetReply::Refused { reason: StartRefusal::Fenced, .. } => {
                self.depose("a target obeys a newer scheduler");
            }
            TargetReply::OtherLife => self.remove_target(key, TargetLoss::OtherLife, out),
            TargetReply::Refused { .. } | TargetReply::Done { .. } | TargetReply::Failed(_) => {
                if !is_current {
                    return;
                }
                target.failed_holds += 1;
                target.is_same_life = false;
                target.hold = HoldState::Pausing(out.now + FAILED_PAUSE);
                if target.failed_holds == 1 {
                    // The list may say that its instance is out of service.
                    self.fleet.list_soon(out.now);
                    log::warn!(
                        "event=target_silent target={} reply={reply:?} runs={}",
                        target.record.name,
                        target.runs.len()
                    );
                }
            }
        }
    }

    /// Takes a report of a life that has not registered yet: the one that was led is over.
    fn take_other_life(&mut self, key: TargetKey, report: &RunReport, out: &mut Outbox) {
        let Some(target) = self.targets.get(&key) else { return };
        let mut record = target.record.clone();
        if report.born_at < record.born_at {
            // A delayed answer of a life that is over.
            return;
        }
        record.born_at = report.born_at;
        self.begin_life(key, record, out);
    }

    fn take_report(
        &mut self,
        key: TargetKey,
        sent_at: Moment,
        report: &RunReport,
        out: &mut Outbox,
    ) {
        let now = out.now;
        let Some(target) = self.targets.get_mut(&key) else { return };
        let was_silent = target.failed_holds > 0;
        target.failed_holds = 0;
        target.held_at = target.held_at.max(sent_at);
        target.clock = Some(ClockReading { clock_ms: report.clock_ms, read_at: now });
        let is_first = !target.is_led;
        if is_first || was_silent {
            log::info!(
                "event=target_led target={} first={is_first} running={} ended={}",
                target.record.name,
                report.running.len(),
                report.ended.len()
            );
        }
        target.is_led = true;
        target.is_same_life = true;
        let pool = target.record.pool.clone();
        let name = target.record.name.clone();
        let old_life = self.old_lives.get(&name);
        if old_life.is_some_and(|life| life.born_at <= report.born_at) {
            target.has_row = true;
            self.settle_life(&name);
        }
        for ended in &report.ended {
            let seen = self.targets.get(&key).map_or(0, |target| target.seen_end);
            if ended.number > seen {
                let change = self.take_end(key, ended, out);
                if let Some(target) = self.targets.get_mut(&key) {
                    target.seen_end = ended.number;
                    let end = UnstoredEnd { number: ended.number, run: ended.run, change };
                    target.unstored.push_back(end);
                }
            }
        }
        self.reconcile(key, sent_at, &report.running, out);
        self.advance_stored(key, now);
        if let Some(target) = self.targets.get_mut(&key) {
            let pause = if target.unstored.is_empty() { Duration::ZERO } else { UNSTORED_PAUSE };
            target.hold = HoldState::Pausing(now + pause);
        }
        self.stir(&pool);
        let is_due = self.targets.get(&key).is_some_and(Target::is_ready_to_hold);
        if is_due {
            self.send_hold(key, out);
        }
    }

    /// Looks at the clock that an answer told. One that has jumped is that of another life, which
    /// must report before anything else is started there.
    pub(super) fn check_clock(&mut self, key: TargetKey, clock_ms: u64, out: &Outbox) {
        let Some(target) = self.targets.get_mut(&key) else { return };
        if target.is_same_life && !target.is_own_clock(clock_ms, out.now) {
            log::warn!(
                "event=target_clock_jumped target={} clock_ms={clock_ms}",
                target.record.name
            );
            target.is_same_life = false;
            target.hold = HoldState::Pausing(out.now);
        }
    }

    /// Compares what a target runs with what it should run.
    fn reconcile(
        &mut self,
        key: TargetKey,
        sent_at: Moment,
        running: &[RunningTask],
        out: &mut Outbox,
    ) {
        let mut present = IndexSet::with_capacity(running.len());
        for row in running {
            present.insert(row.run.task);
            let known = self.targets.get_mut(&key).and_then(|target| {
                let run = target.runs.get_mut(&row.run.task)?;
                (run.attempt == row.run.attempt).then_some(run)
            });
            match known {
                Some(run) => {
                    run.take_progress(row, out.now);
                    if let Some(checkpoint) = &row.checkpoint {
                        self.keep_checkpoint(row.run.task, checkpoint);
                    }
                }
                None => self.take_unknown_run(key, row, out),
            }
        }
        let Some(target) = self.targets.get(&key) else { return };
        // A run that was confirmed before the report was asked for must be in it.
        let vanished: Vec<(TaskName, u32)> = target
            .runs
            .iter()
            .filter(|(task, run)| {
                run.confirmed_at.is_some_and(|at| at < sent_at) && !present.contains(*task)
            })
            .map(|(task, run)| (*task, run.attempt))
            .collect();
        for (task, attempt) in vanished {
            log::warn!("event=run_vanished task={task} attempt={attempt}");
            self.drop_run(key, task, out);
        }
    }

    /// Takes a run over that this scheduler has not started, or has it stopped.
    fn take_unknown_run(&mut self, key: TargetKey, row: &RunningTask, out: &mut Outbox) {
        let task = row.run.task;
        let job_key = self.job_keys.get(&task.job).copied();
        let job = job_key.and_then(|job_key| self.jobs.get_mut(&job_key));
        let mut run = Run::found(row, out.now);
        // What an unknown job asked for cannot be told, so nothing is started beside it.
        run.demand =
            self.targets.get(&key).map_or(Resources::NONE, |target| target.record.capacity);
        let mut is_wanted = false;
        if let Some(job) = job {
            run.demand = job.step_spec(task).map_or(run.demand, |step| step.demand);
            run.is_long = job.step_spec(task).is_some_and(|step| step.long_running);
            run.team.clone_from(&job.team);
            run.is_unknown = false;
            is_wanted = job.ending.is_none()
                && job.task(task).is_some_and(|known| known.state == TaskState::Waiting);
            if is_wanted {
                job.has_started = true;
                run.job = job_key;
                if let Some(step) = job.step_mut(task) {
                    step.set_state(task.index, TaskState::Placed(key));
                }
                if let Some(known) = job.task_mut(task) {
                    known.attempt = known.attempt.max(row.run.attempt);
                    known.away_since = None;
                }
            }
        }
        if !is_wanted {
            run.stage = RunStage::Stopping;
            self.due_orders.push((key, task));
        }
        log::info!(
            "event=run_found task={task} attempt={} target={} kept={is_wanted}",
            row.run.attempt,
            self.target_name(key)
        );
        if self.records.has_gaps() {
            self.unrecorded.insert(key);
        }
        self.charge_team(&run);
        if let Some(target) = self.targets.get_mut(&key) {
            target.add_run(task, run);
        }
    }

    /// Lets a target forget the ends that are stored.
    ///
    /// The scheduler before may still doubt that a task has run which ended here, and start it once
    /// more where this scheduler has not reported yet. So nothing is forgotten until all targets
    /// obey this scheduler, or the one before starts no such task any more.
    pub(super) fn advance_stored(&mut self, key: TargetKey, now: Moment) {
        if !self.is_accounted && now < self.taken_at + TRUST_TIME + LEASE_SLACK {
            return;
        }
        let Some(target) = self.targets.get_mut(&key) else { return };
        while let Some(end) = target.unstored.front() {
            let is_stored = end.change.is_none_or(|(job, change)| {
                let job = self.job_keys.get(&job).and_then(|key| self.jobs.get(key));
                // The end of a job that is not known any more was stored with its outcome.
                job.is_none_or(|job| job.stored_changes >= change)
            });
            if !is_stored {
                break;
            }
            target.stored_end = end.number;
            target.unstored.pop_front();
        }
    }

    /// Gives up the targets whose leases are over and which do not answer, or which have left.
    pub(super) fn check_targets(&mut self, out: &mut Outbox) {
        let now = out.now;
        let lost: Vec<(TargetKey, Option<TargetLoss>)> = self
            .targets
            .iter()
            .filter(|(_, target)| target.failed_holds > 0)
            .filter_map(|(key, target)| {
                // Another scheduler may have extended the lease since the store last confirmed
                // this one.
                let is_over = target.is_lease_over(self.confirmed_at) || !target.is_led;
                let is_gone = target
                    .missing_since
                    .is_some_and(|at| now.since(at) > self.identity.times.registration_grace);
                let has_runs = !target.runs.is_empty();
                let loss = match (is_gone, target.is_led) {
                    (false, _) => None,
                    (true, true) => Some(TargetLoss::LeaseOver),
                    (true, false) => Some(TargetLoss::NeverHeard),
                };
                (is_over && (is_gone || has_runs)).then_some((*key, loss))
            })
            .collect();
        for (key, loss) in lost {
            match loss {
                Some(loss) => self.remove_target(key, loss, out),
                None => self.lose_runs(key, out),
            }
        }
    }

    /// Restarts elsewhere what ran on a target whose lease is over.
    fn lose_runs(&mut self, key: TargetKey, out: &mut Outbox) {
        let Some(target) = self.targets.get(&key) else { return };
        let tasks: Vec<TaskName> = target.runs.keys().copied().collect();
        log::warn!("event=lease_over target={} runs={}", target.record.name, tasks.len());
        for task in tasks {
            self.drop_run(key, task, out);
        }
    }

    /// Calls a target.
    pub(super) fn call_target(
        &mut self,
        key: TargetKey,
        kind: TargetCall,
        request: TargetRequest,
        timeout: Duration,
        out: &mut Outbox,
    ) -> Option<crate::CallId> {
        let target = self.targets.get(&key)?;
        let call = out.next_call();
        out.push(crate::NodeAction::Target {
            call,
            target: target.record.name.clone(),
            address: target.record.address,
            request,
            timeout,
        });
        self.target_calls.insert(call, kind);
        Some(call)
    }
}

impl Target {
    /// Returns whether nothing keeps the next hold back.
    fn is_ready_to_hold(&self) -> bool {
        self.is_led && self.failed_holds == 0 && self.unstored.is_empty()
    }
}

impl Run {
    /// Makes a run that was found on a target.
    fn found(row: &RunningTask, now: Moment) -> Self {
        Self {
            attempt: row.run.attempt,
            job: None,
            team: None,
            demand: Resources::NONE,
            is_long: false,
            is_unknown: true,
            stage: RunStage::Running,
            since: now,
            confirmed_at: Some(now),
            percent: row.percent,
            progressed_at: now,
            unanswered: 0,
            estimate_ms: 0,
        }
    }

    /// Takes what a report says of the run.
    fn take_progress(&mut self, row: &RunningTask, now: Moment) {
        if self.stage == RunStage::Starting {
            self.stage = RunStage::Running;
        }
        self.confirmed_at.get_or_insert(now);
        if row.percent != self.percent {
            self.percent = row.percent;
            self.progressed_at = now;
        }
    }
}

/// Returns whether a failed call may have been carried out.
pub(super) fn may_be_done(failure: CallFailure) -> bool {
    failure == CallFailure::Unknown
}
