//! Client of the platform's service.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use hyper::StatusCode;
use magnoliapin_wire::CallFailure;
use magnoliapin_wire::PlatformReply;
use magnoliapin_wire::PlatformRequest;
use magnoliapin_wire::TableRead;
use magnoliapin_wire::TableRow;
use magnoliapin_wire::TransactionResult;
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::http_connection::HttpResponse;
use crate::http_pool::HttpCall;
use crate::http_pool::HttpPool;
use crate::metrics::CallResult;
use crate::metrics::EndpointKind;
use crate::CallFuture;
use crate::EntryMetrics;
use crate::MonotonicClock;
use crate::PoolLimits;
use crate::TaskSpawner;

/// Calls the platform's service.
pub trait PlatformClient: Send + Sync + fmt::Debug {
    /// Makes a call, which fails after `timeout`.
    fn call(&self, request: PlatformRequest, timeout: Duration) -> CallFuture<'_, PlatformReply>;

    /// Closes connections that have been idle for too long.
    fn sweep(&self) {}
}

/// Client of the platform's service over HTTP.
#[derive(Debug)]
pub struct HttpPlatform {
    address: SocketAddr,
    pool: HttpPool,
    metrics: Arc<EntryMetrics>,
}

impl HttpPlatform {
    /// Creates a client without connections.
    pub fn new(
        address: SocketAddr,
        limits: PoolLimits,
        clock: Arc<dyn MonotonicClock>,
        metrics: Arc<EntryMetrics>,
        spawner: TaskSpawner,
    ) -> Self {
        let pool =
            HttpPool::new(EndpointKind::Platform, limits, clock, Arc::clone(&metrics), spawner);
        Self { address, pool, metrics }
    }

    async fn exchange(&self, request: PlatformRequest, timeout: Duration) -> PlatformReply {
        let started = Instant::now();
        let Some(call) = self.make_call(&request, timeout) else {
            return PlatformReply::Failed(CallFailure::NotSent);
        };
        let (reply, result) = match self.pool.exchange(call).await {
            Ok(response) => match parse_response(&request, &response) {
                Some(reply) => (reply, CallResult::Answered),
                None => (PlatformReply::Failed(CallFailure::Unknown), CallResult::Mismatched),
            },
            Err(failure) => (PlatformReply::Failed(failure), CallResult::from(failure)),
        };
        self.metrics.count_call(EndpointKind::Platform, result, started.elapsed());
        reply
    }

    fn make_call(&self, request: &PlatformRequest, timeout: Duration) -> Option<HttpCall> {
        let (method, path, body) = match request {
            PlatformRequest::Transact(transaction) => {
                (Method::POST, "/v1/table/transactions".to_owned(), encode(transaction)?)
            }
            PlatformRequest::Read(read) => {
                (Method::POST, "/v1/table/reads".to_owned(), encode(read)?)
            }
            PlatformRequest::Resolve(token) => {
                (Method::GET, format!("/v1/table/tokens/{token}"), Vec::new())
            }
            PlatformRequest::Instances => (Method::GET, "/v1/instances".to_owned(), Vec::new()),
            PlatformRequest::Order(instance, order) => {
                (Method::POST, format!("/v1/instances/{instance}/orders"), encode(order)?)
            }
        };
        Some(HttpCall {
            address: self.address,
            method,
            path,
            body,
            timeout,
            new_connection: false,
            send_before: None,
            control: false,
        })
    }
}

impl PlatformClient for HttpPlatform {
    fn call(&self, request: PlatformRequest, timeout: Duration) -> CallFuture<'_, PlatformReply> {
        Box::pin(self.exchange(request, timeout))
    }

    fn sweep(&self) {
        self.pool.sweep();
    }
}

/// Parses a response and checks that it matches the request.
fn parse_response(request: &PlatformRequest, response: &HttpResponse) -> Option<PlatformReply> {
    let is_order = matches!(request, PlatformRequest::Order(..));
    if is_order && response.status == StatusCode::CONFLICT {
        // The instance rejected the order as outdated.
        return Some(PlatformReply::Failed(CallFailure::NotSent));
    }
    if !response.status.is_success() {
        return None;
    }
    match request {
        PlatformRequest::Transact(transaction) => {
            let result: TransactionResult = decode(response)?;
            let is_match = match &result {
                TransactionResult::Committed(versions) => {
                    versions.len() == transaction.writes.len()
                }
                TransactionResult::Conflict(rows) => rows
                    .iter()
                    .all(|row| transaction.guards.iter().any(|guard| guard.key == row.key)),
            };
            is_match.then_some(PlatformReply::Transaction(result))
        }
        PlatformRequest::Read(read) => {
            let rows: Vec<TableRow> = decode(response)?;
            rows_match_read(read, &rows).then_some(PlatformReply::Rows(rows))
        }
        PlatformRequest::Resolve(_) => decode(response).map(PlatformReply::Resolved),
        PlatformRequest::Instances => decode(response).map(PlatformReply::Instances),
        PlatformRequest::Order(..) => Some(PlatformReply::Ordered),
    }
}

fn rows_match_read(read: &TableRead, rows: &[TableRow]) -> bool {
    match read {
        TableRead::Keys(keys) => rows.iter().all(|row| keys.contains(&row.key)),
        TableRead::Prefix { prefix, after, limit } => {
            let in_range = rows.iter().all(|row| row.key.starts_with(prefix) && row.key > *after);
            let in_order = rows.windows(2).all(|pair| pair[0].key < pair[1].key);
            in_range && in_order && rows.len() <= *limit as usize
        }
    }
}

/// Encodes a body as JSON; `None` if the value cannot be encoded.
pub(crate) fn encode(value: &impl Serialize) -> Option<Vec<u8>> {
    serde_json::to_vec(value).ok()
}

/// Decodes a JSON response; `None` if the status is not 200 or the body does not match `T`.
pub(crate) fn decode<T: DeserializeOwned>(response: &HttpResponse) -> Option<T> {
    if response.status != StatusCode::OK {
        return None;
    }
    serde_json::from_slice(&response.body).ok()
}
