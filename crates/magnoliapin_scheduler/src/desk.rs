//! Serves clients: stores what they submit and tells what became of it.

mod ask;
mod cancel;
mod read;
mod submit;

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_model::Moment;
use magnoliapin_model::RowVersion;
use magnoliapin_site::CallFailure;
use magnoliapin_site::ClientAction;
use magnoliapin_site::ClientAnswer;
use magnoliapin_site::ClientRequest;
use magnoliapin_site::JobId;
use magnoliapin_site::JobState;
use magnoliapin_site::PeerRequest;
use magnoliapin_site::QueueName;
use magnoliapin_site::QueueRule;
use magnoliapin_site::RefusalReason;
use magnoliapin_site::SiteConfig;
use magnoliapin_site::StoreReply;
use magnoliapin_site::StoreRequest;
use magnoliapin_site::TeamName;

use self::cancel::CancelStage;
use self::read::ReadStage;
use self::submit::Submission;
use crate::outbox::Outbox;
use crate::route_table::RouteTable;
use crate::CallId;
use crate::ClientId;

/// Pause before a call that the store refused is made once more.
const RETRY_PAUSE: Duration = Duration::from_millis(30);
/// How often a call that the store refused is made again; then another node may fare better.
const REFUSED_RETRIES: u32 = 1;
/// How often a call without an answer is made again.
const UNKNOWN_RETRIES: u32 = 1;
/// Time that a client is taken to wait if it does not say.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(3);
/// Time kept for the answer's way back to the client.
const ANSWER_TIME: Duration = Duration::from_millis(150);
/// Jobs that a node remembers; the store knows the others.
const KNOWN_JOBS: usize = 20_000;

/// Serves clients.
#[derive(Debug)]
pub(crate) struct Desk {
    parts: u32,
    routes: RouteTable,
    has_config: bool,
    requests: IndexMap<CallId, DeskRequest>,
    /// Requests that the scheduler was asked for.
    asked: IndexMap<CallId, DeskRequest>,
    /// Requests to the scheduler of this node, which are handed over at once.
    local: Vec<(CallId, PeerRequest)>,
    scheduler: SchedulerPlace,
    /// Requests whose next call waits for its time.
    paused: Vec<(Moment, DeskRequest)>,
    known: IndexMap<JobId, KnownJob>,
    /// Jobs of each queue none of whose tasks has started, as the scheduler told last.
    waiting: IndexMap<QueueName, u64>,
}

/// Where the scheduler is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SchedulerPlace {
    /// It is not known, or does not answer.
    Unknown,
    /// This node schedules.
    Here,
    /// Another node does.
    At(SocketAddr),
}

/// What this node knows of a job for certain.
#[derive(Clone, Copy, Debug, Default)]
struct KnownJob {
    /// Version of its row, if this node saw it stored.
    version: Option<RowVersion>,
    /// Final state, once it is stored.
    ended: Option<JobState>,
}

/// A client's request that waits for the store.
#[derive(Clone, Debug)]
struct DeskRequest {
    client: ClientId,
    job: JobId,
    deadline: Moment,
    /// Calls that the store refused.
    refused: u32,
    /// Calls that had no answer.
    unknown: u32,
    stage: DeskStage,
}

#[derive(Clone, Debug)]
enum DeskStage {
    Submit(Submission),
    Read(ReadStage),
    Cancel(CancelStage),
}

impl Desk {
    /// Makes a desk that knows nothing.
    pub(crate) fn new(parts: u32) -> Self {
        Self {
            parts,
            routes: RouteTable::default(),
            has_config: false,
            requests: IndexMap::new(),
            asked: IndexMap::new(),
            local: Vec::new(),
            scheduler: SchedulerPlace::Unknown,
            paused: Vec::new(),
            known: IndexMap::new(),
            waiting: IndexMap::new(),
        }
    }

