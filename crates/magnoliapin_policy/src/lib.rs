//! Every decision of an entry, as pure state machines.
//!
//! [`EntryMachine`] takes an [`EntryEvent`] and the time and says what is to be done as
//! [`EntryAction`]s. A driver carries them out: the real one over sockets, the soak in virtual
//! time over fakes. Randomness comes from a generator seeded by the caller.

mod event;
mod machine;
mod settings;

pub use event::CallId;
pub use event::EntryAction;
pub use event::EntryEvent;
pub use event::TimelineEvent;
pub use event::TimelineName;
pub use machine::EntryMachine;
pub use settings::EntryIdentity;
pub use settings::PolicyTimes;
