//! The I/O layer of a node.
//!
//! [`run_node`] reads the settings, opens the sockets and runs one
//! [`NodeMachine`](magnoliapin_scheduler::NodeMachine) until a signal stops it. All tasks
//! run on one thread: one task owns the state machine; each other task converts input of a socket
//! or a signal into events, or makes one call.

mod call_deadlines;
mod call_pool;
mod client_server;
mod clock;
mod connection;
mod frame;
mod node_error;
mod node_loop;
mod node_service;
mod peer_client;
mod peer_server;

pub use node_error::NodeError;
pub use node_service::read_settings;
pub use node_service::run_node;
