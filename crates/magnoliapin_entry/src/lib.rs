//! I/O around the pure state machine of an entry.
//!
//! [`EntryService::start`] opens the sockets of one entry and runs it until the planned stop of
//! its [`EntryHandle`]. One driver task owns the state machine exclusively; all other tasks turn
//! socket input into events and actions into calls. External dependencies are behind the traits
//! [`PlatformClient`], [`TargetClient`], [`PeerTransport`] and [`MonotonicClock`]; tests replace
//! any of them through [`EntryDependencies`].

mod caller;
mod clock;
mod descriptor_limit;
mod driver;
mod entry_error;
mod entry_handle;
mod http_connection;
mod http_pool;
mod hybrid_clock;
mod limits;
mod metrics;
mod options;
mod peer_link;
mod peer_transport;
mod platform_client;
mod runtime;
mod service;
mod stop_signal;
mod supervisor;
mod target_client;
mod timeline;
mod tls_files;

use std::future::Future;
use std::pin::Pin;

pub use clock::MonotonicClock;
pub use clock::SystemClock;
pub use entry_error::EntryError;
pub use entry_handle::EntryHandle;
pub use limits::EntryLimits;
pub use limits::PoolLimits;
pub use metrics::EntryMetrics;
pub use options::EntryDependencies;
pub use options::EntryOptions;
pub use peer_transport::PeerTransport;
pub use peer_transport::UdpTransport;
pub use platform_client::HttpPlatform;
pub use platform_client::PlatformClient;
pub use runtime::TaskRuntime;
pub use runtime::TaskSpawner;
pub use service::EntryService;
pub use target_client::HttpTargets;
pub use target_client::TargetCall;
pub use target_client::TargetClient;
pub use timeline::TimelineRecord;
pub use timeline::TimelineView;
pub use tls_files::TlsFiles;
pub use tls_files::TlsFilesError;

/// Boxed future of an asynchronous call through a trait object.
pub type CallFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;
