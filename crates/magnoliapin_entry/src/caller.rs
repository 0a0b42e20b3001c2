//! Serves callers and operators over HTTP/1.1.

mod board;
mod body;
mod certificates;
mod connection;
mod fault;
mod headers;
mod listener;
mod response;
mod route;
mod socket;
mod stream;

pub(crate) use certificates::CertificateStore;
pub(crate) use listener::CallerListener;
pub(crate) use listener::CallerShared;
