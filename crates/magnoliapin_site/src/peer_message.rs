//! Requests between nodes, and their replies.
//!
//! New variants are added at the end: the encoding numbers them, and nodes of two versions exchange
//! messages while a site is being updated.

use magnoliapin_model::plain_data;
use magnoliapin_model::ByteSize;

use crate::AgentBatch;
use crate::AgentReplies;
use crate::CallFailure;
use crate::JobId;
use crate::JobState;
use crate::NodeProfile;
use crate::StoredInput;

plain_data! {
    /// A request to the leader, or of the leader to an agent.
    pub enum PeerRequest {
        /// Checks that the leader is reachable; sent by nodes that cannot be agents.
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
        /// Asks an agent to make calls to targets.
        AgentCalls(AgentBatch),
        /// Returns the replies of targets to the leader.
        AgentReplies(AgentReplies),
        /// Checks that the leader is reachable, and offers the node as an agent.
        Offer {
            /// The node that sends it.
            profile: NodeProfile,
            /// Its clock, in milliseconds since the start of its process.
            clock_ms: u64,
        },
        /// Asks an agent to make calls to targets, some of which obey a higher fence than the generation
        /// of the batch.
        RaisedAgentCalls {
            /// The calls.
            batch: AgentBatch,
            /// Fences, each with the number of its call.
            fences: Vec<(u64, u64)>,
        },
        /// Asks an agent to make calls to targets, with inputs that it reads from the store.
        StoredInputCalls {
            /// The calls.
            batch: AgentBatch,
            /// Fences, each with the number of its call.
            fences: Vec<(u64, u64)>,
            /// Inputs of jobs that the agent may not know yet.
            inputs: Vec<(JobId, StoredInput)>,
        },
        /// The same as `Offer`, with the memory of the node's machine, as any node may be the next
        /// leader. Sent only to a leader that publishes its limit on jobs.
        OfferWithMemory {
            /// The node that sends it.
            profile: NodeProfile,
            /// Its clock, in milliseconds since the start of its process.
            clock_ms: u64,
            /// Memory of its machine.
            memory: ByteSize,
        },
    }

    /// A reply to a request of another node.
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
        /// The leader does not hold the job in memory; it may still be in the store if it finished some
        /// time ago.
        UnknownJob,
        /// The node is not the leader.
        NotLeader,
        /// The request was refused and changed nothing.
        Refused,
        /// It is unknown whether the change was made.
        OutcomeUnknown,
        /// The call failed.
        Failed(CallFailure),
        /// The batch was received.
        Received,
        /// The agent obeys a newer leader and has made no call.
        Fenced {
            /// Generation of that leader.
            generation: u64,
        },
        /// The job was refused and is not stored, as too many jobs of its team wait.
        Full,
        /// The same, unless the job was stored under an earlier leader and has finished.
        FullIfUnknown,
    }
}
