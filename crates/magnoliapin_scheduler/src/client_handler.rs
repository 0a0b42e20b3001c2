//! Serves clients: stores, reads and cancels jobs, through the leader or directly in the store.

mod cancel;
mod client_admission;
mod forward;
mod read;
mod refusals;
mod submit;
mod upload;

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_model::ByteSize;
use magnoliapin_model::Moment;
use magnoliapin_model::RowVersion;
use magnoliapin_site::CallFailure;
use magnoliapin_site::ClientAction;
use magnoliapin_site::ClientReply;
use magnoliapin_site::ClientRequest;
use magnoliapin_site::JobId;
use magnoliapin_site::JobState;
use magnoliapin_site::PeerRequest;
use magnoliapin_site::QueueName;
use magnoliapin_site::QueueRule;
use magnoliapin_site::RefusalReason;
use magnoliapin_site::SiteConfig;
use magnoliapin_site::StoreLimits;
use magnoliapin_site::StoreReply;
use magnoliapin_site::StoreRequest;
use magnoliapin_site::TeamName;
use magnoliapin_site::UploadId;
use rand::Rng;

use self::cancel::CancelStage;
use self::client_admission::ClientAdmission;
use self::read::ReadStage;
use self::submit::Submission;
use self::upload::Upload;
use crate::outbox::Outbox;
use crate::route_table::RouteTable;
use crate::CallId;
use crate::ClientId;

#[cfg(test)]
#[path = "client_handler_tests.rs"]
mod tests;

/// Delay before a call that was refused or could not be sent is retried.
const RETRY_DELAY: Duration = Duration::from_millis(30);
/// Retries of a call that was refused or could not be sent. After that the client may have more
/// success on another node.
const MAX_REFUSED_RETRIES: u32 = 1;
/// Retries of a call whose outcome is unknown.
const MAX_UNKNOWN_RETRIES: u32 = 1;
/// Time that a client is assumed to wait if its request does not state one.
const DEFAULT_CLIENT_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay after which a client should repeat a request that was refused because the configuration may be
/// outdated. Mostly the store answers no node then, and clients repeat a request only a few times.
const UNCONFIRMED_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Largest number of bytes that the version of an upload adds to the row of a job once it is known.
const VERSION_BYTES: usize = 9;
/// Part of the client's timeout that is reserved for returning the reply.
const RESPONSE_MARGIN: Duration = Duration::from_millis(150);
/// Size up to which the input of a job is kept in the row of the job.
const MAX_INLINE_INPUT: ByteSize = ByteSize(8 * 1024);
/// Size of the largest input. Each node that starts tasks of the job has it in memory.
const MAX_INPUT: ByteSize = ByteSize(4 * 1024 * 1024);
/// Maximum number of jobs at a time of which a node reads from the store whether they are known, before it
/// refuses them for lack of room.
const MAX_CHECKS: usize = 32;
/// Maximum number of jobs that a node caches; the others are read from the store.
const MAX_KNOWN_JOBS: usize = 20_000;

/// Serves the clients of this node.
#[derive(Debug)]
pub(crate) struct ClientHandler {
    partition_count: u32,
    limits: StoreLimits,
    admission: ClientAdmission,
    routes: RouteTable,
    has_config: bool,
    /// Requests that wait for a reply of the store.
    requests: IndexMap<CallId, PendingRequest>,
    /// Requests that wait for a reply of the leader.
    forwarded: IndexMap<CallId, PendingRequest>,
    /// Forwarded requests that have yet to be passed to the leader on this node.
    local_requests: Vec<(CallId, PeerRequest)>,
    leader: LeaderLocation,
    /// Requests that wait for their retry time.
    delayed: Vec<(Moment, PendingRequest)>,
    known_jobs: IndexMap<JobId, KnownJob>,
    /// Number of jobs per queue none of whose tasks has started, as last reported by the leader.
    waiting_jobs: IndexMap<QueueName, u64>,
}

/// Where the leader can be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeaderLocation {
    /// The leader is not known, or does not answer.
    Unknown,
    /// This node is the leader.
    Local,
    /// Another node is the leader.
    Remote(SocketAddr),
}

/// Cached facts about a job that are confirmed to be stored.
#[derive(Clone, Copy, Debug, Default)]
struct KnownJob {
    /// Version of the job's row, if this node has stored or read it.
    version: Option<RowVersion>,
    /// Final state, once it is stored.
    final_state: Option<JobState>,
}

