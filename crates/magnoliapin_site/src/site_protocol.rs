//! The border between the project's messages and a platform's calls.

use std::fmt;

use crate::AdviceReply;
use crate::AdviceRequest;
use crate::ClientAnswer;
use crate::ClientRequest;
use crate::InstanceReply;
use crate::InstanceRequest;
use crate::NodeSettings;
use crate::StoreReply;
use crate::StoreRequest;
use crate::TargetName;
use crate::TargetReply;
use crate::TargetRequest;

/// Translates between the project's messages and the calls of one platform. It decides nothing.
pub trait SiteProtocol: fmt::Debug {
    /// Reads the settings of a node.
    ///
    /// # Errors
    ///
    /// Returns every fault, each with the name of its field.
    fn read_settings(&self, text: &str) -> Result<NodeSettings, Vec<String>>;

    /// Reads a client's request.
    ///
    /// # Errors
    ///
    /// Returns the answer to a request that asks for nothing known.
    fn read_request(&self, request: &HttpRequest<'_>) -> Result<ClientRequest, HttpAnswer>;

    /// Writes the answer to a client.
    fn write_answer(&self, answer: &ClientAnswer) -> HttpAnswer;

    /// Returns whether a request asks if the node takes new connections.
    fn is_ready_check(&self, request: &HttpRequest<'_>) -> bool;

    /// Writes a call of the store.
    fn write_store_call(&self, request: &StoreRequest) -> HttpCall;

    /// Reads the store's answer.
    fn read_store_answer(&self, request: &StoreRequest, answer: &HttpAnswer) -> StoreReply;

    /// Writes a call of the target with this name.
    fn write_target_call(&self, target: &TargetName, request: &TargetRequest) -> HttpCall;

    /// Reads a target's answer.
    fn read_target_answer(&self, request: &TargetRequest, answer: &HttpAnswer) -> TargetReply;

    /// Writes a call of the service that moves and maintains instances.
    fn write_instance_call(&self, request: &InstanceRequest) -> HttpCall;

    /// Reads the answer of that service.
    fn read_instance_answer(&self, request: &InstanceRequest, answer: &HttpAnswer)
        -> InstanceReply;

    /// Writes a call of the placement service.
    fn write_advice_call(&self, request: &AdviceRequest) -> HttpCall;

    /// Reads the answer of the placement service.
    fn read_advice_answer(&self, answer: &HttpAnswer) -> AdviceReply;
}

/// A request that came in, without its connection.
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

/// A call to be made.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HttpCall {
    /// Method.
    pub method: &'static str,
    /// Path with the query.
    pub path: String,
    /// Headers besides those that any call has.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Vec<u8>,
}

/// An answer to a call, or to a request that came in.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HttpAnswer {
    /// Status.
    pub status: u16,
    /// Headers besides those that any answer has.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Vec<u8>,
}
