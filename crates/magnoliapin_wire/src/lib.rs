//! Messages that the entries exchange with callers, the platform, targets and each other.
//!
//! [`CallerRequest`] and [`CallerAnswer`] are the two sides of a caller's HTTP exchange.
//! [`PlatformRequest`] and [`TargetRequest`] are calls that an entry makes; their modules
//! describe the HTTP form. [`PeerMessage`] travels in datagrams that [`PeerCodec`] encodes.
//! [`rows`] defines the rows that the entries store in the platform's table.

mod caller;
mod codec;
mod hybrid_stamp;
mod peer;
mod platform;
pub mod rows;
mod target;

pub use caller::CallerAnswer;
pub use caller::CallerBody;
pub use caller::CallerRequest;
pub use caller::ConfigChange;
pub use caller::ConfigView;
pub use caller::EntryView;
pub use caller::InstanceView;
pub use caller::JobState;
pub use caller::JobView;
pub use caller::PoolView;
pub use caller::RefusalView;
pub use caller::StatusView;
pub use caller::TeamView;
pub use codec::CodecError;
pub use codec::PeerCodec;
pub use codec::MAX_DATAGRAM_BYTES;
pub use hybrid_stamp::HybridStamp;
pub use peer::ConfigUpdate;
pub use peer::EntryState;
pub use peer::EntryStatus;
pub use peer::PeerEnvelope;
pub use peer::PeerMessage;
pub use peer::TeamUsage;
pub use platform::CallFailure;
pub use platform::InstanceOrder;
pub use platform::InstanceRecord;
pub use platform::ListedState;
pub use platform::OrderAction;
pub use platform::PlatformReply;
pub use platform::PlatformRequest;
pub use platform::RowGuard;
pub use platform::RowWrite;
pub use platform::TableRead;
pub use platform::TableRow;
pub use platform::TableTransaction;
pub use platform::TransactionResult;
pub use target::EntryFence;
pub use target::EntryTasks;
pub use target::LeaseGrant;
pub use target::RefusalReason;
pub use target::StartTask;
pub use target::TargetReply;
pub use target::TargetRequest;
pub use target::TaskReply;
pub use target::TaskState;
