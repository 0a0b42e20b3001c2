//! State machine that makes every decision of an entry.

mod admission;
mod applies;
mod crashes;
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
use crate::allotment::AllotmentRegistry;
use crate::commit::ChangeResult;
use crate::commit::ChangeTag;
use crate::commit::CommitQueue;
use crate::config::ConfigState;
use crate::outbox::Outbox;
use crate::peers::PeerRegistry;
use crate::reads::ReadQueue;
use crate::run_times::RunTimes;
use crate::start_rate_meter::StartRateMeter;
use crate::targets::TargetRegistry;
use crate::tasks::TaskRegistry;
use crate::wait_queues::WaitQueues;
use crate::work::WorkRegistry;
use crate::CallId;
use crate::EntryAction;
use crate::EntryEvent;
use crate::EntryIdentity;
use crate::PolicyCounts;
use crate::PolicyOptions;
use crate::PolicyTimes;
use crate::TimelineEvent;
use crate::TimelineName;

/// Decides everything that an entry does, without I/O and without reading a clock.
#[derive(Debug)]
pub struct EntryMachine {
    identity: EntryIdentity,
    times: PolicyTimes,
    options: PolicyOptions,
    out: Outbox,
    config: ConfigState,
    peers: PeerRegistry,
    targets: TargetRegistry,
    allotments: AllotmentRegistry,
    tasks: TaskRegistry,
    work: WorkRegistry,
    request_wait_queues: WaitQueues,
    job_wait_queues: WaitQueues,
    start_rates: StartRateMeter,
    run_times: RunTimes,
    job_commits: CommitQueue,
    control_commits: CommitQueue,
    reads: ReadQueue,
    membership: MembershipState,
    takeovers: IndexMap<EntryId, TakeoverState>,
    pending_applies: Vec<PendingApply>,
    retention: RetentionState,
    /// Team of each caller for which a job's rows are being read.
    caller_teams: IndexMap<CallId, TeamId>,
    /// Entry that receives slots of this entry's quota slice by the change in flight, by team.
    slice_receivers: IndexMap<TeamId, EntryId>,
    was_fresh: bool,
    was_ready: bool,
}

impl EntryMachine {
    /// Creates the machine of an entry that has just started.
    pub fn new(identity: EntryIdentity, seed: u64) -> Self {
        Self {
            identity,
            times: PolicyTimes::default(),
            options: PolicyOptions::default(),
            out: Outbox::new(seed),
            config: ConfigState::default(),
            peers: PeerRegistry::default(),
            targets: TargetRegistry::default(),
            allotments: AllotmentRegistry::default(),
            tasks: TaskRegistry::default(),
            work: WorkRegistry::default(),
            request_wait_queues: WaitQueues::default(),
            job_wait_queues: WaitQueues::default(),
            start_rates: StartRateMeter::default(),
            run_times: RunTimes::default(),
            job_commits: CommitQueue::default(),
            control_commits: CommitQueue::default(),
            reads: ReadQueue::default(),
            membership: MembershipState::default(),
            takeovers: IndexMap::new(),
            pending_applies: Vec::new(),
            retention: RetentionState::default(),
            caller_teams: IndexMap::new(),
            slice_receivers: IndexMap::new(),
            was_fresh: false,
            was_ready: false,
        }
    }

    /// Replaces the default timings.
    #[must_use]
    pub fn with_times(mut self, times: PolicyTimes) -> Self {
        self.times = times;
        self
    }

    /// Replaces the default options.
    #[must_use]
    pub fn with_options(mut self, options: PolicyOptions) -> Self {
        self.options = options;
        if !options.group_commit {
            self.job_commits.disable_batching();
        }
        self
    }

    /// Returns the entry's identifier, zone and addresses.
    pub fn identity(&self) -> &EntryIdentity {
        &self.identity
    }

    /// Returns the counters since the start of this incarnation.
    pub fn counts(&self) -> PolicyCounts {
        self.out.counts
    }

    /// Returns the version of the configuration in force at this entry.
    pub fn config_version(&self) -> ConfigVersion {
        self.config.version
    }

    /// Returns whether the entry accepts new work, for `/readyz`.
    pub fn is_ready(&self) -> bool {
        !self.membership.is_stopping() && self.has_started()
    }