/// A client's request that waits for the leader or the store.
#[derive(Clone, Debug)]
struct PendingRequest {
    client: ClientId,
    job: JobId,
    deadline: Moment,
    /// Number of calls that were refused or could not be sent.
    refused_calls: u32,
    /// Number of calls whose outcome is unknown.
    unknown_outcomes: u32,
    /// Whether it submits a job for which there is no room: it reads whether the job was accepted
    /// before, and is refused otherwise.
    is_refused_if_unknown: bool,
    stage: RequestStage,
}

#[derive(Clone, Debug)]
enum RequestStage {
    /// Stores the input of a job, before the job is submitted.
    Upload(Upload),
    Submit(Submission),
    Read(ReadStage),
    Cancel(CancelStage),
}

impl ClientHandler {
    /// Creates a handler that refuses all requests until it has a configuration.
    pub(crate) fn new(partition_count: u32, limits: StoreLimits, memory: ByteSize) -> Self {
        Self {
            partition_count,
            limits,
            admission: ClientAdmission::new(memory),
            routes: RouteTable::default(),
            has_config: false,
            requests: IndexMap::new(),
            forwarded: IndexMap::new(),
            local_requests: Vec::new(),
            leader: LeaderLocation::Unknown,
            delayed: Vec::new(),
            known_jobs: IndexMap::new(),
            waiting_jobs: IndexMap::new(),
        }
    }

    /// Replaces the configuration.
    pub(crate) fn set_config(&mut self, config: &SiteConfig) {
        self.routes = RouteTable::new(config);
        self.has_config = true;
    }

    /// Sets the number of waiting jobs per queue, as reported by the leader.
    pub(crate) fn set_waiting_jobs(&mut self, waiting_jobs: &[(QueueName, u64)]) {
        self.waiting_jobs = waiting_jobs.iter().cloned().collect();
    }

    /// Records the final state of a job, which is stored already.
    pub(crate) fn record_final_state(&mut self, job: JobId, state: JobState) {
        self.known_job_mut(job).final_state = Some(state);
    }

    /// Returns whether no client waits for a reply.
    pub(crate) fn is_idle(&self) -> bool {
        self.requests.is_empty() && self.forwarded.is_empty() && self.delayed.is_empty()
    }

    /// Replies to a request, or starts the calls that its reply needs. While the configuration may be
    /// outdated, only jobs are read and cancelled by it.
    pub(crate) fn handle_request(
        &mut self,
        client: ClientId,
        request: ClientRequest,
        is_config_confirmed: bool,
        out: &mut Outbox,
    ) {
        if !self.has_config {
            log::info!("event=request_refused path={:?} why=no_config", request.path);
            out.reply(client, refusal(RefusalReason::NoConfig));
            return;
        }
        if !is_config_confirmed && !self.concerns_known_job(&request) {
            log::info!("event=request_refused path={:?} why=config_unconfirmed", request.path);
            let reason = RefusalReason::ConfigUnconfirmed;
            out.reply(
                client,
                ClientReply::Refused { reason, retry_after: UNCONFIRMED_RETRY_DELAY },
            );
            return;
        }
        let client_timeout = request.timeout.unwrap_or(DEFAULT_CLIENT_TIMEOUT);
        let deadline = out.now + client_timeout.saturating_sub(RESPONSE_MARGIN);
        let route = self.routes.find(&request.host, &request.path);
        let Some((queue, job_path)) = route else {
            log::info!("event=unknown_queue host={:?} path={:?}", request.host, request.path);
            out.reply(client, ClientReply::UnknownQueue);
            return;
        };
        let team = request.key.as_deref().and_then(|key| self.routes.team(key)).cloned();
        if team.is_none() && !queue.is_public {
            log::info!("event=bad_key queue={} path={:?}", queue.name, request.path);
            out.reply(client, ClientReply::BadKey);
            return;
        }
        if job_path.is_empty() && matches!(request.action, ClientAction::Read) {
            let count = self.waiting_jobs.get(&queue.name).copied().unwrap_or(0);
            out.reply(client, ClientReply::WaitingJobs(count));
            return;
        }
        let Some(job) = JobId::parse(job_path) else {
            let reply = match request.action {
                ClientAction::Submit(_) => {
                    ClientReply::BadRequest("the path names no job".to_owned())
                }
                ClientAction::Read | ClientAction::Cancel => ClientReply::UnknownJob,
            };
            out.reply(client, reply);
            return;
        };
        let context = RequestContext { client, job, deadline };
        match request.action {
            ClientAction::Submit(Ok(spec)) => {
                let queue = queue.clone();
                self.submit(context, &queue, team, *spec, out);
            }
            ClientAction::Submit(Err(reason)) => {
                log::info!("event=bad_job job={job} queue={} why={reason:?}", queue.name);
                out.reply(client, ClientReply::BadRequest(reason));
            }
            ClientAction::Read => self.read(context, out),
            ClientAction::Cancel => self.cancel(context, out),
        }
    }

