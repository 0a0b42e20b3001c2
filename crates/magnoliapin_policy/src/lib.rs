//! Decision logic of an entry, as pure state machines without I/O.
//!
//! [`EntryMachine`] handles one [`EntryEvent`] at a given time and emits [`EntryAction`]s. A driver
//! executes them: over sockets in production, against fakes in virtual time in the soak. Random
//! numbers come from a generator that the driver seeds.

mod allotment;
#[cfg(test)]
mod allotment_tests;
mod commit;
#[cfg(test)]
mod commit_tests;
mod config;
mod counts;
mod event;
mod invariant;
mod machine;
mod options;
mod outbox;
mod peers;
#[cfg(test)]
mod peers_tests;
mod reads;
#[cfg(test)]
mod renewal_tests;
mod run_times;
mod settings;
mod start_rate_meter;
mod targets;
#[cfg(test)]
mod targets_tests;
mod tasks;
#[cfg(test)]
mod tasks_tests;
mod wait_queues;
mod work;

pub use counts::PolicyCounts;
pub use event::CallId;
pub use event::EntryAction;
pub use event::EntryEvent;
pub use event::TimelineEvent;
pub use event::TimelineName;
pub use machine::EntryMachine;
pub use machine::KnownTarget;
pub use options::DispatchOrder;
pub use options::PolicyOptions;
pub use options::TargetChoice;
pub use settings::EntryIdentity;
pub use settings::PolicyTimes;
