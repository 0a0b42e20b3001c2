//! The leader: schedules all jobs while this node owns the lease.
//!
//! Targets execute only what the leader orders. Every order carries a fence, the generation of the
//! leader's lease or a higher number for an incarnation that began under this leader, and a target
//! refuses orders with a lower one. The leader reads jobs
//! from the store, starts their tasks, and stores each completion before it acknowledges it to the
//! target.

mod agent_link;
mod agent_links;
mod challenges;
mod cold_targets;
mod commit;
mod completions;
mod crash_evidence;
mod crashes;
mod delegation;
mod dispatch;
mod fleet;
mod heartbeats;
mod host_index;
mod incarnations;
mod intake;
mod isolation;
mod job;
mod job_ledger;
mod late_starts;
mod lease;
mod orders;
mod placement;
mod previous_runs;
mod queue_statistics;
mod reconciliation;
mod records;
mod recovery;
mod registrations;
mod submissions;
mod target;
mod unused_registrations;
mod uploads;
mod zone_evacuation;

use std::rc::Rc;

use indexmap::IndexMap;
use indexmap::IndexSet;
use magnoliapin_model::ByteSize;
use magnoliapin_model::Moment;
use magnoliapin_model::RowVersion;
use magnoliapin_site::JobId;
use magnoliapin_site::JobState;
use magnoliapin_site::NodeProfile;
use magnoliapin_site::PeerReply;
use magnoliapin_site::PoolName;
use magnoliapin_site::QueueName;
use magnoliapin_site::Resources;
use magnoliapin_site::RunId;
use magnoliapin_site::SiteConfig;
use magnoliapin_site::StoreLimits;
use magnoliapin_site::StoreReply;
use magnoliapin_site::StoreRequest;
use magnoliapin_site::TargetName;
use magnoliapin_site::TargetReply;
use magnoliapin_site::TaskName;
use magnoliapin_site::TeamName;
use magnoliapin_site::UploadId;
use magnoliapin_site::WaveState;

use self::agent_links::AgentLinks;
use self::commit::PartitionCommit;
use self::crashes::LapsedIncarnation;
use self::fleet::Fleet;
use self::host_index::HostIndex;
use self::incarnations::FormerFences;
use self::intake::Reload;
use self::job::Job;
use self::job::JobKey;
use self::job_ledger::JobLedger;
use self::late_starts::LateStarts;
use self::lease::Renewal;
use self::previous_runs::PreviousIncarnation;
use self::previous_runs::SilentTargets;
use self::previous_runs::UnconfirmedRun;
use self::queue_statistics::QueueStatistics;
use self::records::RecordBatch;
use self::records::RecordLog;
use self::recovery::AssignmentLoad;
use self::recovery::PartitionLoad;
pub(crate) use self::submissions::Requester;
use self::target::Target;
use self::target::TargetKey;
use self::unused_registrations::UnusedRegistrations;
use self::uploads::UploadCleaner;
use self::uploads::UploadRemoval;
use self::zone_evacuation::ZoneEvacuation;
use crate::decisions::team_shares::TeamShares;
use crate::election::AcquiredLease;
use crate::outbox::Outbox;
use crate::rows::LateStartRow;
use crate::watch::Watch;
use crate::CallId;
use crate::NodeTimes;

/// Identity and limits of the leader.
#[derive(Clone, Debug)]
pub(crate) struct LeaderIdentity {
    pub(crate) profile: NodeProfile,
    pub(crate) partition_count: u32,
    pub(crate) times: NodeTimes,
    /// Rate limit of orders to instances, per second.
    pub(crate) instance_orders_per_s: f64,
    /// Rate limit of reads of the list of instances, in pages per second.
    pub(crate) instance_lists_per_s: f64,
    pub(crate) store_limits: StoreLimits,
    /// Memory of the machine that the process may use.
    pub(crate) memory: ByteSize,
}

