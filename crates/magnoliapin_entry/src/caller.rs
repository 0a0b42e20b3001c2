//! Serves callers and operators over HTTP/1.1.

mod board;
mod body;
mod connection;
mod fault;
mod headers;
mod listener;
mod response;
mod route;
mod stream;

pub(crate) use listener::CallerListener;
pub(crate) use listener::CallerShared;
