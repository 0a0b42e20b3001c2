//! HTTP/1.1 server for callers and operators.

mod body;
mod certificates;
mod connection;
mod headers;
mod listener;
mod registry;
mod request_error;
mod response;
mod route;
mod socket;
mod stream;

pub(crate) use certificates::CertificateStore;
pub(crate) use listener::CallerListener;
pub(crate) use listener::CallerShared;