/// State of the leader.
#[derive(Debug)]
pub(crate) struct Leader {
    identity: LeaderIdentity,
    generation: u64,
    acquired_at: Moment,
    /// When the latest write that the store has confirmed under the control partition's fence was sent.
    confirmed_at: Moment,
    config: Rc<SiteConfig>,
    partitions: Vec<Partition>,
    /// Version of the fence of the control partition, which contains no jobs.
    control_fence: RowVersion,
    /// Targets whose assignment rows can be removed from the store.
    obsolete_rows: Vec<TargetName>,
    assignment_load: AssignmentLoad,
    phase: LeaderPhase,
    calls: IndexMap<CallId, LeaderCall>,
    target_calls: IndexMap<CallId, SentCall>,
    jobs: IndexMap<JobKey, Job>,
    job_keys: IndexMap<JobId, JobKey>,
    last_job_key: u64,
    /// Jobs that this leader has finished recently.
    finished_jobs: IndexMap<JobId, JobState>,
    /// When it last removed some of them, or took over without those of the leader before.
    forgot_finished_at: Moment,
    /// Cancellation requests that wait until the final state of their job is stored.
    pending_cancellations: IndexMap<JobId, Vec<Requester>>,
    targets: IndexMap<TargetKey, Target>,
    former_fences: FormerFences,
    target_keys: IndexMap<TargetName, TargetKey>,
    hosts: HostIndex,
    last_target_key: u64,
    pools: IndexMap<PoolName, Pool>,
    team_use: IndexMap<TeamName, Resources>,
    team_shares: TeamShares,
    job_ledger: JobLedger,
    upload_cleaner: UploadCleaner,
    /// Incarnations of targets that may execute runs of the previous leader and have not reported
    /// yet.
    previous_incarnations: IndexMap<TargetName, PreviousIncarnation>,
    /// Latest run of each task that these incarnations may execute.
    unconfirmed_runs: IndexMap<TaskName, UnconfirmedRun>,
    /// Whether all runs of the previous leader are resolved.
    previous_runs_resolved: bool,
    silent_targets: SilentTargets,
    late_starts: LateStarts,
    /// Starts that the leader before has listed, until all jobs are loaded.
    inherited_late_starts: Vec<LateStartRow>,
    /// When the log last listed the runs that are not resolved.
    unresolved_logged_at: Moment,
    /// Targets with runs that are not recorded in the store yet.
    unrecorded: IndexSet<TargetKey>,
    records: RecordLog,
    intake: Option<Watch>,
    reload: Reload,
    registrations: Watch,
    unused_registrations: UnusedRegistrations,
    /// Targets that the list being read has contained so far.
    listed_targets: IndexSet<TargetName>,
    renewal: Renewal,
    /// Number of jobs per queue without a started task, as last published in the lease. Until all
    /// jobs are loaded, these are the numbers that the previous leader published.
    waiting_jobs: Vec<(QueueName, u64)>,
    /// Starts and stops of runs that are sent at the end of the current batch of events.
    due_orders: Vec<(TargetKey, TaskName)>,
    /// Unfinished tasks under which targets have crashed.
    crashed_tasks: IndexSet<TaskName>,
    /// Incarnations whose leases are over, and which may have crashed.
    lapsed_incarnations: IndexMap<TargetName, LapsedIncarnation>,
    /// Tasks that have lost a run and start again only after the store has confirmed this leader.
    unconfirmed_losses: IndexSet<TaskName>,
    /// Starts and stops of runs that are retried at the given moments.
    delayed_orders: Vec<(Moment, TargetKey, TaskName)>,
    agents: AgentLinks,
    /// Statistics of the jobs of each queue.
    queue_statistics: IndexMap<QueueName, QueueStatistics>,
    fleet: Fleet,
    zone_evacuation: ZoneEvacuation,
    update: LeaderUpdate,
}

/// State of one partition of the job space.
#[derive(Debug, Default)]
struct Partition {
    load: PartitionLoad,
    commit: PartitionCommit,
}

/// Targets and jobs of one pool.
#[derive(Debug, Default)]
struct Pool {
    targets: IndexSet<TargetKey>,
    jobs: IndexSet<JobKey>,
    /// Whether a change since the last dispatch may allow a task to start.
    needs_dispatch: bool,
}

/// Phase of a leader's term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeaderPhase {
    /// Fences and reads the partitions.
    Loading,
    /// Schedules jobs.
    Active,
    /// A newer leader has taken over.
    Deposed,
}

/// Kind of a call to the store that is in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
enum LeaderCall {
    ReadFence(u32),
    WriteFence(u32),
    LoadJobs(u32),
    LoadProgress(u32),
    LoadAssignments,
    ReloadJobs(u32, String),
    Record(RecordBatch),
    Commit(u32),
    Renew(Moment),
    ReadWave(u64),
    StoreWave(u64),
    ReportWave(u64, WaveState),
    /// Reads a page of the uploads of a partition; holds those without a job on the pages before.
    ListUploads(u32, Vec<UploadId>),
    RemoveUpload(UploadRemoval),
}

/// Kind of a call to a target that is in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TargetCall {
    Heartbeat(TargetKey, Moment),
    Start(TargetKey, RunId),
    Stop(TargetKey, RunId),
}

/// A call to a target that is in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SentCall {
    kind: TargetCall,
    /// Fence that it was sent under.
    fence: u64,
}

impl TargetCall {
    /// Returns the key of the called target.
    fn target(self) -> TargetKey {
        match self {
            Self::Heartbeat(key, _) | Self::Start(key, _) | Self::Stop(key, _) => key,
        }
    }
}

