//! What nodes say to the one that schedules.

use magnoliapin_model::plain_data;

use crate::CallFailure;
use crate::JobId;
use crate::JobState;

plain_data! {
    /// A request to the node that schedules.
    pub enum PeerRequest {
        /// Asks whether it is there.
        Ping,
        /// Stores a job.
        Submit {
            /// The job.
            job: JobId,
            /// Its row, encoded.
            row: Vec<u8>,
            /// Time in which an answer is of use, in milliseconds.
            patience_ms: u64,
        },
        /// Asks for the state of a job.
        Read(JobId),
        /// Cancels a job.
        Cancel(JobId),
    }

    /// The answer.
    #[derive(Copy, Eq)]
    pub enum PeerReply {
        /// It is there and schedules.
        Pong {
            /// Generation of its lease.
            generation: u64,
        },
        /// The job is stored.
        Accepted,
        /// State of the job; a final one is stored.
        State(JobState),
        /// The job is cancelled, or was over already.
        Cancelled,
        /// The scheduler does not know the job; the store may.
        UnknownHere,
        /// The node does not schedule.
        NotScheduler,
        /// Nothing was done.
        Refused,
        /// Whether the change was made is not known.
        OutcomeUnknown,
        /// There is no answer.
        Failed(CallFailure),
    }
}
