//! Every decision of a node, as one pure state machine.
//!
//! [`NodeMachine`] takes a [`NodeEvent`] and the time and says what is to be done as
//! [`NodeAction`]s. A driver carries them out: the real one over sockets, tests in virtual time
//! over fakes. Each node serves clients; the one that holds the lease in the store also schedules.

mod desk;
mod election;
mod event;
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
pub use event::NodeAction;
pub use event::NodeEvent;
pub use event::PeerId;
pub use machine::NodeMachine;
pub use times::NodeTimes;
