//! The interface between the project's messages and the HTTP calls of a platform.

use std::fmt;

use crate::AdviceReply;
use crate::AdviceRequest;
use crate::ClientReply;
use crate::ClientRequest;
use crate::InstanceReply;
use crate::InstanceRequest;
use crate::NodeSettings;
use crate::StoreReply;
use crate::StoreRequest;
use crate::TargetName;
use crate::TargetReply;
use crate::TargetRequest;

/// Translates between the project's messages and the HTTP calls of one platform; it contains no
/// scheduling logic.
pub trait SiteProtocol: fmt::Debug {
    /// Parses the settings of a node.
    ///
    /// # Errors
    ///
    /// Returns every error, each with the name of its field.
    fn read_settings(&self, text: &str) -> Result<NodeSettings, Vec<String>>;

    /// Decodes a request of a client.
    ///
    /// # Errors
    ///
    /// Returns the response to a request that is not supported.
    fn decode_request(&self, request: &HttpRequest<'_>) -> Result<ClientRequest, HttpResponse>;

    /// Encodes the reply to a client.
    fn encode_reply(&self, reply: &ClientReply) -> HttpResponse;

    /// Returns whether a request is the readiness check of the platform.
    fn is_readiness_check(&self, request: &HttpRequest<'_>) -> bool;

    /// Encodes a request to the store.
    fn encode_store_request(&self, request: &StoreRequest) -> HttpCall;

    /// Decodes the response of the store.
    fn decode_store_response(&self, request: &StoreRequest, response: &HttpResponse) -> StoreReply;

    /// Encodes a request to the target with this name.
    fn encode_target_request(&self, target: &TargetName, request: &TargetRequest) -> HttpCall;

    /// Decodes the response of a target.
    fn decode_target_response(
        &self,
        request: &TargetRequest,
        response: &HttpResponse,
    ) -> TargetReply;

    /// Encodes a request to the instance service.
    fn encode_instance_request(&self, request: &InstanceRequest) -> HttpCall;

    /// Decodes the response of the instance service.
    fn decode_instance_response(
        &self,
        request: &InstanceRequest,
        response: &HttpResponse,
    ) -> InstanceReply;

    /// Encodes a request to the placement service.
    fn encode_advice_request(&self, request: &AdviceRequest) -> HttpCall;

    /// Decodes the response of the placement service.
    fn decode_advice_response(&self, response: &HttpResponse) -> AdviceReply;
}

/// An incoming HTTP request.
#[derive(Clone, Copy, Debug)]
pub struct HttpRequest<'a> {
    /// Method.
    pub method: &'a str,
    /// Path without the query.
    pub path: &'a str,
    /// Headers, with names in lower case.
    pub headers: &'a [(String, String)],
    /// Body.
    pub body: &'a [u8],
}

impl HttpRequest<'_> {
    /// Returns the value of a header, whose name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(header, _)| header == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// An outgoing HTTP request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HttpCall {
    /// Method.
    pub method: &'static str,
    /// Path with the query.
    pub path: String,
    /// Headers in addition to those that every request has.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Vec<u8>,
}

/// A response to an outgoing or incoming HTTP request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HttpResponse {
    /// Status code.
    pub status: u16,
    /// Headers in addition to those that every response has.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Vec<u8>,
}
