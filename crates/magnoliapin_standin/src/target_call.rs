//! The calls of a target's HTTP server.

use hyper::Method;
use magnoliapin_model::plain_data;
use magnoliapin_wire::TargetRequest;

use crate::http_response::decode_id;
use crate::http_response::method_not_allowed;
use crate::http_response::unknown_path;
use crate::http_response::HttpRequest;
use crate::HttpResponse;
use crate::TargetMode;

/// A decoded call of a target's HTTP server.
#[derive(Clone, Debug)]
pub(crate) enum TargetCall {
    /// A call of the target protocol.
    Target(TargetRequest),
    /// Sets the fault mode of the target.
    SetMode(TargetMode),
    /// Returns the number of effects of each task.
    Effects,
    /// Returns the number of starts of each task.
    Starts,
}

plain_data! {
    /// Body of a call that sets a target's fault mode.
    #[serde(deny_unknown_fields)]
    pub(crate) struct TargetModeBody {
        pub(crate) mode: TargetMode,
    }
}

impl TargetCall {
    /// Decodes a request.
    ///
    /// # Errors
    ///
    /// Returns the error response to send if the request is not a valid call.
    pub(crate) fn from_request(request: &HttpRequest) -> Result<Self, HttpResponse> {
        let method = &request.method;
        match request.segments().as_slice() {
            ["v1", "tasks"] if method == Method::POST => {
                Ok(Self::Target(TargetRequest::Start(request.decode()?)))
            }
            ["v1", "tasks", task] if method == Method::GET => {
                Ok(Self::Target(TargetRequest::Query(decode_id(task)?)))
            }
            ["v1", "tasks", task] if method == Method::DELETE => {
                Ok(Self::Target(TargetRequest::Stop(decode_id(task)?)))
            }
            ["v1", "tasks", task, "fence"] if method == Method::POST => {
                Ok(Self::Target(TargetRequest::Fence(decode_id(task)?)))
            }
            ["v1", "entries", entry, "renew"] if method == Method::POST => {
                Ok(Self::Target(TargetRequest::Renew(decode_id(entry)?, request.decode()?)))
            }
            ["v1", "entries", entry, "fence"] if method == Method::POST => {
                Ok(Self::Target(TargetRequest::FenceEntry(decode_id(entry)?, request.decode()?)))
            }
            ["stand-in", "mode"] if method == Method::PUT => {
                request.decode().map(|body: TargetModeBody| Self::SetMode(body.mode))
            }
            ["stand-in", "effects"] if method == Method::GET => Ok(Self::Effects),
            ["stand-in", "starts"] if method == Method::GET => Ok(Self::Starts),
            ["v1", "tasks"]
            | ["v1", "tasks", _]
            | ["v1", "tasks", _, "fence"]
            | ["v1", "entries", _, "renew" | "fence"]
            | ["stand-in", "mode" | "effects" | "starts"] => Err(method_not_allowed(request)),
            _ => Err(unknown_path(request)),
        }
    }
}