    /// Takes a new configuration.
    pub(crate) fn set_config(&mut self, config: &SiteConfig) {
        self.routes = RouteTable::new(config);
        self.has_config = true;
    }

    /// Takes the scheduler's word on how many jobs wait.
    pub(crate) fn set_waiting(&mut self, waiting: &[(QueueName, u64)]) {
        self.waiting = waiting.iter().cloned().collect();
    }

    /// Notes that the end of a job is stored.
    pub(crate) fn note_ended(&mut self, job: JobId, state: JobState) {
        self.remember(job).ended = Some(state);
    }

    /// Returns whether no client waits.
    pub(crate) fn is_idle(&self) -> bool {
        self.requests.is_empty() && self.asked.is_empty() && self.paused.is_empty()
    }

    /// Takes a request.
    pub(crate) fn take_request(
        &mut self,
        client: ClientId,
        request: ClientRequest,
        out: &mut Outbox,
    ) {
        if !self.has_config {
            log::info!("event=request_refused path={:?} why=no_config", request.path);
            out.answer(client, refusal(RefusalReason::NoConfig));
            return;
        }
        let patience = request.patience.unwrap_or(DEFAULT_PATIENCE);
        let deadline = out.now + patience.saturating_sub(ANSWER_TIME);
        let found = self.routes.find(&request.host, &request.path);
        let Some((queue, rest)) = found else {
            log::info!("event=unknown_queue host={:?} path={:?}", request.host, request.path);
            out.answer(client, ClientAnswer::UnknownQueue);
            return;
        };
        let team = request.key.as_deref().and_then(|key| self.routes.team(key)).cloned();
        if team.is_none() && !queue.is_open {
            log::info!("event=bad_key queue={} path={:?}", queue.name, request.path);
            out.answer(client, ClientAnswer::BadKey);
            return;
        }
        if rest.is_empty() && matches!(request.action, ClientAction::Read) {
            let waiting = self.waiting.get(&queue.name).copied().unwrap_or(0);
            out.answer(client, ClientAnswer::Waiting(waiting));
            return;
        }
        let Some(job) = JobId::read(rest) else {
            let answer = match request.action {
                ClientAction::Submit(_) => {
                    ClientAnswer::BadRequest("the path names no job".to_owned())
                }
                ClientAction::Read | ClientAction::Cancel => ClientAnswer::UnknownJob,
            };
            out.answer(client, answer);
            return;
        };
        let caller = Caller { client, job, deadline };
        match request.action {
            ClientAction::Submit(Ok(spec)) => {
                let queue = queue.clone();
                self.submit(caller, &queue, team, *spec, out);
            }
            ClientAction::Submit(Err(why)) => {
                log::info!("event=bad_job job={job} queue={} why={why:?}", queue.name);
                out.answer(client, ClientAnswer::BadRequest(why));
            }
            ClientAction::Read => self.read(caller, out),
            ClientAction::Cancel => self.cancel(caller, out),
        }
    }

    /// Takes the answer of a call; returns whether it was one of the desk's.
    pub(crate) fn take_reply(
        &mut self,
        call: CallId,
        reply: &StoreReply,
        out: &mut Outbox,
    ) -> bool {
        let Some(request) = self.requests.swap_remove(&call) else {
            return false;
        };
        match reply {
            StoreReply::Failed(failure) => self.retry(request, *failure, out),
            reply => match request.stage.clone() {
                DeskStage::Submit(submission) => {
                    self.take_submit_reply(&request, &submission, reply, out);
                }
                DeskStage::Read(stage) => self.take_read_reply(&request, stage, reply, out),
                DeskStage::Cancel(stage) => self.take_cancel_reply(&request, stage, reply, out),
            },
        }
        true
    }

