//! Converts answers to HTTP responses.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::Response;
use hyper::StatusCode;
use magnoliapin_model::ErrorKind;
use magnoliapin_model::WorkOutcome;
use magnoliapin_wire::CallerAnswer;
use magnoliapin_wire::RefusalView;
use serde::Serialize;

use crate::caller::request_error::RequestError;

/// States whether the work ran: `not_run`, `ran` or `unknown`.
const OUTCOME_HEADER: HeaderName = HeaderName::from_static("x-magnoliapin-outcome");
/// Delay in seconds before a refused caller may retry.
const RETRY_AFTER_SECONDS: HeaderValue = HeaderValue::from_static("1");

/// An HTTP response with its kind of error.
#[derive(Debug)]
pub(crate) struct CallerReply {
    /// The response.
    pub(crate) response: Response<Full<Bytes>>,
    /// Kind of the error; `None` on success.
    pub(crate) kind: Option<ErrorKind>,
}

impl CallerReply {
    /// Creates the reply to a successful request.
    pub(crate) fn ok(response: Response<Full<Bytes>>) -> Self {
        Self { response, kind: None }
    }
}

impl From<CallerAnswer> for CallerReply {
    /// Creates the reply for an answer. All bodies except the output of work are JSON.
    fn from(answer: CallerAnswer) -> Self {
        match answer {
            CallerAnswer::Output { output } => Self::ok(output_response(output)),
            CallerAnswer::Refused(refusal) => {
                Self { kind: Some(refusal.kind), response: refusal_response(refusal) }
            }
            answer => {
                let is_accepted = matches!(answer, CallerAnswer::Accepted(_));
                let status = if is_accepted { StatusCode::ACCEPTED } else { StatusCode::OK };
                Self::ok(json_response(status, &answer))
            }
        }
    }
}

impl From<RequestError> for CallerReply {
    fn from(error: RequestError) -> Self {
        Self::from(CallerAnswer::Refused(error.into()))
    }
}

/// Creates a response with a JSON body.
pub(crate) fn json_response(status: StatusCode, body: &impl Serialize) -> Response<Full<Bytes>> {
    // Serializing an answer as JSON cannot fail.
    let body = serde_json::to_vec(body).unwrap_or_default();
    body_response(status, "application/json", body)
}

/// Creates a response with a body of any content type.
pub(crate) fn body_response(
    status: StatusCode,
    content_type: &'static str,
    body: Vec<u8>,
) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(body));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

/// Returns the bytes of the HTTP response that refuses a request before routing.
pub(crate) fn raw_refusal(error: RequestError) -> Vec<u8> {
    let refusal = RefusalView::from(error);
    let status = kind_status(refusal.kind);
    let outcome = refusal.outcome;
    let body = serde_json::to_string(&CallerAnswer::Refused(refusal)).unwrap_or_default();
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\ncontent-type: application/json\r\n{OUTCOME_HEADER}: {outcome}\r\n\
         content-length: {length}\r\nconnection: close\r\n\r\n{body}"
    )
    .into_bytes()
}

fn refusal_response(refusal: RefusalView) -> Response<Full<Bytes>> {
    let kind = refusal.kind;
    let outcome = refusal.outcome;
    let mut response = json_response(kind_status(kind), &CallerAnswer::Refused(refusal));
    let headers = response.headers_mut();
    headers.insert(OUTCOME_HEADER, outcome_value(outcome));
    if is_temporary(kind) {
        headers.insert(header::RETRY_AFTER, RETRY_AFTER_SECONDS);
    }
    response
}

fn output_response(output: Vec<u8>) -> Response<Full<Bytes>> {
    let mut response = body_response(StatusCode::OK, "application/octet-stream", output);
    response.headers_mut().insert(OUTCOME_HEADER, outcome_value(WorkOutcome::Ran));
    response
}

fn outcome_value(outcome: WorkOutcome) -> HeaderValue {
    HeaderValue::from_static(match outcome {
        WorkOutcome::NotRun => "not_run",
        WorkOutcome::Ran => "ran",
        WorkOutcome::Unknown => "unknown",
    })
}

fn kind_status(kind: ErrorKind) -> StatusCode {
    StatusCode::from_u16(kind.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

fn is_temporary(kind: ErrorKind) -> bool {
    matches!(kind_status(kind), StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE)
}
