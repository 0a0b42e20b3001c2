//! Requests of other nodes to the leader, and its replies.

use magnoliapin_model::plain_data;

use crate::CallFailure;
use crate::JobId;
use crate::JobState;

plain_data! {
    /// A request to the leader.
    pub enum PeerRequest {
        /// Checks that the leader is reachable.
        Ping,
        /// Stores a job.
        Submit {
            /// The job.
            job: JobId,
            /// The encoded row of the job.
            row: Vec<u8>,
            /// Time after which the requester no longer waits for the reply, in milliseconds.
            timeout_ms: u64,
        },
        /// Requests the state of a job.
        Read(JobId),
        /// Cancels a job.
        Cancel(JobId),
    }

    /// A reply to a request to the leader.
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
        /// The leader does not hold the job in memory; it may still be in the store.
        UnknownJob,
        /// The node is not the leader.
        NotLeader,
        /// The request was refused and changed nothing.
        Refused,
        /// It is unknown whether the change was made.
        OutcomeUnknown,
        /// The call failed.
        Failed(CallFailure),
    }
}
