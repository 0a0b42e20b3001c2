//! Rows in the platform's table that the entries share.
//!
//! Values are JSON. Entries of two releases run side by side, so unknown fields are ignored and
//! optional fields have a default. An invalid value is an error for its reader, never a panic.
//!
//! | key | value |
//! |---|---|
//! | `config/head` | [`ConfigHead`] |
//! | `config/section/<name>` | [`SectionRow`] |
//! | `entry/<entry>` | [`EntryRow`] |
//! | `member/<entry>` | empty; guards the entry's changes |
//! | `allotment/<team>` | [`AllotmentRow`] |
//! | `job/<work>` | [`JobRow`] of a job before its final state |
//! | `done/<work>` | [`JobRow`] of a job in its final state |

mod allotment_row;
mod config_row;
mod entry_row;
mod job_row;
mod row_key;
mod row_value;

pub use allotment_row::AllotmentRow;
pub use config_row::ConfigHead;
pub use config_row::SectionChange;
pub use config_row::SectionRow;
pub use config_row::MAX_RECENT_CHANGES;
pub use entry_row::EntryRow;
pub use job_row::BoundTarget;
pub use job_row::JobRow;
pub use row_key::RowKey;
pub use row_key::RowKeyError;
pub use row_value::RowError;
pub use row_value::RowValue;
pub use row_value::MAX_ROW_BYTES;
