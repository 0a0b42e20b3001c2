//! A target in memory: runs tasks under leases and a fence.

use std::collections::BTreeMap;
use std::time::Duration;

use magnoliapin_model::Moment;
use magnoliapin_model::UnixMillis;
use magnoliapin_site::EndedRun;
use magnoliapin_site::Resources;
use magnoliapin_site::RunEnd;
use magnoliapin_site::RunId;
use magnoliapin_site::RunReport;
use magnoliapin_site::RunningTask;
use magnoliapin_site::StartRefusal;
use magnoliapin_site::TargetRecord;
use magnoliapin_site::TargetReply;
use magnoliapin_site::TargetRequest;
use magnoliapin_site::TaskName;

use crate::site;

/// One life of a target.
pub(crate) struct FakeTarget {
    pub(crate) record: TargetRecord,
    pub(crate) zone: usize,
    pub(crate) is_up: bool,
    /// When its life began, and its clock's offset and rate.
    started: Moment,
    clock_offset_ms: u64,
    clock_rate: f64,
    fence: u64,
    lease_until_ms: u64,
    running: BTreeMap<TaskName, FakeRun>,
    /// Highest number of a run that was stopped or has ended, by task.
    over: BTreeMap<TaskName, u32>,
    ended: Vec<EndedRun>,
    last_end: u64,
    /// Ends up to this number were acknowledged.
    pub(crate) acknowledged: u64,
    used: Resources,
}

#[derive(Clone, Copy)]
struct FakeRun {
    attempt: u32,
    demand: Resources,
    started: Moment,
    ends_at: Moment,
    end: RunEnd,
    is_stopping: bool,
}

/// How a task behaves.
#[derive(Clone, Copy)]
pub(crate) struct TaskPlan {
    pub(crate) demand: Resources,
    pub(crate) length: Duration,
    pub(crate) end: RunEnd,
}

impl FakeTarget {
    pub(crate) fn new(record: TargetRecord, zone: usize, now: Moment, clock_rate: f64) -> Self {
        let clock_offset_ms = record.born_at.0 % 100_000;
        Self {
            record,
            zone,
            is_up: true,
            started: now,
            clock_offset_ms,
            clock_rate,
            fence: 0,
            lease_until_ms: 0,
            running: BTreeMap::new(),
            over: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            acknowledged: 0,
            used: Resources::NONE,
        }
    }

    fn clock(&self, now: Moment) -> u64 {
        let passed = now.since(self.started).as_secs_f64() * 1000.0 * self.clock_rate;
        self.clock_offset_ms + passed as u64
    }

    /// Ends what has ended by now. Returns the ends.
    pub(crate) fn advance(&mut self, now: Moment) -> Vec<EndedRun> {
        let is_over = self.clock(now) >= self.lease_until_ms;
        let over: Vec<(TaskName, RunEnd)> = self
            .running
            .iter()
            .filter(|(_, run)| is_over || run.ends_at <= now)
            .map(|(task, run)| {
                (*task, if is_over && run.ends_at > now { RunEnd::LeaseOver } else { run.end })
            })
            .collect();
        over.into_iter().filter_map(|(task, end)| self.finish(task, end)).collect()
    }

    fn finish(&mut self, task: TaskName, end: RunEnd) -> Option<EndedRun> {
        let run = self.running.remove(&task)?;
        self.used = self.used.less(run.demand);
        self.last_end += 1;
        let over = self.over.entry(task).or_default();
        *over = (*over).max(run.attempt);
        let id = RunId { task, attempt: run.attempt };
        let ended = EndedRun { number: self.last_end, run: id, end, checkpoint: None };
        self.ended.push(ended.clone());
        Some(ended)
    }

    pub(crate) fn running_tasks(&self) -> Vec<TaskName> {
        self.running.keys().copied().collect()
    }

    pub(crate) fn used(&self) -> Resources {
        self.used
    }

    /// Returns whether a stop would end a run that is not being stopped yet.
    pub(crate) fn would_stop(&self, run: RunId, fence: u64) -> bool {
        let known = self.running.get(&run.task);
        fence >= self.fence
            && known.is_some_and(|known| known.attempt == run.attempt && !known.is_stopping)
    }

