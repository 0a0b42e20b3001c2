//! Requests and responses of the HTTP servers, independent of the connection.

use bytes::Bytes;
use hyper::Method;
use hyper::StatusCode;
use serde::de::DeserializeOwned;
use serde::Serialize;

/// An HTTP response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Body; JSON except for objects of the object store.
    pub body: Bytes,
}

/// A request whose body has arrived in full.
#[derive(Clone, Debug)]
pub(crate) struct HttpRequest {
    /// Connection that the request arrived on.
    pub(crate) connection_id: u64,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) body: Bytes,
}

/// How the server replies to a request.
#[derive(Clone, Debug)]
pub(crate) enum HttpOutcome {
    /// Sends a response.
    Respond(HttpResponse),
    /// Closes the connection without a response.
    Close,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

impl HttpResponse {
    /// Creates a response with a JSON body.
    pub(crate) fn json<T: Serialize>(value: &T) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => Self { status: StatusCode::OK, body: body.into() },
            Err(error) => Self::error(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
        }
    }

    /// Creates a response with a binary body.
    pub(crate) fn bytes(body: Bytes) -> Self {
        Self { status: StatusCode::OK, body }
    }

    /// Creates a success response without a body.
    pub(crate) fn no_content() -> Self {
        Self { status: StatusCode::NO_CONTENT, body: Bytes::new() }
    }

    /// Creates an error response with a JSON body.
    pub(crate) fn error(status: StatusCode, error: &str) -> Self {
        let body = serde_json::to_vec(&ErrorBody { error }).unwrap_or_default();
        Self { status, body: body.into() }
    }

    /// Decodes the JSON body.
    ///
    /// Returns `None` if the status is not 200 or the body is not a value of the type.
    pub fn value<T: DeserializeOwned>(&self) -> Option<T> {
        let is_value = self.status == StatusCode::OK;
        is_value.then(|| serde_json::from_slice(&self.body).ok()).flatten()
    }
}

impl HttpRequest {
    /// Returns the segments of the path.
    pub(crate) fn segments(&self) -> Vec<&str> {
        self.path.trim_start_matches('/').split('/').collect()
    }

    /// Decodes the JSON body.
    ///
    /// # Errors
    ///
    /// Returns the error response to send if the body is not a value of the type.
    pub(crate) fn decode<T: DeserializeOwned>(&self) -> Result<T, HttpResponse> {
        serde_json::from_slice(&self.body)
            .map_err(|error| HttpResponse::error(StatusCode::BAD_REQUEST, &error.to_string()))
    }
}

/// Parses an identifier from a path segment.
///
/// # Errors
///
/// Returns the error response to send if the text is not a valid identifier.
pub(crate) fn decode_id<T>(text: &str) -> Result<T, HttpResponse>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    text.parse().map_err(|error: T::Err| {
        HttpResponse::error(StatusCode::BAD_REQUEST, &format!("{text:?}: {error}"))
    })
}

/// Creates the response to an unknown path.
pub(crate) fn unknown_path(request: &HttpRequest) -> HttpResponse {
    let error = format!("unknown path {:?}", request.path);
    HttpResponse::error(StatusCode::NOT_FOUND, &error)
}

/// Creates the response to a method that the path does not support.
pub(crate) fn method_not_allowed(request: &HttpRequest) -> HttpResponse {
    let error = format!("path {:?} does not support method {}", request.path, request.method);
    HttpResponse::error(StatusCode::METHOD_NOT_ALLOWED, &error)
}
