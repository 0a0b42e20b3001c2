//! The scheduler: what the node that holds the lease does.
//!
//! It leads every target: nothing runs there but by its orders, which carry the generation of its
//! lease, and a target obeys no lower one. It learns of jobs from the store, starts their tasks,
//! and stores what has ended before the targets may forget it.

mod commit;
mod dispatch;
mod ends;
mod fleet;
mod holds;
mod intake;
mod job;
mod lease;
mod orders;
mod placement;
mod queue_facts;
mod records;
mod recovery;
mod registrations;
mod submissions;
mod target;

use std::net::SocketAddr;
use std::rc::Rc;

use indexmap::IndexMap;
use indexmap::IndexSet;
use magnoliapin_model::Moment;
use magnoliapin_model::RowVersion;
use magnoliapin_model::UnixMillis;
use magnoliapin_site::InstanceName;
use magnoliapin_site::JobId;
use magnoliapin_site::JobState;
use magnoliapin_site::NodeName;
use magnoliapin_site::PeerReply;
use magnoliapin_site::PoolName;
use magnoliapin_site::QueueName;
use magnoliapin_site::Resources;
use magnoliapin_site::RunId;
use magnoliapin_site::SiteConfig;
use magnoliapin_site::StoreReply;
use magnoliapin_site::StoreRequest;
use magnoliapin_site::TargetName;
use magnoliapin_site::TargetReply;
use magnoliapin_site::TaskName;
use magnoliapin_site::TeamName;
use magnoliapin_site::WaveState;

use self::commit::PartCommit;
use self::fleet::Fleet;
use self::intake::Reload;
use self::job::Job;
use self::job::JobKey;
use self::lease::Renewal;
use self::queue_facts::QueueFacts;
use self::records::RecordBatch;
use self::records::RecordLog;
use self::records::UnheardRun;
use self::recovery::LedLoad;
use self::recovery::PartLoad;
pub(crate) use self::submissions::Asker;
use self::target::Target;
use self::target::TargetKey;
use crate::election::TakenLease;
use crate::outbox::Outbox;
use crate::times::CLOCK_DRIFT;
use crate::times::LEASE_SLACK;
use crate::watch::Watch;
use crate::CallId;
use crate::NodeTimes;

/// Who schedules, and how.
#[derive(Clone, Debug)]
pub(crate) struct LeaderIdentity {
    pub(crate) node: NodeName,
    pub(crate) incarnation: u64,
    /// Where other nodes reach it.
    pub(crate) address: Option<SocketAddr>,
    /// Processor that it may use, in thousandths of a core.
    pub(crate) power: u32,
    pub(crate) parts: u32,
    pub(crate) times: NodeTimes,
    /// Orders to instances that may be given in a second.
    pub(crate) instance_orders_per_s: f64,
    /// Pages of the list of instances that may be read in a second.
    pub(crate) instance_lists_per_s: f64,
}

/// The scheduler.
#[derive(Debug)]
pub(crate) struct Leader {
    identity: LeaderIdentity,
    generation: u64,
    taken_at: Moment,
    /// When the last write that the store confirmed under this generation had been sent.
    confirmed_at: Moment,
    config: Rc<SiteConfig>,
    parts: Vec<Part>,
    /// Version of the fence of the partition that is not about jobs.
    control_fence: RowVersion,
    /// Targets whose rows the store may forget.
    forgotten: Vec<TargetName>,
    led_load: LedLoad,
    phase: LeaderPhase,
    calls: IndexMap<CallId, LeaderCall>,
    target_calls: IndexMap<CallId, TargetCall>,
    jobs: IndexMap<JobKey, Job>,
    job_keys: IndexMap<JobId, JobKey>,
    last_job: u64,
    /// Jobs that this scheduler has ended lately.
    ended_jobs: IndexMap<JobId, JobState>,
    /// Who waits for the end of a job to be stored.
    cancels: IndexMap<JobId, Vec<Asker>>,
    targets: IndexMap<TargetKey, Target>,
    target_keys: IndexMap<TargetName, TargetKey>,
    last_target: u64,
    pools: IndexMap<PoolName, Pool>,
    team_use: IndexMap<TeamName, Resources>,
    /// Lives of targets that may run what the scheduler before started, and have not told yet.
    old_lives: IndexMap<TargetName, OldLife>,
    /// Tasks that may run there.
    unheard: IndexMap<TaskName, UnheardRun>,
    /// Whether all that the scheduler before started is accounted for.
    is_accounted: bool,
    /// Targets with runs that the store does not know of yet.
    unrecorded: IndexSet<TargetKey>,
    records: RecordLog,
    intake: Option<Watch>,
    reload: Reload,
    registrations: Watch,
    /// Targets that the list being read has named so far.
    listed: IndexSet<TargetName>,
    renewal: Renewal,
    /// Jobs of each queue none of whose tasks has started, as told last. Until all jobs are read,
    /// it is what the scheduler before has told.
    waiting: Vec<(QueueName, u64)>,
    /// Orders that are sent at the end of the event that is being handled.
    due_orders: Vec<(TargetKey, TaskName)>,
    /// Tasks that wait for the store to confirm this scheduler.
    unsure: IndexSet<TaskName>,
    /// Orders that are sent again later.
    later_orders: Vec<(Moment, TargetKey, TaskName)>,
    /// What is known of the jobs of each queue.
    queue_facts: IndexMap<QueueName, QueueFacts>,
    fleet: Fleet,
    news: LeaderNews,
}

