//! Requests and answers of the HTTP servers, without their connection.

use bytes::Bytes;
use hyper::Method;
use hyper::StatusCode;
use serde::de::DeserializeOwned;
use serde::Serialize;

/// An answer: its status and its body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Body; JSON except for objects of the object store.
    pub body: Bytes,
}

/// A request whose body has arrived in full.
#[derive(Clone, Debug)]
pub(crate) struct HttpRequest {
    /// Connection that it came on.
    pub(crate) connection: u64,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) body: Bytes,
}

/// What the server does about a request.
#[derive(Clone, Debug)]
pub(crate) enum HttpOutcome {
    /// It answers.
    Answer(HttpAnswer),
    /// It closes the connection without an answer.
    Close,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

impl HttpAnswer {
    /// Makes an answer with a JSON body.
    pub(crate) fn json<T: Serialize>(value: &T) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => Self { status: StatusCode::OK, body: body.into() },
            Err(error) => Self::error(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
        }
    }

    /// Makes an answer with a body of any bytes.
    pub(crate) fn bytes(body: Bytes) -> Self {
        Self { status: StatusCode::OK, body }
    }

    /// Makes an answer that only says that the call was carried out.
    pub(crate) fn done() -> Self {
        Self { status: StatusCode::NO_CONTENT, body: Bytes::new() }
    }

    /// Makes an answer that says what is wrong.
    pub(crate) fn error(status: StatusCode, error: &str) -> Self {
        let body = serde_json::to_vec(&ErrorBody { error }).unwrap_or_default();
        Self { status, body: body.into() }
    }

    /// Returns the value that the JSON body holds, or none if the answer is an error.
    pub fn value<T: DeserializeOwned>(&self) -> Option<T> {
        let is_value = self.status == StatusCode::OK;
        is_value.then(|| serde_json::from_slice(&self.body).ok()).flatten()
    }
}

impl HttpRequest {
    /// Returns the parts of the path between slashes.
    pub(crate) fn segments(&self) -> Vec<&str> {
        self.path.trim_start_matches('/').split('/').collect()
    }

    /// Reads the JSON body.
    ///
    /// # Errors
    ///
    /// Returns the answer to send if the body is not a value of the type.
    pub(crate) fn decode<T: DeserializeOwned>(&self) -> Result<T, HttpAnswer> {
        serde_json::from_slice(&self.body)
            .map_err(|error| HttpAnswer::error(StatusCode::BAD_REQUEST, &error.to_string()))
    }
}

/// Reads an identifier from a part of a path.
///
/// # Errors
///
/// Returns the answer to send if the text is no such identifier.
pub(crate) fn decode_id<T>(text: &str) -> Result<T, HttpAnswer>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    text.parse().map_err(|error: T::Err| {
        HttpAnswer::error(StatusCode::BAD_REQUEST, &format!("{text:?}: {error}"))
    })
}

/// Returns the answer to a path that does not exist.
pub(crate) fn no_path(request: &HttpRequest) -> HttpAnswer {
    let error = format!("no path {:?}", request.path);
    HttpAnswer::error(StatusCode::NOT_FOUND, &error)
}

/// Returns the answer to a method that the path does not take.
pub(crate) fn no_method(request: &HttpRequest) -> HttpAnswer {
    let error = format!("path {:?} does not take {}", request.path, request.method);
    HttpAnswer::error(StatusCode::METHOD_NOT_ALLOWED, &error)
}
