//! Messages to and from targets: tasks with leases, and queries about them.
//!
//! A target speaks JSON over HTTP. Each of its incarnations runs a [`TaskId`] at most once, and
//! never a task that was fenced before it started.
//!
//! | call | request | response |
//! |---|---|---|
//! | `POST /v1/tasks` | [`StartTask`] | [`TaskReply`] once the task has finished or was refused |
//! | `GET /v1/tasks/{task}` | | [`TaskReply`] immediately |
//! | `POST /v1/tasks/{task}/fence` | | [`TaskReply`]; a task that has not started never will |
//! | `DELETE /v1/tasks/{task}` | | [`TaskReply`]; fences the task and stops it if it runs |
//! | `POST /v1/entries/{entry}/renew` | [`LeaseGrant`] | [`EntryTasks`] |
//! | `POST /v1/entries/{entry}/fence` | [`EntryFence`] | [`EntryTasks`] |

use magnoliapin_model::plain_data;
use magnoliapin_model::EntryId;
use magnoliapin_model::QueueId;
use magnoliapin_model::SlotCount;
use magnoliapin_model::TargetIncarnation;
use magnoliapin_model::TaskId;
use magnoliapin_model::TeamId;
use serde_with::base64::Base64;
use serde_with::As;

plain_data! {
    /// Starts a task and waits for its completion.
    pub struct StartTask {
        /// The task; a repeated start does not run it again but waits for the first run.
        pub task: TaskId,
        /// Entry that owns the task.
        pub entry: EntryId,
        /// Incarnation of the target to which the task is bound; any other refuses it.
        pub run: TargetIncarnation,
        /// Team to which the task is charged.
        pub team: TeamId,
        /// Queue to which its work was submitted.
        pub queue: QueueId,
        /// Duration of the lease, in milliseconds; the task is stopped when it expires.
        pub lease_ms: u64,
        /// Maximum run time, in milliseconds.
        pub max_run_ms: u64,
        /// Input of the task.
        #[serde(with = "As::<Base64>")]
        pub payload: Vec<u8>,
    }

    /// Report of a target about one task.
    pub struct TaskReply {
        /// The task.
        pub task: TaskId,
        /// Incarnation of the replying target.
        pub run: TargetIncarnation,
        /// State of the task.
        pub state: TaskState,
        /// Output, if the task has finished.
        #[serde(with = "As::<Base64>")]
        pub output: Vec<u8>,
        /// Length of the complete output, in bytes; an `output` of another length was truncated.
        pub output_bytes: u64,
        /// Number of slots that are free now.
        pub free_slots: SlotCount,
    }

    /// State of a task at its target.
    #[derive(Copy, Eq, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum TaskState {
        /// It is running.
        Running,
        /// It ran to completion.
        Finished,
        /// It ran and failed.
        Failed,
        /// It was stopped while running.
        Stopped,
        /// This incarnation of the target has not started it. After a fence or stop it never will.
        NeverStarted,
        /// It was refused and not started.
        Refused(RefusalReason),
    }

    /// Why a target refused a task.
    #[derive(Copy, Eq, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum RefusalReason {
        /// Every slot is occupied.
        Full,
        /// The target is leaving.
        Leaving,
        /// The task or its entry was fenced.
        Fenced,
        /// The task is bound to another incarnation of the target.
        OtherRun,
        /// This kind of worker can never run the task.
        Unfit,
    }

    /// Renews the leases of all tasks that an entry owns on the target.
    pub struct LeaseGrant {
        /// New duration of the leases, in milliseconds from now.
        pub lease_ms: u64,
    }

    /// Refuses all later starts by an entry and transfers its tasks to another entry.
    pub struct EntryFence {
        /// Entry that takes over the tasks.
        pub heir: EntryId,
        /// New duration of their leases, in milliseconds from now.
        pub lease_ms: u64,
    }

    /// All tasks of an entry that the target has recorded.
    pub struct EntryTasks {
        /// Incarnation of the replying target.
        pub run: TargetIncarnation,
        /// Whether the target is leaving.
        pub leaving: bool,
        /// Number of slots that are free now.
        pub free_slots: SlotCount,
        /// Running and recently finished tasks.
        pub tasks: Vec<TaskReply>,
    }

    /// Any call of a target.
    #[serde(rename_all = "snake_case")]
    pub enum TargetRequest {
        /// Starts a task.
        Start(StartTask),
        /// Queries the state of a task.
        Query(TaskId),
        /// Fences a task: if it has not started yet, it never will.
        Fence(TaskId),
        /// Fences a task and stops it if it runs.
        Stop(TaskId),
        /// Renews the leases of an entry's tasks.
        Renew(EntryId, LeaseGrant),
        /// Fences an entry and transfers its tasks.
        FenceEntry(EntryId, EntryFence),
    }

    /// Reply of a target, or why there is none.
    #[serde(rename_all = "snake_case")]
    pub enum TargetReply {
        /// Report about one task.
        Task(TaskReply),
        /// Report about an entry's tasks.
        Entry(EntryTasks),
        /// The call failed without a reply.
        Failed(crate::CallFailure),
    }
}