    /// Returns whether a request reads or cancels a job, in a queue and with a key that the last
    /// configuration has.
    fn concerns_known_job(&self, request: &ClientRequest) -> bool {
        let Some((queue, job_path)) = self.routes.find(&request.host, &request.path) else {
            return false;
        };
        let has_key = request.key.as_deref().is_some_and(|key| self.routes.team(key).is_some());
        let is_submission = matches!(request.action, ClientAction::Submit(_));
        !is_submission && !job_path.is_empty() && (has_key || queue.is_public)
    }

    /// Handles a reply of the store. Returns whether the call was made by this handler.
    pub(crate) fn handle_store_reply(
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
                RequestStage::Upload(upload) => {
                    self.handle_upload_reply(&request, upload, reply, out);
                }
                RequestStage::Submit(submission) => {
                    self.handle_submit_reply(&request, &submission, reply, out);
                }
                RequestStage::Read(stage) => self.handle_read_reply(&request, stage, reply, out),
                RequestStage::Cancel(stage) => {
                    self.handle_cancel_reply(&request, stage, reply, out);
                }
            },
        }
        true
    }

    /// Sends the requests whose retry time has come.
    pub(crate) fn tick(&mut self, out: &mut Outbox) {
        let now = out.now;
        let due: Vec<_> = self.delayed.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, request) in due {
            self.send_to_store(request, out);
        }
    }

    /// Schedules a retry, or replies to the client if no retry is left or it would come too late.
    fn retry(&mut self, mut request: PendingRequest, failure: CallFailure, out: &mut Outbox) {
        match failure {
            CallFailure::NotDone => request.refused_calls += 1,
            CallFailure::Unknown => request.unknown_outcomes += 1,
        }
        let has_retries = request.refused_calls <= MAX_REFUSED_RETRIES
            && request.unknown_outcomes <= MAX_UNKNOWN_RETRIES;
        if has_retries && out.now + RETRY_DELAY < request.deadline {
            let delay = match failure {
                CallFailure::NotDone => RETRY_DELAY,
                CallFailure::Unknown => Duration::ZERO,
            };
            self.delayed.push((out.now + delay, request));
            return;
        }
        // A change with an unknown outcome must not be reported as refused: the store may still
        // carry it out.
        let may_change = !matches!(request.stage, RequestStage::Read(_) | RequestStage::Upload(_));
        let reply = if may_change && request.unknown_outcomes > 0 {
            ClientReply::OutcomeUnknown
        } else {
            refusal(RefusalReason::StoreUnavailable)
        };
        log::warn!(
            "event=request_given_up job={} refused={} unknown={} answer={reply:?}",
            request.job,
            request.refused_calls,
            request.unknown_outcomes
        );
        if matches!(reply, ClientReply::Refused { .. }) {
            self.drop_upload(&request, out);
        }
        out.reply(request.client, reply);
    }

    /// Makes the store call for the request's stage.
    fn send_to_store(&mut self, request: PendingRequest, out: &mut Outbox) {
        if matches!(request.stage, RequestStage::Submit(_))
            && request.unknown_outcomes == 0
            && self.admission.is_direct_full()
        {
            return self.refuse_unless_known(&request, out);
        }
        let is_check = |request: &PendingRequest| request.is_refused_if_unknown;
        if is_check(&request)
            && self.requests.values().filter(|one| is_check(one)).count() >= MAX_CHECKS
        {
            // Neither accepted nor refused: the job may have been stored by an earlier submission.
            return out.reply(request.client, ClientReply::OutcomeUnknown);
        }
        let store_request = match &request.stage {
            RequestStage::Upload(upload) => self.upload_store_request(request.job, upload),
            RequestStage::Submit(submission) => self.submit_store_request(request.job, submission),
            RequestStage::Read(stage) => self.read_store_request(request.job, *stage),
            RequestStage::Cancel(stage) => {
                self.cancel_store_request(request.job, *stage, out.wall_now())
            }
        };
        self.call_store(request, store_request, out);
    }

    fn call_store(
        &mut self,
        request: PendingRequest,
        store_request: StoreRequest,
        out: &mut Outbox,
    ) {
        let call = out.call_store(store_request);
        self.requests.insert(call, request);
    }

    fn known_job_mut(&mut self, job: JobId) -> &mut KnownJob {
        if self.known_jobs.len() >= MAX_KNOWN_JOBS && !self.known_jobs.contains_key(&job) {
            // Evicts the older half of the cache; these jobs can be read from the store.
            self.known_jobs.drain(..MAX_KNOWN_JOBS / 2);
        }
        self.known_jobs.entry(job).or_default()
    }
}