    /// Returns whether the configuration was confirmed as current recently enough.
    pub fn is_fresh(&self, now: Moment) -> bool {
        self.config.is_fresh(now, &self.times)
    }

    /// Handles one event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Moment, event: EntryEvent, actions: &mut Vec<EntryAction>) {
        self.out.now = now.max(self.out.now);
        match event {
            EntryEvent::Tick => self.tick(),
            EntryEvent::Caller { call, request } => self.handle_request(call, request),
            EntryEvent::CallerDisconnected(call) => self.drop_caller(call),
            EntryEvent::Platform { call, reply } => self.handle_platform_reply(call, reply),
            EntryEvent::Target { call, reply } => self.handle_target_reply(call, reply),
            EntryEvent::Peer { from, address, message } => {
                self.handle_peer_message(from, address, message);
            }
            EntryEvent::WallClock(wall) => self.retention.set_wall_clock(self.out.now, wall),
            EntryEvent::Stop => self.start_planned_stop(),
        }
        self.pump();
        self.out.take_actions(actions);
    }

    fn has_started(&self) -> bool {
        self.config.version.0 > 0 && self.targets.is_listed && self.membership.is_registered()
    }

    /// Runs the time-driven work.
    fn tick(&mut self) {
        self.requeue_after_backoff();
        self.expire_requests();
        self.expire_bindings();
        self.expire_accepts();
        self.expire_cancels();
        self.expire_applies();
        self.release_quarantined_targets();
        self.handle_lost_tasks();
        self.poll();
        self.assign_targets();
        self.send_heartbeats();
        self.renew_lease();
        self.renew_task_leases();
        self.plan_slices();
        self.claim_lost_entries();
        self.advance_takeovers();
        self.sweep_finished_jobs();
        self.record_state_changes();
        self.advance_stop();
    }

    /// Runs the work that any event can make possible.
    fn pump(&mut self) {
        self.dispatch();
        self.advance_applies();
        self.config.pump(&mut self.out, &self.times);
        self.tasks.pump(&mut self.out);
        self.job_commits.pump(&mut self.out, &self.times);
        self.control_commits.pump(&mut self.out, &self.times);
        let given_up = self.reads.pump(&mut self.out, &self.times);
        for result in given_up {
            self.handle_read_result(&result);
        }
    }

    fn handle_request(&mut self, call: CallId, request: CallerRequest) {
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

    fn handle_platform_reply(&mut self, call: CallId, reply: PlatformReply) {
        self.membership.record_platform_reply(&reply, &mut self.out);
        if self.config.handle_reply(call, &reply, &mut self.out, &self.times) {
            return;
        }
        if let Some(results) = self.job_commits.handle_reply(call, &reply, &mut self.out) {
            results.into_iter().for_each(|result| self.handle_change_result(result));
            return;
        }
        if let Some(results) = self.control_commits.handle_reply(call, &reply, &mut self.out) {
            results.into_iter().for_each(|result| self.handle_change_result(result));
            return;
        }
        if let Some(results) = self.reads.handle_reply(call, &reply, &mut self.out) {
            results.into_iter().for_each(|result| self.handle_read_result(&result));
            return;
        }
        if self.handle_scan_reply(call, &reply) || self.handle_sweep_reply(call, &reply) {
            return;
        }
        self.handle_poll_reply(call, reply);
    }

    /// Passes the outcome of a row change to the handler for its tag.
    fn handle_change_result(&mut self, result: ChangeResult) {
        let ChangeResult { change, outcome } = result;
        match change.tag {
            ChangeTag::ChangeSlice(team) => self.handle_slice_change(team, outcome),
            ChangeTag::Renew => self.handle_lease_renewal(&outcome),
            ChangeTag::Claim(lost) => self.handle_claim_result(lost, &outcome),
            ChangeTag::RemoveEntry(lost) => self.handle_removal_result(lost),
            ChangeTag::Adopt(work) => self.handle_adoption_result(work, &outcome),
            ChangeTag::Apply => self.handle_apply_result(&outcome),
            tag => self.handle_job_change(tag, outcome),
        }
    }

    fn handle_target_reply(&mut self, call: CallId, reply: TargetReply) {
        if self.handle_entry_reply(call, &reply) {
            return;
        }
        self.handle_task_reply(call, reply);
    }

    /// Records changes of the configuration's freshness, and the first readiness, in the timeline.
    fn record_state_changes(&mut self) {
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
