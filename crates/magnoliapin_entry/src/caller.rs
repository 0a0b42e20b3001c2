//! HTTP/1.1 server for callers and operators.

mod certificates;
mod connection;
mod headers;
mod listener;
mod request_error;
mod response;
mod route;
mod socket;

pub(crate) use certificates::CertificateStore;
pub(crate) use listener::CallerListener;
pub(crate) use listener::CallerShared;
