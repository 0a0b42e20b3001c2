//! Messages between the leader and the agents, which make its calls to targets.
//!
//! An agent is any other node. The leader sends it batches of calls and gets batches of replies.
//! What both sides know already is left out: targets are sent once and then referred to by number,
//! the input of a job is sent once, and a report of a target contains the changes since the last
//! one that the leader has received.

use std::net::SocketAddr;

use magnoliapin_model::plain_data;
use magnoliapin_model::UnixMillis;

use crate::CallFailure;
use crate::JobId;
use crate::NodeName;
use crate::RunCompletion;
use crate::RunId;
use crate::RunningTask;
use crate::StartRefusal;
use crate::TargetName;
use crate::ZoneName;

plain_data! {
    /// What a node tells the leader about itself, so that it can be chosen as an agent.
    #[derive(Eq)]
    pub struct NodeProfile {
        /// Its name.
        pub name: NodeName,
        /// Its availability zone.
        pub zone: ZoneName,
        /// Address at which other nodes reach it; `None` if it serves none.
        pub address: Option<SocketAddr>,
        /// Identifies its process; a restarted process has another one.
        pub incarnation: u64,
        /// CPU capacity, in thousandths of a core.
        pub cpu_milli: u32,
        /// Bandwidth of its network link, in kilobits per second.
        pub link_kbps: u64,
    }

    /// A batch of calls that an agent makes for the leader.
    #[derive(Default)]
    pub struct AgentBatch {
        /// Identifies the state that leader and agent share; an agent with another session starts
        /// again without any.
        pub session: u64,
        /// Generation of the leader, which the targets obey as a fence unless the batch comes with a
        /// higher one.
        pub generation: u64,
        /// Address of the leader, to which the replies are sent.
        pub leader: Option<SocketAddr>,
        /// Targets that the agent may not know yet.
        pub targets: Vec<AgentTarget>,
        /// Inputs of jobs that the agent may not know yet.
        pub payloads: Vec<(JobId, String)>,
        /// The calls.
        pub calls: Vec<AgentCall>,
    }

    /// A target and the number by which the calls of a session refer to it.
    #[derive(Eq)]
    pub struct AgentTarget {
        /// The number.
        pub number: u32,
        /// Name of the target.
        pub name: TargetName,
        /// Its address.
        pub address: SocketAddr,
    }

    /// A call to a target.
    #[derive(Eq)]
    pub struct AgentCall {
        /// Identifies the call in its reply.
        pub call: u64,
        /// Number of the target.
        pub target: u32,
        /// Time on the agent's clock after which the call must not be made, in milliseconds since
        /// the start of its process.
        pub expires_at_ms: u64,
        /// Time within which the target must answer, in milliseconds.
        pub timeout_ms: u64,
        /// The request.
        pub request: AgentRequest,
    }

    /// A request to a target; the fence is that of the batch.
    #[derive(Eq)]
    pub enum AgentRequest {
        /// Starts a run with the input of its job.
        Start {
            /// The run.
            run: RunId,
            /// End of the lease on the target's clock, in milliseconds.
            lease_until_ms: u64,
            /// Checkpoint to resume from.
            checkpoint: Option<String>,
            /// Ticket of the placement service, if the queue requires one.
            ticket: Option<String>,
        },
        /// Stops a run, or prevents its start.
        Stop {
            /// The run.
            run: RunId,
        },
        /// Lists runs, extends the lease, and acknowledges completions.
        Heartbeat {
            /// Number of the last completion that is stored.
            acked_completion: u64,
            /// New end of the lease on the target's clock, in milliseconds.
            lease_until_ms: Option<u64>,
            /// How long the target may wait for a completion, in milliseconds.
            wait_ms: u64,
            /// Number of the last report of the target that the leader has received in this
            /// session; 0 if there is none.
            report: u64,
        },
        /// Sets the speed of a run relative to its full speed.
        Pace {
            /// The run.
            run: RunId,
            /// The speed, in percent of the full speed.
            percent: u8,
        },
    }

    /// A batch of replies.
    #[derive(Default, Eq)]
    pub struct AgentReplies {
        /// Session of the calls.
        pub session: u64,
        /// Replies, each with the number of its call.
        pub replies: Vec<(u64, AgentReply)>,
    }

    /// The reply to a call.
    #[derive(Eq)]
    pub enum AgentReply {
        /// The target carried out the request.
        Done {
            /// The target's clock, in milliseconds.
            clock_ms: u64,
        },
        /// The target refused the request.
        Refused {
            /// The target's clock, in milliseconds; `None` if the response does not contain it.
            clock_ms: Option<u64>,
            /// Reason of the refusal.
            reason: StartRefusal,
        },
        /// Reply to a heartbeat.
        Report(ReportUpdate),
        /// Another incarnation of the target replied.
        OtherIncarnation,
        /// The call failed.
        Failed(CallFailure),
        /// The agent does not know the target or the input of the job and has made no call.
        Missing,
        /// Reply to a heartbeat; the target may have more completions than those reported so far.
        PartialReport(ReportUpdate),
    }

    /// A report of a target, relative to the previous one.
    #[derive(Default, Eq)]
    pub struct ReportUpdate {
        /// Number of this report in the session, from 1.
        pub number: u64,
        /// Number of the report that this one changes; 0 if it is complete.
        pub base: u64,
        /// The target's clock, in milliseconds.
        pub clock_ms: u64,
        /// Start of its incarnation; `None` if it is that of the base.
        pub started_at: Option<UnixMillis>,
        /// Positions in the base of runs that are no longer in progress, ascending.
        pub removed: Vec<u32>,
        /// Runs of the base whose checkpoint or availability has changed, by position in the base.
        pub changed: Vec<(u32, RunChange)>,
        /// Runs that the base does not contain.
        pub added: Vec<RunningTask>,
        /// Completions that are not acknowledged and that the base does not contain.
        pub completions: Vec<RunCompletion>,
    }

    /// A change of a run in progress.
    #[derive(Default, Eq)]
    pub struct RunChange {
        /// New checkpoint.
        pub checkpoint: Option<String>,
        /// New progress in percent.
        pub percent: Option<u32>,
    }
}

impl NodeProfile {
    /// Returns how many targets the node can serve while they are fully used.
    pub fn target_capacity(&self) -> u32 {
        /// CPU that a fully used target takes for its starts and completions.
        const CPU_MILLI_PER_TARGET: u32 = 3;
        /// Bandwidth that a fully used target takes.
        const LINK_KBPS_PER_TARGET: u64 = 170;
        let by_link = u32::try_from(self.link_kbps / LINK_KBPS_PER_TARGET).unwrap_or(u32::MAX);
        (self.cpu_milli / CPU_MILLI_PER_TARGET).min(by_link).max(1)
    }
}
