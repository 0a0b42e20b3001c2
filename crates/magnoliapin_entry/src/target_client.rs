//! Client of targets.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use magnoliapin_model::Moment;
use magnoliapin_wire::CallFailure;
use magnoliapin_wire::EntryTasks;
use magnoliapin_wire::StartTask;
use magnoliapin_wire::TargetReply;
use magnoliapin_wire::TargetRequest;
use magnoliapin_wire::TaskReply;
use magnoliapin_wire::TaskState;

use crate::http_connection::HttpResponse;
use crate::http_pool::HttpCall;
use crate::http_pool::HttpPool;
use crate::metrics::CallResult;
use crate::metrics::EndpointKind;
use crate::platform_client::decode;
use crate::platform_client::encode;
use crate::CallFuture;
use crate::EntryMetrics;
use crate::MonotonicClock;
use crate::PoolLimits;
use crate::TaskSpawner;

/// Call to a target.
#[derive(Clone, Debug)]
pub struct TargetCall {
    /// Address of the target.
    pub address: SocketAddr,
    /// Request to send.
    pub request: TargetRequest,
    /// Time after which the call fails.
    pub timeout: Duration,
    /// Whether the call needs a new connection, because a pooled one may be unresponsive.
    pub new_connection: bool,
    /// Deadline for sending the first byte; later the call fails as not sent.
    pub send_before: Moment,
}

/// Calls targets.
pub trait TargetClient: Send + Sync + fmt::Debug {
    /// Makes a call. Fails with [`CallFailure::NotSent`] only if no byte of the request was sent.
    fn call(&self, call: TargetCall) -> CallFuture<'_, TargetReply>;

    /// Closes connections that have been idle for too long.
    fn sweep(&self) {}
}

/// Client of targets over HTTP.
#[derive(Debug)]
pub struct HttpTargets {
    pool: HttpPool,
    metrics: Arc<EntryMetrics>,
}

impl HttpTargets {
    /// Creates a client without connections.
    pub fn new(
        limits: PoolLimits,
        clock: Arc<dyn MonotonicClock>,
        metrics: Arc<EntryMetrics>,
        spawner: TaskSpawner,
    ) -> Self {
        let pool =
            HttpPool::new(EndpointKind::Target, limits, clock, Arc::clone(&metrics), spawner);
        Self { pool, metrics }
    }

    async fn exchange(&self, call: TargetCall) -> TargetReply {
        let started = Instant::now();
        let Some(http_call) = make_call(&call) else {
            return TargetReply::Failed(CallFailure::NotSent);
        };
        let (reply, result) = match self.pool.exchange(http_call).await {
            Ok(response) => match parse_response(&call.request, &response) {
                Some(reply) => (reply, CallResult::Answered),
                None => (TargetReply::Failed(CallFailure::Unknown), CallResult::Mismatched),
            },
            Err(failure) => (TargetReply::Failed(failure), CallResult::from(failure)),
        };
        self.metrics.count_call(EndpointKind::Target, result, started.elapsed());
        reply
    }
}

impl TargetClient for HttpTargets {
    fn call(&self, call: TargetCall) -> CallFuture<'_, TargetReply> {
        Box::pin(self.exchange(call))
    }

    fn sweep(&self) {
        self.pool.sweep();
    }
}

fn make_call(call: &TargetCall) -> Option<HttpCall> {
    let (method, path, body) = match &call.request {
        TargetRequest::Start(start) => (Method::POST, "/v1/tasks".to_owned(), encode(start)?),
        TargetRequest::Query(task) => (Method::GET, format!("/v1/tasks/{task}"), Vec::new()),
        TargetRequest::Fence(task) => (Method::POST, format!("/v1/tasks/{task}/fence"), Vec::new()),
        TargetRequest::Stop(task) => (Method::DELETE, format!("/v1/tasks/{task}"), Vec::new()),
        TargetRequest::Renew(entry, grant) => {
            (Method::POST, format!("/v1/entries/{entry}/renew"), encode(grant)?)
        }
        TargetRequest::FenceEntry(entry, fence) => {
            (Method::POST, format!("/v1/entries/{entry}/fence"), encode(fence)?)
        }
    };
    Some(HttpCall {
        address: call.address,
        method,
        path,
        body,
        timeout: call.timeout,
        new_connection: call.new_connection,
        send_before: Some(call.send_before),
        control: !matches!(call.request, TargetRequest::Start(_)),
    })
}

/// Parses a response and checks that it matches the request and that its outputs are complete.
fn parse_response(request: &TargetRequest, response: &HttpResponse) -> Option<TargetReply> {
    match request {
        TargetRequest::Start(start) => {
            let reply: TaskReply = decode(response)?;
            reply_matches_start(start, &reply).then_some(TargetReply::Task(reply))
        }
        TargetRequest::Query(task) | TargetRequest::Fence(task) | TargetRequest::Stop(task) => {
            let reply: TaskReply = decode(response)?;
            (reply.task == *task && is_output_complete(&reply)).then_some(TargetReply::Task(reply))
        }
        TargetRequest::Renew(..) | TargetRequest::FenceEntry(..) => {
            let reply: EntryTasks = decode(response)?;
            let is_match =
                reply.tasks.iter().all(|task| task.run == reply.run && is_output_complete(task));
            is_match.then_some(TargetReply::Entry(reply))
        }
    }
}

/// Returns whether a reply concerns the started task. Only a refusal may come from another
/// incarnation of the target.
fn reply_matches_start(start: &StartTask, reply: &TaskReply) -> bool {
    let is_refusal = matches!(reply.state, TaskState::Refused(_));
    reply.task == start.task && (is_refusal || reply.run == start.run) && is_output_complete(reply)
}

fn is_output_complete(reply: &TaskReply) -> bool {
    reply.output.len() as u64 == reply.output_bytes
}
