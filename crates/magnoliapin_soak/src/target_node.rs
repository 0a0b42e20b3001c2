//! A simulated target.

use std::net::SocketAddr;

use indexmap::IndexMap;
use magnoliapin_model::InstanceId;
use magnoliapin_model::Moment;
use magnoliapin_model::PoolId;
use magnoliapin_model::RackId;
use magnoliapin_model::TargetIncarnation;
use magnoliapin_model::TaskId;
use magnoliapin_model::ZoneId;
use magnoliapin_policy::CallId;
use magnoliapin_standin::StartOutcome;
use magnoliapin_standin::TargetState;
use magnoliapin_wire::InstanceRecord;
use magnoliapin_wire::ListedState;
use magnoliapin_wire::TargetReply;
use magnoliapin_wire::TargetRequest;
use magnoliapin_wire::TaskReply;

/// Identifies a call to or from one incarnation of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct CallSource {
    pub(crate) entry: usize,
    pub(crate) incarnation: u32,
    pub(crate) call: CallId,
}

/// A simulated target.
#[derive(Debug)]
pub(crate) struct TargetNode {
    pub(crate) instance: InstanceId,
    pub(crate) zone: ZoneId,
    pub(crate) pool: PoolId,
    pub(crate) address: SocketAddr,
    pub(crate) state: TargetState,
    pub(crate) is_up: bool,
    pub(crate) is_leaving: bool,
    pub(crate) paused_until: Option<Moment>,
    pending_calls: IndexMap<TaskId, Vec<CallSource>>,
}

impl TargetNode {
    pub(crate) fn new(
        instance: InstanceId,
        zone: ZoneId,
        pool: PoolId,
        address: SocketAddr,
        run: TargetIncarnation,
    ) -> Self {
        Self {
            instance,
            zone,
            pool,
            address,
            state: TargetState::new(run, "image"),
            is_up: true,
            is_leaving: false,
            paused_until: None,
            pending_calls: IndexMap::new(),
        }
    }

    /// Returns the record under which the platform lists the target.
    pub(crate) fn record(&self) -> InstanceRecord {
        let state = match (self.is_leaving, self.is_up) {
            (true, false) => ListedState::Gone,
            (true, true) => ListedState::Leaving,
            (false, _) => ListedState::Live,
        };
        InstanceRecord {
            instance: self.instance,
            zone: self.zone,
            rack: RackId::default(),
            pool: Some(self.pool),
            address: self.address,
            run: self.state.incarnation(),
            slots: self.state.slots(),
            image: self.state.image().to_owned(),
            state,
        }
    }

    /// Handles a request. Returns the reply, or `None` if it follows when the task finishes.
    pub(crate) fn handle_request(
        &mut self,
        now: Moment,
        source: CallSource,
        request: TargetRequest,
    ) -> Option<TargetReply> {
        let reply = match request {
            TargetRequest::Start(start) => {
                let task = start.task;
                match self.state.start(now, start) {
                    StartOutcome::Replied(reply) => TargetReply::Task(reply),
                    StartOutcome::Running => {
                        self.pending_calls.entry(task).or_default().push(source);
                        return None;
                    }
                }
            }
            TargetRequest::Query(task) => TargetReply::Task(self.state.query(now, task)),
            TargetRequest::Fence(task) => TargetReply::Task(self.state.fence(now, task)),
            TargetRequest::Stop(task) => TargetReply::Task(self.state.stop(now, task)),
            TargetRequest::Renew(entry, grant) => {
                TargetReply::Entry(self.state.renew(now, entry, &grant))
            }
            TargetRequest::FenceEntry(entry, fence) => {
                TargetReply::Entry(self.state.fence_entry(now, entry, &fence))
            }
        };
        Some(reply)
    }

    /// Returns the replies of finished tasks, each with the calls that wait for it.
    pub(crate) fn poll(&mut self, now: Moment) -> Vec<(TaskReply, Vec<CallSource>)> {
        let finished = self.state.poll(now);
        let with_calls = |reply: TaskReply| {
            let sources = self.pending_calls.swap_remove(&reply.task).unwrap_or_default();
            (reply, sources)
        };
        finished.into_iter().map(with_calls).collect()
    }

    /// Stops the target and drops its running tasks and pending calls.
    pub(crate) fn crash(&mut self, now: Moment) {
        self.state.discard_running(now);
        self.pending_calls.clear();
        self.is_up = false;
    }
}
