//! The I/O around the decisions of a node.
//!
//! [`run_node`] reads the settings, opens the sockets and runs one
//! [`NodeMachine`](magnoliapin_scheduler::NodeMachine) until the process is asked to stop. All of
//! it runs on one thread: one task owns the machine, and every other one turns a socket into
//! events or carries out one call.

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
