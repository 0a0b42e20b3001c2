//! The whole of an entry's decisions as one state machine.

mod admission;
mod applies;
mod dispatch;
mod fleet_view;
mod jobs;
mod membership;
mod outcomes;
mod ownership;
mod peer_messages;
mod planned_stop;
mod polls;
mod quota_slices;
mod retention;
mod takeover;
mod task_leases;
mod views;

pub use fleet_view::KnownTarget;

use indexmap::IndexMap;
use magnoliapin_model::ConfigVersion;
use magnoliapin_model::EntryId;
use magnoliapin_model::Moment;
use magnoliapin_model::TeamId;
use magnoliapin_wire::CallerBody;
use magnoliapin_wire::CallerRequest;
use magnoliapin_wire::PlatformReply;
use magnoliapin_wire::TargetReply;

use self::applies::PendingApply;
use self::membership::MembershipState;
use self::retention::RetentionState;
use self::takeover::TakeoverState;
use crate::allotment::AllotmentBook;
use crate::commit::ChangeResult;
use crate::commit::ChangeTag;
use crate::commit::CommitQueue;
use crate::config::ConfigKeeper;
use crate::line::WaitingLines;
use crate::outbox::Outbox;
use crate::pace::PaceMeter;
use crate::peers::PeerBook;
use crate::reads::ReadQueue;
use crate::run_times::RunTimes;
use crate::targets::TargetBook;
use crate::tasks::TaskBook;
use crate::work::WorkBook;
use crate::CallId;
use crate::EntryAction;
use crate::EntryEvent;
use crate::EntryIdentity;
use crate::PolicyCounts;
use crate::PolicyOptions;
use crate::PolicyTimes;
use crate::TimelineEvent;
use crate::TimelineName;

/// Decides everything that an entry does. It does no I/O and reads no clock.
#[derive(Debug)]
pub struct EntryMachine {
    identity: EntryIdentity,
    times: PolicyTimes,
    options: PolicyOptions,
    out: Outbox,
    config: ConfigKeeper,
    peers: PeerBook,
    targets: TargetBook,
    allotments: AllotmentBook,
    tasks: TaskBook,
    work: WorkBook,
    request_lines: WaitingLines,
    job_lines: WaitingLines,
    pace: PaceMeter,
    run_times: RunTimes,
    job_commits: CommitQueue,
    control_commits: CommitQueue,
    reads: ReadQueue,
    membership: MembershipState,
    takeovers: IndexMap<EntryId, TakeoverState>,
    applies: Vec<PendingApply>,
    retention: RetentionState,
    /// Teams of callers whose jobs are being read.
    callers_team: IndexMap<CallId, TeamId>,
    /// Entries that a change in flight moves a part to.
    part_receivers: IndexMap<TeamId, EntryId>,
    was_fresh: bool,
    was_ready: bool,
}

impl EntryMachine {
    /// Makes the machine of an entry that has just started.
    pub fn new(identity: EntryIdentity, seed: u64) -> Self {
        Self {
            identity,
            times: PolicyTimes::default(),
            options: PolicyOptions::default(),
            out: Outbox::new(seed),
            config: ConfigKeeper::default(),
            peers: PeerBook::default(),
            targets: TargetBook::default(),
            allotments: AllotmentBook::default(),
            tasks: TaskBook::default(),
            work: WorkBook::default(),
            request_lines: WaitingLines::default(),
            job_lines: WaitingLines::default(),
            pace: PaceMeter::default(),
            run_times: RunTimes::default(),
            job_commits: CommitQueue::default(),
            control_commits: CommitQueue::default(),
            reads: ReadQueue::default(),
            membership: MembershipState::default(),
            takeovers: IndexMap::new(),
            applies: Vec::new(),
            retention: RetentionState::default(),
            callers_team: IndexMap::new(),
            part_receivers: IndexMap::new(),
            was_fresh: false,
            was_ready: false,
        }
    }

    /// Sets other time bounds.
    #[must_use]
    pub fn with_times(mut self, times: PolicyTimes) -> Self {
        self.times = times;
        self
    }

    /// Sets other ways to decide.
    #[must_use]
    pub fn with_options(mut self, options: PolicyOptions) -> Self {
        self.options = options;
        if !options.group_commit {
            self.job_commits.send_singly();
        }
        self
    }

    /// Returns what the entry knows of itself.
    pub fn identity(&self) -> &EntryIdentity {
        &self.identity
    }

    /// Returns the counters.
    pub fn counts(&self) -> PolicyCounts {
        self.out.counts
    }

    /// Returns the version of the configuration in force here.
    pub fn config_version(&self) -> ConfigVersion {
        self.config.version
    }

    /// Returns whether the entry takes new work, for `/readyz`.
    pub fn is_ready(&self) -> bool {
        !self.membership.is_stopping() && self.has_started()
    }

    /// Returns whether the entry knows that its configuration is current.
    pub fn is_fresh(&self, now: Moment) -> bool {
        self.config.is_fresh(now, &self.times)
    }