    /// Sends what was paused.
    pub(crate) fn tick(&mut self, out: &mut Outbox) {
        let now = out.now;
        let due: Vec<_> = self.paused.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, request) in due {
            self.send(request, out);
        }
    }

    /// Makes a call again, or gives the request up.
    fn retry(&mut self, mut request: DeskRequest, failure: CallFailure, out: &mut Outbox) {
        match failure {
            CallFailure::NotDone => request.refused += 1,
            CallFailure::Unknown => request.unknown += 1,
        }
        let has_tries = request.refused <= REFUSED_RETRIES && request.unknown <= UNKNOWN_RETRIES;
        if has_tries && out.now + RETRY_PAUSE < request.deadline {
            let pause = match failure {
                CallFailure::NotDone => RETRY_PAUSE,
                CallFailure::Unknown => Duration::ZERO,
            };
            self.paused.push((out.now + pause, request));
            return;
        }
        // A change whose outcome is open must not be called refused: it may still be made.
        let may_change = !matches!(request.stage, DeskStage::Read(_));
        let answer = if may_change && request.unknown > 0 {
            ClientAnswer::OutcomeUnknown
        } else {
            refusal(RefusalReason::StoreUnavailable)
        };
        log::warn!(
            "event=request_given_up job={} refused={} unknown={} answer={answer:?}",
            request.job,
            request.refused,
            request.unknown
        );
        out.answer(request.client, answer);
    }

    /// Makes the call that belongs to the request's stage.
    fn send(&mut self, request: DeskRequest, out: &mut Outbox) {
        let store_request = match &request.stage {
            DeskStage::Submit(submission) => self.submit_call(request.job, submission),
            DeskStage::Read(stage) => self.read_call(request.job, *stage),
            DeskStage::Cancel(stage) => self.cancel_call(request.job, *stage),
        };
        self.call(request, store_request, out);
    }

    fn call(&mut self, request: DeskRequest, store_request: StoreRequest, out: &mut Outbox) {
        let call = out.call_store(store_request);
        self.requests.insert(call, request);
    }

    fn remember(&mut self, job: JobId) -> &mut KnownJob {
        if self.known.len() >= KNOWN_JOBS && !self.known.contains_key(&job) {
            // The oldest half is in the store anyway.
            self.known.drain(..KNOWN_JOBS / 2);
        }
        self.known.entry(job).or_default()
    }
}

/// Who asks, and about which job.
#[derive(Clone, Copy, Debug)]
struct Caller {
    client: ClientId,
    job: JobId,
    deadline: Moment,
}

impl Caller {
    fn request(self, stage: DeskStage) -> DeskRequest {
        let Self { client, job, deadline } = self;
        DeskRequest { client, job, deadline, refused: 0, unknown: 0, stage }
    }
}

fn refusal(reason: RefusalReason) -> ClientAnswer {
    // Another node may take the request at once.
    ClientAnswer::Refused { reason, retry_after: Duration::ZERO }
}

impl Desk {
    fn submit(
        &mut self,
        caller: Caller,
        queue: &QueueRule,
        team: Option<TeamName>,
        spec: magnoliapin_site::JobSpec,
        out: &mut Outbox,
    ) {
        let submission = Submission::new(spec, queue, team, out.wall_now());
        self.ask(caller.request(DeskStage::Submit(submission)), out);
    }

    fn read(&mut self, caller: Caller, out: &mut Outbox) {
        if let Some(state) = self.known.get(&caller.job).and_then(|known| known.ended) {
            out.answer(caller.client, ClientAnswer::State(state));
            return;
        }
        self.ask(caller.request(DeskStage::Read(ReadStage::Outcome)), out);
    }

    fn cancel(&mut self, caller: Caller, out: &mut Outbox) {
        let known = self.known.get(&caller.job).copied().unwrap_or_default();
        if known.ended.is_some() {
            out.answer(caller.client, ClientAnswer::Cancelled);
            return;
        }
        let stage = known.version.map_or(CancelStage::Job, CancelStage::Write);
        self.ask(caller.request(DeskStage::Cancel(stage)), out);
    }
}