/// Changes in the leader that the rest of the node reacts to.
#[derive(Debug, Default)]
pub(crate) struct LeaderUpdate {
    /// Jobs whose final state is stored.
    pub(crate) finished_jobs: Vec<(JobId, JobState)>,
    /// Replies to this node's own requests.
    pub(crate) replies: Vec<(CallId, PeerReply)>,
    /// Whether the lease was renewed.
    pub(crate) was_renewed: bool,
}

impl Leader {
    /// Creates the leader of a newly acquired lease and starts to load the store's rows.
    pub(crate) fn new(
        identity: LeaderIdentity,
        lease: AcquiredLease,
        config: Rc<SiteConfig>,
        waiting_jobs: Vec<(QueueName, u64)>,
        smallest_memory: Option<ByteSize>,
        out: &mut Outbox,
    ) -> Self {
        log::info!(
            "event=scheduler_began generation={} config={}",
            lease.generation,
            config.version
        );
        let partitions = (0..identity.partition_count).map(|_| Partition::default()).collect();
        let job_ledger = JobLedger::new(identity.memory, smallest_memory, out.now);
        let agents = AgentLinks::new(lease.generation, &identity.profile, out.now);
        let mut leader = Self {
            identity,
            agents,
            generation: lease.generation,
            acquired_at: out.now,
            confirmed_at: lease.requested_at,
            config: Rc::new(SiteConfig::default()),
            partitions,
            control_fence: lease.fence_version,
            obsolete_rows: Vec::new(),
            assignment_load: AssignmentLoad::default(),
            phase: LeaderPhase::Loading,
            calls: IndexMap::new(),
            target_calls: IndexMap::new(),
            jobs: IndexMap::new(),
            job_keys: IndexMap::new(),
            last_job_key: 0,
            finished_jobs: IndexMap::new(),
            forgot_finished_at: out.now,
            pending_cancellations: IndexMap::new(),
            targets: IndexMap::new(),
            former_fences: FormerFences::default(),
            target_keys: IndexMap::new(),
            hosts: HostIndex::default(),
            last_target_key: 0,
            pools: IndexMap::new(),
            team_use: IndexMap::new(),
            team_shares: TeamShares::default(),
            job_ledger,
            upload_cleaner: UploadCleaner::new(out.now),
            previous_incarnations: IndexMap::new(),
            unconfirmed_runs: IndexMap::new(),
            previous_runs_resolved: false,
            silent_targets: SilentTargets::new(out.now),
            late_starts: LateStarts::new(out.now),
            inherited_late_starts: Vec::new(),
            unresolved_logged_at: out.now,
            unrecorded: IndexSet::new(),
            records: RecordLog::new(out.now),
            intake: None,
            reload: Reload::default(),
            registrations: Watch::new(crate::watch::WatchKind::Targets),
            unused_registrations: UnusedRegistrations::new(out.now),
            listed_targets: IndexSet::new(),
            renewal: Renewal::new(out.now),
            waiting_jobs,
            due_orders: Vec::new(),
            crashed_tasks: IndexSet::new(),
            lapsed_incarnations: IndexMap::new(),
            unconfirmed_losses: IndexSet::new(),
            delayed_orders: Vec::new(),
            queue_statistics: IndexMap::new(),
            fleet: Fleet::new(out.now),
            zone_evacuation: ZoneEvacuation::new(out.now),
            update: LeaderUpdate::default(),
        };
        leader.set_config(config);
        leader.start_loading(lease.fence_version, out);
        leader
    }

    /// Returns whether a newer leader has taken over.
    pub(crate) fn is_deposed(&self) -> bool {
        self.phase == LeaderPhase::Deposed
    }

    /// Returns the generation of its lease.
    pub(crate) fn generation(&self) -> u64 {
        self.generation
    }

    /// Sets the configuration and marks every pool for dispatch.
    pub(crate) fn set_config(&mut self, config: Rc<SiteConfig>) {
        let names_other_pool =
            config.pools.keys().any(|pool| !self.config.pools.contains_key(pool));
        if names_other_pool && self.unused_registrations.take_dropped() {
            self.registrations = Watch::new(crate::watch::WatchKind::Targets);
            self.listed_targets.clear();
        }
        self.config = config;
        let teams = self.config.teams.iter();
        let weights = teams.map(|team| (team.name.clone(), team.weight.unwrap_or_default()));
        self.team_shares.set_weights(weights);
        for pool in self.config.pools.keys() {
            self.pools.entry(pool.clone()).or_default().needs_dispatch = true;
        }
    }

    /// Removes and returns the changes that the rest of the node reacts to.
    pub(crate) fn take_update(&mut self) -> LeaderUpdate {
        std::mem::take(&mut self.update)
    }

