//! The calls that a target's HTTP server takes.

use hyper::Method;
use magnoliapin_model::plain_data;
use magnoliapin_wire::TargetRequest;

use crate::http_answer::decode_id;
use crate::http_answer::no_method;
use crate::http_answer::no_path;
use crate::http_answer::HttpRequest;
use crate::HttpAnswer;
use crate::TargetMode;

/// One call of a target's HTTP server.
#[derive(Clone, Debug)]
pub(crate) enum TargetCall {
    /// A call of the target.
    Target(TargetRequest),
    /// The mode of the target is changed.
    SetMode(TargetMode),
    /// The effects of its tasks are read.
    Effects,
    /// The starts of its tasks are read.
    Starts,
}

plain_data! {
    /// Body of a call that changes a target's mode.
    #[serde(deny_unknown_fields)]
    pub(crate) struct TargetModeBody {
        /// The new mode.
        pub(crate) mode: TargetMode,
    }
}

impl TargetCall {
    /// Reads a call.
    ///
    /// # Errors
    ///
    /// Returns the answer to send if there is no such call.
    pub(crate) fn from_request(request: &HttpRequest) -> Result<Self, HttpAnswer> {
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
            | ["stand-in", "mode" | "effects" | "starts"] => Err(no_method(request)),
            _ => Err(no_path(request)),
        }
    }
}
