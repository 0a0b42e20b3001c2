//! Messages of a target: tasks under leases, and questions about them.
//!
//! A target speaks JSON over HTTP. It runs each [`TaskId`] at most once in one run of the target,
//! and never a task that was fenced before it started.
//!
//! | call | request | answer |
//! |---|---|---|
//! | `POST /v1/tasks` | [`StartTask`] | [`TaskReply`] when the task has ended or was refused |
//! | `GET /v1/tasks/{task}` | | [`TaskReply`] at once |
//! | `POST /v1/tasks/{task}/fence` | | [`TaskReply`]; a task not yet started never will be |
//! | `DELETE /v1/tasks/{task}` | | [`TaskReply`]; fences, and stops a running task |
//! | `POST /v1/entries/{entry}/renew` | [`LeaseGrant`] | [`EntryTasks`] |
//! | `POST /v1/entries/{entry}/fence` | [`EntryFence`] | [`EntryTasks`] |

use magnoliapin_model::plain_data;
use magnoliapin_model::EntryId;
use magnoliapin_model::QueueId;
use magnoliapin_model::SlotCount;
use magnoliapin_model::TargetRun;
use magnoliapin_model::TaskId;
use magnoliapin_model::TeamId;
use serde_with::base64::Base64;
use serde_with::As;

plain_data! {
    /// Starts a task and waits for its end.
    pub struct StartTask {
        /// The task; a second start of it is not run again but waits for the first.
        pub task: TaskId,
        /// Entry that holds the task.
        pub entry: EntryId,
        /// Run of the target that the task is bound to; any other run refuses it.
        pub run: TargetRun,
        /// Team that the task counts for.
        pub team: TeamId,
        /// Queue that it came through.
        pub queue: QueueId,
        /// Length of the lease, in milliseconds; the task is stopped when it lapses.
        pub lease_ms: u64,
        /// Longest run, in milliseconds.
        pub max_run_ms: u64,
        /// Input of the task.
        #[serde(with = "As::<Base64>")]
        pub payload: Vec<u8>,
    }

    /// What a target says of one task.
    pub struct TaskReply {
        /// The task that was asked for.
        pub task: TaskId,
        /// Run of the target that answers.
        pub run: TargetRun,
        /// State of the task.
        pub state: TaskState,
        /// Output, if the task has finished.
        #[serde(with = "As::<Base64>")]
        pub output: Vec<u8>,
        /// Length of the whole output, in bytes; a reply with another length was cut.
        pub output_bytes: u64,
        /// Slots that are free now.
        pub free_slots: SlotCount,
    }

    /// State of a task at its target.
    #[derive(Copy, Eq, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum TaskState {
        /// It runs.
        Running,
        /// It ran to its end.
        Finished,
        /// It ran and failed.
        Failed,
        /// It was stopped while it ran.
        Stopped,
        /// This run of the target has not started it. After a fence or a stop it never will.
        NeverStarted,
        /// It was refused and not started.
        Refused(RefusalReason),
    }

    /// Why a target refused a task.
    #[derive(Copy, Eq, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum RefusalReason {
        /// Every slot is taken.
        Full,
        /// The target is leaving.
        Leaving,
        /// The task or its entry was fenced.
        Fenced,
        /// The task is bound to another run of the target.
        OtherRun,
        /// This kind of worker can never run the task.
        Unfit,
    }

    /// Renews the leases of every task that an entry holds on the target.
    pub struct LeaseGrant {
        /// New length of the leases, in milliseconds from now.
        pub lease_ms: u64,
    }

    /// Refuses every later start of an entry and hands its tasks to another one.
    pub struct EntryFence {
        /// Entry that takes the tasks over.
        pub heir: EntryId,
        /// New length of their leases, in milliseconds from now.
        pub lease_ms: u64,
    }

    /// Every task that the target knows of an entry.
    pub struct EntryTasks {
        /// Run of the target that answers.
        pub run: TargetRun,
        /// Whether the target is leaving.
        pub leaving: bool,
        /// Slots that are free now.
        pub free_slots: SlotCount,
        /// The tasks that run and those that ended lately.
        pub tasks: Vec<TaskReply>,
    }

    /// Any call of a target.
    #[serde(rename_all = "snake_case")]
    pub enum TargetRequest {
        /// Starts a task.
        Start(StartTask),
        /// Asks for the state of a task.
        Query(TaskId),
        /// Makes sure that a task not yet started never will be.
        Fence(TaskId),
        /// Fences a task and stops it if it runs.
        Stop(TaskId),
        /// Renews the leases of an entry's tasks.
        Renew(EntryId, LeaseGrant),
        /// Fences an entry.
        FenceEntry(EntryId, EntryFence),
    }

    /// A target's answer, or why there is none.
    #[serde(rename_all = "snake_case")]
    pub enum TargetReply {
        /// Answer about one task.
        Task(TaskReply),
        /// Answer about an entry's tasks.
        Entry(EntryTasks),
        /// There is no answer.
        Failed(crate::CallFailure),
    }
}
