//! Reads the request headers that the entry supports.

use std::str::FromStr;

use hyper::header;
use hyper::header::HeaderMap;
use hyper::header::HeaderValue;
use magnoliapin_model::ErrorKind;
use magnoliapin_model::KeyHash;

use crate::caller::request_error::RequestError;

/// Longest idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 200;

/// Values of the headers that the entry supports.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct CallerHeaders {
    /// Hash of the API key. The key itself is not stored.
    pub(crate) key: Option<KeyHash>,
    /// Time limit for the response, in milliseconds.
    pub(crate) timeout_ms: Option<u64>,
    /// Identifies repeated submissions, which return the job of the first one.
    pub(crate) idempotency_key: Option<String>,
}

impl CallerHeaders {
    /// Reads the headers of a request.
    ///
    /// # Errors
    ///
    /// Returns an error if a header is malformed or appears more than once.
    pub(crate) fn read(headers: &HeaderMap) -> Result<Self, RequestError> {
        Ok(Self {
            key: read_key(headers)?,
            timeout_ms: read_number(headers, "x-timeout-ms")?,
            idempotency_key: read_idempotency_key(headers)?,
        })
    }
}

fn read_key(headers: &HeaderMap) -> Result<Option<KeyHash>, RequestError> {
    let Some(value) = read_single(headers, header::AUTHORIZATION.as_str())? else {
        return Ok(None);
    };
    let secret = value.to_str().ok().and_then(|value| {
        let (scheme, secret) = value.split_once(' ')?;
        scheme.eq_ignore_ascii_case("bearer").then_some(secret.trim())
    });
    match secret {
        Some(secret) if !secret.is_empty() => Ok(Some(KeyHash::new(secret))),
        _ => {
            let message = "the header authorization must have the form \"Bearer KEY\"";
            Err(RequestError::new(ErrorKind::BadKey, message))
        }
    }
}

fn read_idempotency_key(headers: &HeaderMap) -> Result<Option<String>, RequestError> {
    let Some(value) = read_single(headers, "idempotency-key")? else {
        return Ok(None);
    };
    let key = value
        .to_str()
        .ok()
        .filter(|key| !key.is_empty() && key.len() <= MAX_IDEMPOTENCY_KEY_BYTES && key.is_ascii());
    key.map(|key| Some(key.to_owned())).ok_or_else(|| {
        let message = format!(
            "the header idempotency-key must have 1 to {MAX_IDEMPOTENCY_KEY_BYTES} ASCII characters"
        );
        RequestError::new(ErrorKind::BadRequest, message)
    })
}

fn read_number(headers: &HeaderMap, name: &str) -> Result<Option<u64>, RequestError> {
    let Some(value) = read_single(headers, name)? else {
        return Ok(None);
    };
    let number = value.to_str().ok().and_then(|value| u64::from_str(value).ok());
    number.filter(|number| *number > 0).map(Some).ok_or_else(|| {
        let message = format!("the header {name} must be a positive integer");
        RequestError::new(ErrorKind::BadRequest, message)
    })
}

/// Reads a header that may appear at most once.
fn read_single<'a>(
    headers: &'a HeaderMap,
    name: &str,
) -> Result<Option<&'a HeaderValue>, RequestError> {
    let mut values = headers.get_all(name).into_iter();
    let first = values.next();
    if values.next().is_some() {
        let message = format!("the header {name} appears more than once");
        return Err(RequestError::new(ErrorKind::BadRequest, message));
    }
    Ok(first)
}