    /// Takes one event and adds what is to be done to `actions`.
    pub fn handle(&mut self, now: Moment, event: EntryEvent, actions: &mut Vec<EntryAction>) {
        self.out.now = now.max(self.out.now);
        match event {
            EntryEvent::Tick => self.tick(),
            EntryEvent::Caller { call, request } => self.take_request(call, request),
            EntryEvent::CallerGone(call) => self.drop_caller(call),
            EntryEvent::Platform { call, reply } => self.take_platform(call, reply),
            EntryEvent::Target { call, reply } => self.take_target(call, reply),
            EntryEvent::Peer { from, address, message } => self.take_peer(from, address, message),
            EntryEvent::WallClock(wall) => self.retention.take_wall(self.out.now, wall),
            EntryEvent::Stop => self.begin_stop(),
        }
        self.pump();
        self.out.take_actions(actions);
    }

    fn has_started(&self) -> bool {
        self.config.version.0 > 0 && self.targets.is_listed && self.membership.is_registered()
    }

    /// Does what only the passing of time calls for.
    fn tick(&mut self) {
        self.end_pauses();
        self.expire_requests();
        self.expire_bindings();
        self.expire_accepts();
        self.expire_cancels();
        self.expire_applies();
        self.release_targets();
        self.settle_lost_tasks();
        self.poll();
        self.assign_targets();
        self.probe_peers();
        self.renew_lease();
        self.renew_tasks();
        self.plan_parts();
        self.watch_entries();
        self.advance_takeovers();
        self.sweep_ended();
        self.note_changes();
        self.advance_stop();
    }

    /// Does what may follow from any event.
    fn pump(&mut self) {
        self.dispatch();
        self.advance_applies();
        self.config.pump(&mut self.out, &self.times);
        self.tasks.pump(&mut self.out);
        self.job_commits.pump(&mut self.out, &self.times);
        self.control_commits.pump(&mut self.out, &self.times);
        let given_up = self.reads.pump(&mut self.out, &self.times);
        for result in given_up {
            self.take_read(&result);
        }
    }

    fn take_request(&mut self, call: CallId, request: CallerRequest) {
        let CallerRequest { key, body } = request;
        match body {
            CallerBody::Run { queue, payload, timeout_ms } => {
                self.admit_request(call, key, queue, payload, timeout_ms);
            }
            CallerBody::Submit { queue, payload, idempotency_key } => {
                self.admit_job(call, key, queue, payload, idempotency_key);
            }
            CallerBody::ReadJob(job) => self.read_job(call, key, job),
            CallerBody::CancelJob(job) => self.cancel_job(call, key, job),
            CallerBody::ApplyConfig(change) => self.admit_apply(call, key, change),
            CallerBody::ShowConfig => self.show_config(call, key),
            CallerBody::ShowStatus => self.show_status(call),
            CallerBody::ShowInstances => self.show_instances(call),
            CallerBody::ShowPools => self.show_pools(call),
        }
    }

    fn take_platform(&mut self, call: CallId, reply: PlatformReply) {
        self.membership.note_platform(&reply, &mut self.out);
        if self.config.take_reply(call, &reply, &mut self.out, &self.times) {
            return;
        }
        if let Some(results) = self.job_commits.take_reply(call, &reply, &mut self.out) {
            results.into_iter().for_each(|result| self.take_change(result));
            return;
        }
        if let Some(results) = self.control_commits.take_reply(call, &reply, &mut self.out) {
            results.into_iter().for_each(|result| self.take_change(result));
            return;
        }
        if let Some(results) = self.reads.take_reply(call, &reply, &mut self.out) {
            results.into_iter().for_each(|result| self.take_read(&result));
            return;
        }
        if self.take_scan(call, &reply) || self.take_ended_page(call, &reply) {
            return;
        }
        self.take_poll(call, reply);
    }

    /// Hands word of a row change to whom it is for.
    fn take_change(&mut self, result: ChangeResult) {
        let ChangeResult { change, outcome } = result;
        match change.tag {
            ChangeTag::Allot(team) => self.take_part_change(team, outcome),
            ChangeTag::Renew => self.take_renewal(&outcome),
            ChangeTag::Claim(lost) => self.take_claim(lost, &outcome),
            ChangeTag::Forget(lost) => self.take_forgotten(lost),
            ChangeTag::Adopt(work) => self.take_adopted(work, &outcome),
            ChangeTag::Apply => self.take_applied(&outcome),
            tag => self.take_job_change(tag, outcome),
        }
    }

    fn take_target(&mut self, call: CallId, reply: TargetReply) {
        if self.take_entry_tasks(call, &reply) {
            return;
        }
        self.take_task(call, reply);
    }

    /// Records changes of state for the time line.
    fn note_changes(&mut self) {
        let fresh = self.is_fresh(self.out.now);
        if fresh != std::mem::replace(&mut self.was_fresh, fresh) {
            let name = if fresh { TimelineName::ConfigFresh } else { TimelineName::ConfigStale };
            self.out.record(TimelineEvent::new(name));
        }
        let ready = self.is_ready();
        if ready && !std::mem::replace(&mut self.was_ready, ready) {
            self.out.record(TimelineEvent::new(TimelineName::EntryReady));
        }
    }
}
