//! The calls that the platform's HTTP server takes.

use bytes::Bytes;
use hyper::Method;
use hyper::StatusCode;
use magnoliapin_model::plain_data;
use magnoliapin_model::Moment;
use magnoliapin_wire::InstanceRecord;
use magnoliapin_wire::PlatformReply;
use magnoliapin_wire::PlatformRequest;

use crate::http_answer::decode_id;
use crate::http_answer::no_method;
use crate::http_answer::no_path;
use crate::http_answer::HttpRequest;
use crate::HttpAnswer;
use crate::PlatformMode;
use crate::PlatformState;
use crate::TableCounts;

/// Most objects in the object store.
const MAX_OBJECTS: usize = 10_000;

/// One call of the platform's HTTP server.
#[derive(Clone, Debug)]
pub(crate) enum PlatformCall {
    /// A call of the service, subject to its faults.
    Service(PlatformRequest),
    /// A call of the object store, subject to the service's faults.
    Object(ObjectCall),
    /// An instance registers itself.
    Register(InstanceRecord),
    /// The mode of the service is changed.
    SetMode(PlatformMode),
    /// The counts are read.
    Counts,
}

#[derive(Clone, Debug)]
pub(crate) enum ObjectCall {
    Put(String, Bytes),
    Get(String),
    Delete(String),
}

plain_data! {
    /// Body of a call that changes the platform's mode.
    #[serde(deny_unknown_fields)]
    pub(crate) struct PlatformModeBody {
        /// The new mode.
        pub(crate) mode: PlatformMode,
    }

    /// How much the platform was used.
    #[derive(Copy, Default, Eq)]
    pub struct PlatformCounts {
        /// Uses of the table.
        #[serde(flatten)]
        pub table: TableCounts,
        /// Calls that were dropped or whose answers were lost.
        pub unanswered: u64,
        /// Calls that were delayed.
        pub delayed: u64,
        /// Objects in the object store.
        pub objects: u64,
    }
}

impl PlatformCall {
    /// Reads a call.
    ///
    /// # Errors
    ///
    /// Returns the answer to send if there is no such call.
    pub(crate) fn from_request(request: &HttpRequest) -> Result<Self, HttpAnswer> {
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
                register(request, instance).map(Self::Register)
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
            | ["stand-in", "mode" | "counts"] => Err(no_method(request)),
            _ => Err(no_path(request)),
        }
    }

    /// Returns whether the faults of the service touch the call.
    pub(crate) fn is_service(&self) -> bool {
        matches!(self, Self::Service(_) | Self::Object(_))
    }

    /// Carries the call out.
    pub(crate) fn carry_out(self, now: Moment, state: &mut PlatformState) -> HttpAnswer {
        match self {
            Self::Service(request) => service_answer(now, state, &request),
            Self::Object(call) => call.carry_out(state),
            Self::Register(record) => HttpAnswer::json(&state.instances.register(now, &record)),
            Self::SetMode(mode) => {
                state.faults.set_mode(mode);
                HttpAnswer::done()
            }
            Self::Counts => HttpAnswer::json(&state.counts()),
        }
    }
}

impl ObjectCall {
    fn from_request(request: &HttpRequest) -> Result<Self, HttpAnswer> {
        let Some(name) = request.path.strip_prefix("/v1/objects/").filter(|name| !name.is_empty())
        else {
            return Err(no_path(request));
        };
        let name = name.to_owned();
        match request.method {
            Method::PUT => Ok(Self::Put(name, request.body.clone())),
            Method::GET => Ok(Self::Get(name)),
            Method::DELETE => Ok(Self::Delete(name)),
            _ => Err(no_method(request)),
        }
    }

    fn carry_out(self, state: &mut PlatformState) -> HttpAnswer {
        let no_object = || HttpAnswer::error(StatusCode::NOT_FOUND, "no such object");
        match self {
            Self::Put(name, _)
                if state.objects.len() >= MAX_OBJECTS && !state.objects.contains_key(&name) =>
            {
                HttpAnswer::error(StatusCode::INSUFFICIENT_STORAGE, "the object store is full")
            }
            Self::Put(name, body) => {
                state.objects.insert(name, body);
                HttpAnswer::done()
            }
            Self::Get(name) => {
                state.objects.get(&name).cloned().map_or_else(no_object, HttpAnswer::bytes)
            }
            Self::Delete(name) => {
                state.objects.shift_remove(&name).map_or_else(no_object, |_| HttpAnswer::done())
            }
        }
    }
}

impl PlatformState {
    /// Returns how much the platform was used.
    pub fn counts(&self) -> PlatformCounts {
        PlatformCounts {
            table: self.table.counts(),
            unanswered: self.faults.unanswered(),
            delayed: self.faults.delayed(),
            objects: self.objects.len() as u64,
        }
    }
}

fn register(request: &HttpRequest, instance: &str) -> Result<InstanceRecord, HttpAnswer> {
    let record: InstanceRecord = request.decode()?;
    if record.instance == decode_id(instance)? {
        return Ok(record);
    }
    let error = "the record is of another instance than the path";
    Err(HttpAnswer::error(StatusCode::BAD_REQUEST, error))
}

fn service_answer(now: Moment, state: &mut PlatformState, request: &PlatformRequest) -> HttpAnswer {
    if let PlatformRequest::Order(instance, order) = request {
        let ordered = state.instances.order(*instance, order.clone());
        return ordered.map_or_else(
            |refusal| HttpAnswer::error(StatusCode::CONFLICT, &refusal.to_string()),
            |()| HttpAnswer::done(),
        );
    }
    match state.carry_out(now, request) {
        PlatformReply::Transaction(result) => HttpAnswer::json(&result),
        PlatformReply::Rows(rows) => HttpAnswer::json(&rows),
        PlatformReply::Resolved(result) => HttpAnswer::json(&result),
        PlatformReply::Instances(instances) => HttpAnswer::json(&instances),
        PlatformReply::Ordered | PlatformReply::Failed(_) => HttpAnswer::done(),
    }
}
