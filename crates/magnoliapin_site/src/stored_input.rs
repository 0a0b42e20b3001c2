//! Inputs of jobs that are kept apart from their jobs.

use magnoliapin_model::plain_data;
use magnoliapin_model::ByteSize;
use magnoliapin_model::RowVersion;

magnoliapin_model::hex_id! {
    /// Identifies an upload of an input. Two submissions of the same job have different uploads.
    UploadId(u64);
}

plain_data! {
    /// An input that is stored in rows of its own, as it is too large for the row of its job.
    #[derive(Copy, Eq)]
    pub struct StoredInput {
        /// The upload that stored it.
        pub upload: UploadId,
        /// Number of its rows.
        pub pieces: u32,
        /// Its size.
        pub size: ByteSize,
        /// Version of the row that lists the upload. A job may be stored only while it is there, as
        /// the input may have been removed otherwise.
        pub version: RowVersion,
    }
}
