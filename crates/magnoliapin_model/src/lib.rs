//! Identifiers, sizes, the configuration document and error kinds of magnoliapin.
//!
//! Start with [`ConfigDocument`], the one document that operators write. [`ErrorKind`] is the
//! closed list of errors, each with its HTTP status and the outcome of the work. The
//! identifiers are small `Copy` values with `Display` and `FromStr`.

mod derives;
mod document;
mod error_kind;
mod fair_limit;
mod id;
mod moment;
mod name;

pub use document::ConfigDocument;
pub use document::DocumentError;
pub use document::DocumentSnapshot;
pub use document::KeyHash;
pub use document::KeyHashError;
pub use document::KeyRing;
pub use document::KeySecret;
pub use document::MaintenanceSection;
pub use document::NotOwner;
pub use document::NumberRange;
pub use document::PoolSection;
pub use document::QueueSection;
pub use document::SectionDiff;
pub use document::SectionEdit;
pub use document::SectionName;
pub use document::SectionNameError;
pub use document::SnapshotError;
pub use document::TeamSection;
pub use document::WeightSection;
pub use document::MAX_DOCUMENT_BYTES;
pub use document::MAX_DOCUMENT_ERRORS;
pub use error_kind::ErrorKind;
pub use error_kind::WorkOutcome;
pub use fair_limit::FairLimit;
pub use id::Attempt;
pub use id::ByteSize;
pub use id::ClientToken;
pub use id::ConfigVersion;
pub use id::EntryId;
pub use id::InstanceId;
pub use id::KeyId;
pub use id::PoolId;
pub use id::QueueId;
pub use id::RackId;
pub use id::RowVersion;
pub use id::SlotCount;
pub use id::TargetIncarnation;
pub use id::TaskId;
pub use id::TaskIdError;
pub use id::TeamId;
pub use id::UnixMillis;
pub use id::WorkId;
pub use id::ZoneId;
pub use moment::Moment;
pub use name::NameError;
pub use name::ShortName;
pub use name::MAX_NAME_BYTES;