/// One partition of the jobs.
#[derive(Debug, Default)]
struct Part {
    load: PartLoad,
    commit: PartCommit,
}

/// Targets and jobs of one pool.
#[derive(Debug, Default)]
struct Pool {
    targets: IndexSet<TargetKey>,
    jobs: IndexSet<JobKey>,
    /// Whether something changed that may let a task start.
    is_stirred: bool,
}

/// A life of a target that may run what the scheduler before started.
#[derive(Clone, Debug, PartialEq, Eq)]
struct OldLife {
    born_at: UnixMillis,
    /// Instance that hosts it.
    instance: Option<InstanceName>,
    /// What it may run.
    runs: Vec<RunId>,
    /// What runs of ended jobs take there from their teams' caps.
    orphans: Vec<(TeamName, Resources)>,
}

/// How far the scheduler is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeaderPhase {
    /// It fences and reads the partitions.
    Loading,
    /// It schedules.
    Active,
    /// Another scheduler has taken over.
    Deposed,
}

/// A call of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
enum LeaderCall {
    ReadFence(u32),
    WriteFence(u32),
    LoadJobs(u32),
    LoadProgress(u32),
    LoadLed,
    ReloadJobs(u32, String),
    Record(RecordBatch),
    Commit(u32),
    Renew(Moment),
    ReadWave(u64),
    StoreWave(u64),
    ReportWave(u64, WaveState),
}

/// A call of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TargetCall {
    Hold(TargetKey, Moment),
    Start(TargetKey, RunId),
    Stop(TargetKey, RunId),
}

/// What the node should know of the scheduler's doings.
#[derive(Debug, Default)]
pub(crate) struct LeaderNews {
    /// Jobs whose end is stored.
    pub(crate) ended: Vec<(JobId, JobState)>,
    /// Answers to this node's own requests.
    pub(crate) answers: Vec<(CallId, PeerReply)>,
    /// Whether the lease was renewed.
    pub(crate) was_renewed: bool,
}

impl Leader {
    /// Makes the scheduler that has just taken the lease.
    pub(crate) fn new(
        identity: LeaderIdentity,
        lease: TakenLease,
        config: Rc<SiteConfig>,
        waiting: Vec<(QueueName, u64)>,
        out: &mut Outbox,
    ) -> Self {
        log::info!(
            "event=scheduler_began generation={} config={}",
            lease.generation,
            config.version
        );
        let parts = (0..identity.parts).map(|_| Part::default()).collect();
        let mut leader = Self {
            identity,
            generation: lease.generation,
            taken_at: out.now,
            confirmed_at: lease.taken_at,
            config: Rc::new(SiteConfig::default()),
            parts,
            control_fence: lease.fence_version,
            forgotten: Vec::new(),
            led_load: LedLoad::default(),
            phase: LeaderPhase::Loading,
            calls: IndexMap::new(),
            target_calls: IndexMap::new(),
            jobs: IndexMap::new(),
            job_keys: IndexMap::new(),
            last_job: 0,
            ended_jobs: IndexMap::new(),
            cancels: IndexMap::new(),
            targets: IndexMap::new(),
            target_keys: IndexMap::new(),
            last_target: 0,
            pools: IndexMap::new(),
            team_use: IndexMap::new(),
            old_lives: IndexMap::new(),
            unheard: IndexMap::new(),
            is_accounted: false,
            unrecorded: IndexSet::new(),
            records: RecordLog::new(out.now),
            intake: None,
            reload: Reload::default(),
            registrations: Watch::new(crate::watch::WatchKind::Targets),
            listed: IndexSet::new(),
            renewal: Renewal::new(out.now),
            waiting,
            due_orders: Vec::new(),
            unsure: IndexSet::new(),
            later_orders: Vec::new(),
            queue_facts: IndexMap::new(),
            fleet: Fleet::new(out.now),
            news: LeaderNews::default(),
        };
        leader.set_config(config);
        leader.start_loading(lease.fence_version, out);
        leader
    }

    /// Returns whether another scheduler has taken over.
    pub(crate) fn is_deposed(&self) -> bool {
        self.phase == LeaderPhase::Deposed
    }

    /// Returns the generation of its lease.
    pub(crate) fn generation(&self) -> u64 {
        self.generation
    }

    /// Takes a new configuration.
    pub(crate) fn set_config(&mut self, config: Rc<SiteConfig>) {
        self.config = config;
        for pool in self.config.pools.keys() {
            self.pools.entry(pool.clone()).or_default().is_stirred = true;
        }
    }

