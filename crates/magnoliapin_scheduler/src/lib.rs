//! The decision logic of a node as a pure state machine.
//!
//! [`NodeMachine`] takes a [`NodeEvent`] and the current time and returns [`NodeAction`]s. A driver
//! carries them out: over sockets in production, over fakes in virtual time in tests. Every node
//! serves clients; the node that holds the lease in the store is the leader and also schedules.

mod agent;
mod client_handler;
mod decisions;
mod election;
mod event;
mod fence;
mod input_loader;
mod job_size;
mod known_report;
mod leader;
mod machine;
mod outbox;
mod peer_link;
mod route_table;
mod rows;
mod site_watch;
mod store_latency;
mod times;
mod watch;

pub use event::CallId;
pub use event::ClientId;
pub use event::ConnectionChoice;
pub use event::NodeAction;
pub use event::NodeEvent;
pub use event::PeerId;
pub use machine::NodeMachine;
pub use times::NodeTimes;