    /// Performs the work that is due by time, such as lease renewals and heartbeats.
    pub(crate) fn tick(&mut self, out: &mut Outbox) {
        self.poll_lease(out);
        if self.phase != LeaderPhase::Active {
            self.retry_loading(out);
            return;
        }
        self.poll_watches(out);
        self.unused_registrations.poll(out.now);
        self.poll_held_registrations(out);
        self.poll_agents(out);
        self.poll_occurrences(out);
        self.send_due_heartbeats(out);
        self.check_targets(out);
        self.check_previous_runs(out);
        self.poll_zones(out);
        self.poll_fleet(out);
        self.refuse_expired_submissions(out);
        self.poll_uploads(out);
    }

    /// Dispatches tasks and sends the resulting orders and writes after a batch of events.
    pub(crate) fn finish_batch(&mut self, out: &mut Outbox) {
        if self.phase == LeaderPhase::Active {
            self.dispatch(out);
            self.poll_orders(out);
            self.record_assignments(out);
            self.poll_commits(out);
            self.agents.send_batches(out);
        }
    }

    /// Handles a reply of the store. Returns whether the call was made by the leader.
    pub(crate) fn handle_store_reply(
        &mut self,
        call: CallId,
        reply: &StoreReply,
        out: &mut Outbox,
    ) -> bool {
        if self.handle_watch_reply(call, reply, out) {
            return true;
        }
        let Some(kind) = self.calls.swap_remove(&call) else {
            return false;
        };
        match kind {
            LeaderCall::ReadFence(partition) => self.handle_fence_read_reply(partition, reply, out),
            LeaderCall::WriteFence(partition) => {
                self.handle_fence_write_reply(partition, reply, out);
            }
            LeaderCall::LoadJobs(partition) => self.handle_jobs_reply(partition, reply, out),
            LeaderCall::LoadProgress(partition) => {
                self.handle_progress_reply(partition, reply, out);
            }
            LeaderCall::LoadAssignments => self.handle_assignments_reply(reply, out),
            LeaderCall::ReloadJobs(partition, from) => {
                self.handle_reload_reply(partition, from, reply, out);
            }
            LeaderCall::Record(batch) => self.handle_record_reply(batch, reply, out),
            LeaderCall::Commit(partition) => self.handle_commit_reply(partition, reply, out),
            LeaderCall::Renew(sent_at) => self.handle_renewal_reply(sent_at, reply, out),
            LeaderCall::ReadWave(wave) => self.handle_wave_read_reply(wave, reply, out),
            LeaderCall::StoreWave(wave) => self.handle_wave_write_reply(wave, reply),
            LeaderCall::ReportWave(wave, state) => {
                self.handle_wave_report_reply(wave, state, reply);
            }
            LeaderCall::ListUploads(partition, unneeded) => {
                self.handle_uploads_reply(partition, unneeded, reply, out);
            }
            LeaderCall::RemoveUpload(removal) => {
                self.handle_upload_removal_reply(removal, reply, out.now);
            }
        }
        true
    }

    /// Handles a reply of a target. Returns whether the call was made by the leader.
    pub(crate) fn handle_target_reply(
        &mut self,
        call: CallId,
        reply: &TargetReply,
        out: &mut Outbox,
    ) -> bool {
        let Some(SentCall { kind, fence }) = self.target_calls.swap_remove(&call) else {
            return false;
        };
        if self.is_outdated(kind.target(), fence) {
            self.handle_outdated_reply(kind.target(), reply, out);
            return true;
        }
        match kind {
            TargetCall::Heartbeat(target, sent_at) => {
                self.handle_heartbeat_reply(target, sent_at, reply, out);
            }
            TargetCall::Start(target, run) => self.handle_start_reply(target, run, reply, out),
            TargetCall::Stop(target, run) => self.handle_stop_reply(target, run, reply, out),
        }
        true
    }

    /// Stops scheduling because a newer leader has taken over.
    fn depose(&mut self, reason: &str) {
        if self.phase != LeaderPhase::Deposed {
            log::warn!("event=scheduler_deposed generation={} why={reason}", self.generation);
            self.phase = LeaderPhase::Deposed;
        }
    }

    /// Sends a call to the store.
    fn call(&mut self, kind: LeaderCall, request: StoreRequest, out: &mut Outbox) {
        let call = out.call_store(request);
        self.calls.insert(call, kind);
    }

    /// Marks a pool for the next dispatch.
    fn mark_for_dispatch(&mut self, pool: &PoolName) {
        match self.pools.get_mut(pool) {
            Some(pool) => pool.needs_dispatch = true,
            None => {
                self.pools.insert(pool.clone(), Pool { needs_dispatch: true, ..Pool::default() });
            }
        }
    }
}