    /// Hands over what the node should know.
    pub(crate) fn take_news(&mut self) -> LeaderNews {
        std::mem::take(&mut self.news)
    }

    /// Does what the passing of time calls for.
    pub(crate) fn tick(&mut self, out: &mut Outbox) {
        self.poll_lease(out);
        if self.phase != LeaderPhase::Active {
            self.retry_loading(out);
            return;
        }
        self.poll_watches(out);
        self.begin_occurrences(out);
        self.poll_holds(out);
        self.check_targets(out);
        self.check_accounts(out);
        self.poll_fleet(out);
        self.drop_late_submissions(out);
    }

    /// Does what may follow from any event.
    pub(crate) fn finish(&mut self, out: &mut Outbox) {
        if self.phase == LeaderPhase::Active {
            self.dispatch(out);
            self.poll_orders(out);
            self.record_targets(out);
            self.poll_commits(out);
        }
    }

    /// Takes the answer of the store; returns whether the call was the scheduler's.
    pub(crate) fn take_store_reply(
        &mut self,
        call: CallId,
        reply: &StoreReply,
        out: &mut Outbox,
    ) -> bool {
        if self.take_watch_reply(call, reply, out) {
            return true;
        }
        let Some(kind) = self.calls.swap_remove(&call) else {
            return false;
        };
        match kind {
            LeaderCall::ReadFence(part) => self.take_fence(part, reply, out),
            LeaderCall::WriteFence(part) => self.take_fenced(part, reply, out),
            LeaderCall::LoadJobs(part) => self.take_jobs(part, reply, out),
            LeaderCall::LoadProgress(part) => self.take_progress(part, reply, out),
            LeaderCall::LoadLed => self.take_led(reply, out),
            LeaderCall::ReloadJobs(part, from) => self.take_reload(part, from, reply, out),
            LeaderCall::Record(batch) => self.take_recorded(batch, reply, out),
            LeaderCall::Commit(part) => self.take_commit(part, reply, out),
            LeaderCall::Renew(sent_at) => self.take_renewed(sent_at, reply, out),
            LeaderCall::ReadWave(wave) => self.take_wave(wave, reply, out),
            LeaderCall::StoreWave(wave) => self.take_wave_stored(wave, reply),
            LeaderCall::ReportWave(wave, state) => self.take_wave_reported(wave, state, reply),
        }
        true
    }

    /// Takes the answer of a target; returns whether the call was the scheduler's.
    pub(crate) fn take_target_reply(
        &mut self,
        call: CallId,
        reply: &TargetReply,
        out: &mut Outbox,
    ) -> bool {
        let Some(kind) = self.target_calls.swap_remove(&call) else {
            return false;
        };
        match kind {
            TargetCall::Hold(target, sent_at) => self.take_hold(target, sent_at, reply, out),
            TargetCall::Start(target, run) => self.take_start(target, run, reply, out),
            TargetCall::Stop(target, run) => self.take_stop(target, run, reply, out),
        }
        true
    }

    /// Stops scheduling: another scheduler has taken over.
    fn depose(&mut self, why: &str) {
        if self.phase != LeaderPhase::Deposed {
            log::warn!("event=scheduler_deposed generation={} why={why}", self.generation);
            self.phase = LeaderPhase::Deposed;
        }
    }

    /// Calls the store.
    fn call(&mut self, kind: LeaderCall, request: StoreRequest, out: &mut Outbox) {
        let call = out.call_store(request);
        self.calls.insert(call, kind);
    }

    /// Makes sure that the pool of a target or a job is looked at.
    fn stir(&mut self, pool: &PoolName) {
        match self.pools.get_mut(pool) {
            Some(pool) => pool.is_stirred = true,
            None => {
                self.pools.insert(pool.clone(), Pool { is_stirred: true, ..Pool::default() });
            }
        }
    }

    /// Waits until the targets have told what the scheduler before started, or cannot run it any
    /// more.
    fn check_accounts(&mut self, out: &Outbox) {
        if self.is_accounted {
            return;
        }
        let longest = self.identity.times.max_lease.div_f64(1.0 - CLOCK_DRIFT) + LEASE_SLACK;
        if out.now > self.taken_at + longest && !self.old_lives.is_empty() {
            log::warn!(
                "event=runs_given_up generation={} targets={}",
                self.generation,
                self.old_lives.len()
            );
            self.doubt_unheard(out.now);
            for name in self.old_lives.keys().cloned().collect::<Vec<_>>() {
                self.settle_life(&name);
                self.forgotten.push(name);
            }
        }
        if self.old_lives.is_empty() && !self.registrations.is_reading() {
            log::info!(
                "event=runs_accounted generation={} after_ms={}",
                self.generation,
                out.now.since(self.taken_at).as_millis()
            );
            self.is_accounted = true;
        }
    }
}