    /// Returns whether a hold has something to tell.
    pub(crate) fn has_ends(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Takes what a hold brings: the fence, the lease and the acknowledgement.
    pub(crate) fn take_hold(
        &mut self,
        request: &TargetRequest,
        now: Moment,
    ) -> Option<TargetReply> {
        let TargetRequest::Hold { fence, stored_end, lease_until_ms, .. } = request else {
            return None;
        };
        if *fence < self.fence {
            return Some(self.refusal(StartRefusal::Fenced, now));
        }
        self.fence = *fence;
        if let Some(until) = lease_until_ms {
            self.extend(*until, now);
        }
        self.acknowledged = self.acknowledged.max(*stored_end);
        self.ended.retain(|ended| ended.number > *stored_end);
        None
    }

    pub(crate) fn report(&self, now: Moment) -> TargetReply {
        let running = self.running.iter().map(|(task, run)| RunningTask {
            run: RunId { task: *task, attempt: run.attempt },
            checkpoint: None,
            percent: (now.since(run.started).as_millis() / 10) as u32,
            gauge: None,
        });
        TargetReply::Report(RunReport {
            clock_ms: self.clock(now),
            born_at: self.record.born_at,
            running: running.collect(),
            ended: self.ended.clone(),
        })
    }

    fn extend(&mut self, until: u64, now: Moment) {
        let most = self.clock(now) + site::MAX_LEASE.as_millis() as u64;
        self.lease_until_ms = self.lease_until_ms.max(until.min(most));
    }

    fn refusal(&self, reason: StartRefusal, now: Moment) -> TargetReply {
        TargetReply::Refused { clock_ms: Some(self.clock(now)), reason }
    }

    /// Carries out a start. Returns the answer and whether a run began.
    pub(crate) fn start(
        &mut self,
        request: &TargetRequest,
        plan: &TaskPlan,
        now: Moment,
    ) -> (TargetReply, bool) {
        let TargetRequest::Start { run, lease_until_ms, fence, .. } = request else {
            return (self.refusal(StartRefusal::Malformed, now), false);
        };
        if *fence < self.fence {
            return (self.refusal(StartRefusal::Fenced, now), false);
        }
        self.fence = *fence;
        if *lease_until_ms <= self.clock(now) {
            return (self.refusal(StartRefusal::LeaseOver, now), false);
        }
        self.extend(*lease_until_ms, now);
        if let Some(known) = self.running.get(&run.task) {
            let reply = match known.attempt == run.attempt {
                true => TargetReply::Done { clock_ms: self.clock(now) },
                false => self.refusal(StartRefusal::Outdated, now),
            };
            return (reply, false);
        }
        if self.over.get(&run.task).is_some_and(|over| run.attempt <= *over) {
            return (self.refusal(StartRefusal::Outdated, now), false);
        }
        if !(self.used + plan.demand).fits(self.record.capacity) {
            return (self.refusal(StartRefusal::NoRoom, now), false);
        }
        self.used += plan.demand;
        let fake = FakeRun {
            attempt: run.attempt,
            demand: plan.demand,
            started: now,
            ends_at: now + plan.length,
            end: plan.end,
            is_stopping: false,
        };
        self.running.insert(run.task, fake);
        (TargetReply::Done { clock_ms: self.clock(now) }, true)
    }

    /// Carries out a stop.
    pub(crate) fn stop(&mut self, run: RunId, fence: u64, now: Moment) -> TargetReply {
        if fence < self.fence {
            return self.refusal(StartRefusal::Fenced, now);
        }
        self.fence = fence;
        match self.running.get_mut(&run.task) {
            Some(known) if known.attempt == run.attempt && !known.is_stopping => {
                known.is_stopping = true;
                known.end = RunEnd::Stopped;
                known.ends_at = known.ends_at.min(now + site::STOP_GRACE / 2);
            }
            Some(known) if known.attempt == run.attempt => {}
            _ => {
                let over = self.over.entry(run.task).or_default();
                *over = (*over).max(run.attempt);
            }
        }
        TargetReply::Done { clock_ms: self.clock(now) }
    }

    /// Begins another life, which has forgotten everything.
    pub(crate) fn reborn(&self, now: Moment, wall: UnixMillis) -> Self {
        let mut record = self.record.clone();
        record.born_at = wall;
        Self::new(record, self.zone, now, self.clock_rate)
    }
}
