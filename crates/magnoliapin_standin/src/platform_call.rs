//! The calls of the platform's HTTP server.

use bytes::Bytes;
use hyper::Method;
use hyper::StatusCode;
use magnoliapin_model::plain_data;
use magnoliapin_model::Moment;
use magnoliapin_wire::InstanceRecord;
use magnoliapin_wire::PlatformReply;
use magnoliapin_wire::PlatformRequest;

use crate::http_response::decode_id;
use crate::http_response::method_not_allowed;
use crate::http_response::unknown_path;
use crate::http_response::HttpRequest;
use crate::HttpResponse;
use crate::PlatformMode;
use crate::PlatformState;
use crate::TableCounts;

/// Maximum number of objects in the object store.
const MAX_OBJECTS: usize = 10_000;

/// A decoded call of the platform's HTTP server.
#[derive(Clone, Debug)]
pub(crate) enum PlatformCall {
    /// A call of the service, subject to fault injection.
    Service(PlatformRequest),
    /// A call of the object store, subject to fault injection.
    Object(ObjectCall),
    /// Registers an instance.
    Register(InstanceRecord),
    /// Sets the fault mode of the service.
    SetMode(PlatformMode),
    /// Returns the usage counts.
    Counts,
}

#[derive(Clone, Debug)]
pub(crate) enum ObjectCall {
    Put(String, Bytes),
    Get(String),
    Delete(String),
}

plain_data! {
    /// Body of a call that sets the platform's fault mode.
    #[serde(deny_unknown_fields)]
    pub(crate) struct PlatformModeBody {
        pub(crate) mode: PlatformMode,
    }

    /// Usage counts of the platform.
    #[derive(Copy, Default, Eq)]
    pub struct PlatformCounts {
        /// Counts of the table.
        #[serde(flatten)]
        pub table: TableCounts,
        /// Calls that were dropped or whose responses were lost.
        pub unanswered: u64,
        /// Calls that were delayed.
        pub delayed: u64,
        /// Objects currently in the object store.
        pub objects: u64,
    }
}

impl PlatformCall {
    /// Decodes a request.
    ///
    /// # Errors
    ///
    /// Returns the error response to send if the request is not a valid call.
    pub(crate) fn from_request(request: &HttpRequest) -> Result<Self, HttpResponse> {
        let method = &request.method;
        match request.segments().as_slice() {
            ["v1", "table", "transactions"] if method == Method::POST => {
                Ok(Self::Service(PlatformRequest::Transact(request.decode()?)))
            }
            ["v1", "table", "reads"] if method == Method::POST => {
                Ok(Self::Service(PlatformRequest::Read(request.decode()?)))
            }
            ["v1", "table", "tokens", token] if method == Method::GET => {
                Ok(Self::Service(PlatformRequest::Resolve(decode_id(token)?)))
            }
            ["v1", "instances"] if method == Method::GET => {
                Ok(Self::Service(PlatformRequest::Instances))
            }
            ["v1", "instances", instance] if method == Method::PUT => {
                decode_registration(request, instance).map(Self::Register)
            }
            ["v1", "instances", instance, "orders"] if method == Method::POST => {
                let order = request.decode()?;
                Ok(Self::Service(PlatformRequest::Order(decode_id(instance)?, order)))
            }
            ["v1", "objects", ..] => ObjectCall::from_request(request).map(Self::Object),
            ["stand-in", "mode"] if method == Method::PUT => {
                request.decode().map(|body: PlatformModeBody| Self::SetMode(body.mode))
            }
            ["stand-in", "counts"] if method == Method::GET => Ok(Self::Counts),
            ["v1", "table", "transactions" | "reads"]
            | ["v1", "table", "tokens", _]
            | ["v1", "instances"]
            | ["v1", "instances", _]
            | ["v1", "instances", _, "orders"]
            | ["stand-in", "mode" | "counts"] => Err(method_not_allowed(request)),
            _ => Err(unknown_path(request)),
        }
    }

    /// Returns whether the call is subject to fault injection.
    pub(crate) fn is_service(&self) -> bool {
        matches!(self, Self::Service(_) | Self::Object(_))
    }

    pub(crate) fn execute(self, now: Moment, state: &mut PlatformState) -> HttpResponse {
        match self {
            Self::Service(request) => service_response(now, state, &request),
            Self::Object(call) => call.execute(state),
            Self::Register(record) => HttpResponse::json(&state.instances.register(now, &record)),
            Self::SetMode(mode) => {
                state.faults.set_mode(mode);
                HttpResponse::no_content()
            }
            Self::Counts => HttpResponse::json(&state.counts()),
        }
    }
}

impl ObjectCall {
    fn from_request(request: &HttpRequest) -> Result<Self, HttpResponse> {
        let Some(name) = request.path.strip_prefix("/v1/objects/").filter(|name| !name.is_empty())
        else {
            return Err(unknown_path(request));
        };
        let name = name.to_owned();
        match request.method {
            Method::PUT => Ok(Self::Put(name, request.body.clone())),
            Method::GET => Ok(Self::Get(name)),
            Method::DELETE => Ok(Self::Delete(name)),
            _ => Err(method_not_allowed(request)),
        }
    }

    fn execute(self, state: &mut PlatformState) -> HttpResponse {
        let not_found = || HttpResponse::error(StatusCode::NOT_FOUND, "no such object");
        match self {
            Self::Put(name, _)
                if state.objects.len() >= MAX_OBJECTS && !state.objects.contains_key(&name) =>
            {
                HttpResponse::error(StatusCode::INSUFFICIENT_STORAGE, "the object store is full")
            }
            Self::Put(name, body) => {
                state.objects.insert(name, body);
                HttpResponse::no_content()
            }
            Self::Get(name) => {
                state.objects.get(&name).cloned().map_or_else(not_found, HttpResponse::bytes)
            }
            Self::Delete(name) => state
                .objects
                .shift_remove(&name)
                .map_or_else(not_found, |_| HttpResponse::no_content()),
        }
    }
}

impl PlatformState {
    /// Returns the usage counts of the platform.
    pub fn counts(&self) -> PlatformCounts {
        PlatformCounts {
            table: self.table.counts(),
            unanswered: self.faults.unanswered(),
            delayed: self.faults.delayed(),
            objects: self.objects.len() as u64,
        }
    }
}

fn decode_registration(
    request: &HttpRequest,
    instance: &str,
) -> Result<InstanceRecord, HttpResponse> {
    let record: InstanceRecord = request.decode()?;
    if record.instance == decode_id(instance)? {
        return Ok(record);
    }
    let error = "the instance in the record differs from the one in the path";
    Err(HttpResponse::error(StatusCode::BAD_REQUEST, error))
}

fn service_response(
    now: Moment,
    state: &mut PlatformState,
    request: &PlatformRequest,
) -> HttpResponse {
    if let PlatformRequest::Order(instance, order) = request {
        let outcome = state.instances.order(*instance, order.clone());
        return outcome.map_or_else(
            |refusal| HttpResponse::error(StatusCode::CONFLICT, &refusal.to_string()),
            |()| HttpResponse::no_content(),
        );
    }
    match state.execute(now, request) {
        PlatformReply::Transaction(result) => HttpResponse::json(&result),
        PlatformReply::Rows(rows) => HttpResponse::json(&rows),
        PlatformReply::Resolved(result) => HttpResponse::json(&result),
        PlatformReply::Instances(instances) => HttpResponse::json(&instances),
        PlatformReply::Ordered | PlatformReply::Failed(_) => HttpResponse::no_content(),
    }
}
