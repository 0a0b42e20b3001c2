//! Limits on connections and requests of clients that are not under the operator's control.
//!
//! A [`ClientRegistry`] holds the open connections of one address or of several addresses with the
//! same limits. It bounds their number and the bytes of all bodies, and evicts the connection with
//! the slowest progress when a total is reached. A [`MonitoredStream`] under `hyper` records the
//! progress; [`ClientRegistry::sweep`] ends the connections that are too slow.

mod body;
mod limits;
mod linger;
mod monitor;
mod reason;
mod registry;
mod stream;

pub use body::read_body;
pub use body::BodyError;
pub use body::BufferedBody;
pub use limits::ClientLimits;
pub use limits::SOCKET_BUFFER_BYTES;
pub use linger::linger;
pub use linger::set_socket_buffers;
pub use monitor::ConnectionMonitor;
pub use reason::LimitCounts;
pub use reason::LimitObserver;
pub use reason::LimitReason;
pub use registry::ByteCharge;
pub use registry::BytePriority;
pub use registry::ClientRegistry;
pub use registry::ConnectionSlot;
pub use stream::MonitoredSocket;
pub use stream::MonitoredStream;