/// Client, job and deadline of a request.
#[derive(Clone, Copy, Debug)]
struct RequestContext {
    client: ClientId,
    job: JobId,
    deadline: Moment,
}

impl PendingRequest {
    fn context(&self) -> RequestContext {
        RequestContext { client: self.client, job: self.job, deadline: self.deadline }
    }

    /// Returns the request that reads whether the job is known, and refuses it otherwise.
    fn known_job_check(&self) -> Self {
        let check = self.context().with_stage(RequestStage::Read(ReadStage::Outcome));
        Self { is_refused_if_unknown: true, ..check }
    }
}

impl RequestContext {
    fn with_stage(self, stage: RequestStage) -> PendingRequest {
        let Self { client, job, deadline } = self;
        PendingRequest {
            client,
            job,
            deadline,
            refused_calls: 0,
            unknown_outcomes: 0,
            is_refused_if_unknown: false,
            stage,
        }
    }
}

fn refusal(reason: RefusalReason) -> ClientReply {
    // Another node may be able to handle the request right away.
    ClientReply::Refused { reason, retry_after: Duration::ZERO }
}

impl ClientHandler {
    fn submit(
        &mut self,
        context: RequestContext,
        queue: &QueueRule,
        team: Option<TeamName>,
        spec: magnoliapin_site::JobSpec,
        out: &mut Outbox,
    ) {
        let row = submit::new_row(spec, queue, team, out.wall_now());
        let inline_bytes = (MAX_INLINE_INPUT.0 as usize).min(self.limits.value_bytes() / 2);
        let input_bytes = row.spec.payload.len();
        if input_bytes > MAX_INPUT.0 as usize {
            return self.refuse_large(context, "the input of the job", MAX_INPUT, out);
        }
        let team = row.team.clone();
        let (row_bytes, size, stage) = if input_bytes > inline_bytes {
            let upload = Upload::new(row, UploadId(out.random.random()), self.limits);
            let head = Submission::new(upload.row(), Some(upload.stored_input()));
            let row_bytes = head.encoded_row().len() + VERSION_BYTES;
            (row_bytes, head.size(), RequestStage::Upload(upload))
        } else {
            let submission = Submission::new(&row, None);
            let row_bytes = submission.encoded_row().len();
            (row_bytes, submission.size(), RequestStage::Submit(submission))
        };
        if row_bytes > self.limits.value_bytes() {
            let limit = ByteSize(self.limits.value_bytes() as u64);
            return self.refuse_large(context, "the job without its input", limit, out);
        }
        let request = context.with_stage(stage);
        match self.admission.is_closed(team.as_ref(), size, out.now) {
            true => self.refuse_unless_known(&request, out),
            false => self.forward(request, out),
        }
    }

    fn read(&mut self, context: RequestContext, out: &mut Outbox) {
        if let Some(state) = self.known_jobs.get(&context.job).and_then(|known| known.final_state) {
            out.reply(context.client, ClientReply::State(state));
            return;
        }
        self.forward(context.with_stage(RequestStage::Read(ReadStage::Outcome)), out);
    }

    fn cancel(&mut self, context: RequestContext, out: &mut Outbox) {
        let known = self.known_jobs.get(&context.job).copied().unwrap_or_default();
        if known.final_state.is_some() {
            out.reply(context.client, ClientReply::Cancelled);
            return;
        }
        let stage = known.version.map_or(CancelStage::Job, CancelStage::Write);
        self.forward(context.with_stage(RequestStage::Cancel(stage)), out);
    }
}
