//! Requests of other nodes to the leader, and its replies.

use magnoliapin_model::plain_data;

use crate::CallFailure;
use crate::JobId;
use crate::JobState;

plain_data! {
    /// A request to the leader.
    pub enum PeerRequest {
        /// Checks that it replies.
        Ping,
        /// Stores a job.
        Submit {
            /// The job.
            job: JobId,
            /// Its row, encoded.
            row: Vec<u8>,
            /// Time after which the requester no longer waits for the reply, in milliseconds.
            timeout_ms: u64,
        },
        /// Requests the state of a job.
        Read(JobId),
        /// Cancels a job.
        Cancel(JobId),
    }

    /// The reply.
    #[derive(Copy, Eq)]
    pub enum PeerReply {
        /// The node is the leader.
        Pong {
            /// Generation of its lease.
            generation: u64,
        },
        /// The job is stored.
        Accepted,
        /// State of the job; a final one is stored.
        State(JobState),
        /// The job is cancelled, or had finished already.
        Cancelled,
        /// The leader does not know the job; the store may.
        UnknownJob,
        /// The node is not the leader.
        NotLeader,
        /// Nothing was done.
        Refused,
        /// Whether the change was made is not known.
        OutcomeUnknown,
        /// There is no reply.
        Failed(CallFailure),
    }
}
