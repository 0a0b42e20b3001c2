//! Membership of the entry, its lease, and the lists of instances and entries.

use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_model::InstanceId;
use magnoliapin_model::Moment;
use magnoliapin_model::PoolId;
use magnoliapin_model::RowVersion;
use magnoliapin_wire::rows::EntryRow;
use magnoliapin_wire::rows::RowKey;
use magnoliapin_wire::rows::RowValue;
use magnoliapin_wire::CallFailure;
use magnoliapin_wire::ListedState;
use magnoliapin_wire::PlatformReply;
use magnoliapin_wire::TableRow;

use crate::commit::ChangeOutcome;
use crate::commit::ChangeTag;
use crate::commit::RowChange;
use crate::machine::jobs::first_version;
use crate::machine::polls::PendingList;
use crate::machine::polls::PollKind;
use crate::machine::polls::PollTimer;
use crate::outbox::Outbox;
use crate::reads::ReadResult;
use crate::reads::ReadTag;
use crate::CallId;
use crate::EntryAction;
use crate::EntryMachine;
use crate::TimelineEvent;
use crate::TimelineName;

/// Sum of consecutive failed calls from which the platform counts as down. A call that was not sent
/// counts 1, any other failure 2.
const PLATFORM_DOWN_THRESHOLD: u32 = 3;

/// Progress of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StopStage {
    /// Running work finishes.
    Draining {
        since: Moment,
    },
    /// The stop is being committed to the entry's row.
    Announcing {
        since: Moment,
    },
    Done,
}

/// State of the entry's membership and of its periodic work.
#[derive(Debug, Default)]
pub(crate) struct MembershipState {
    pub(crate) polls: IndexMap<PollKind, PollTimer>,
    pub(super) next_heartbeat: Moment,
    pub(super) next_config_request: Moment,
    pub(super) heartbeats_sent: u32,
    pub(super) next_renewal: Moment,
    pub(super) renewals: u64,
    /// Version of the entry's own row; 0 before it is committed.
    pub(super) own_row_version: RowVersion,
    /// List of instances that is applied once this entry is confirmed to be still a member.
    pub(super) pending_list: Option<PendingList>,
    /// When the list of instances in use was requested.
    pub(super) list_requested_at: Option<Moment>,
    /// Version of the `member/` row that guards the entry's changes.
    pub(super) member_row_version: RowVersion,
    pub(super) platform_failures: u32,
    pub(super) platform_up_since: Option<Moment>,
    pub(super) next_usage_index: usize,
    pub(super) next_team_index: usize,
    pub(super) next_task_renewal: Moment,
    pub(super) renewal_calls: IndexMap<CallId, InstanceId>,
    pub(super) stop_stage: Option<StopStage>,
    pub(super) is_fenced: bool,
}

impl MembershipState {
    pub(crate) fn is_registered(&self) -> bool {
        self.own_row_version > RowVersion(0)
    }

    /// Returns whether the list of instances in use was requested after `moment`.
    pub(crate) fn is_list_newer_than(&self, moment: Moment) -> bool {
        self.list_requested_at.is_some_and(|requested_at| requested_at > moment)
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stop_stage.is_some()
    }

    /// Returns whether the platform counts as reachable.
    pub(crate) fn is_platform_up(&self) -> bool {
        self.platform_up_since.is_some()
    }

    /// Returns for how long the platform has been reachable without interruption.
    pub(crate) fn platform_up_for(&self, now: Moment) -> Duration {
        self.platform_up_since.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Records whether a call to the platform was answered.
    pub(crate) fn record_platform_reply(&mut self, reply: &PlatformReply, out: &mut Outbox) {
        if let PlatformReply::Failed(failure) = reply {
            out.counts.failed_platform_calls += 1;
            let weight = if *failure == CallFailure::NotSent { 1 } else { 2 };
            self.platform_failures += weight;
            if self.platform_failures >= PLATFORM_DOWN_THRESHOLD
                && self.platform_up_since.take().is_some()
            {
                out.record(TimelineEvent::new(TimelineName::PlatformDown));
            }
            return;
        }
        self.platform_failures = 0;
        if self.platform_up_since.is_none() {
            self.platform_up_since = Some(out.now);
            out.record(TimelineEvent::new(TimelineName::PlatformUp));
        }
    }

    /// Returns the index of the first of the next `count` teams in a ring of `length` teams.
    pub(crate) fn advance_team_index(&mut self, length: usize, count: usize) -> usize {
        let first = self.next_team_index % length.max(1);
        self.next_team_index = first + count;
        first
    }
}

impl EntryMachine {
    /// Handles a list of instances, which is applied once this entry is confirmed to be still a
    /// member.
    ///
    /// The entry that takes this one over fences it at every incarnation of a target that was
    /// listed when the membership ended. This entry must therefore not discover a later
    /// incarnation without discovering the end of its membership.
    pub(crate) fn handle_instance_list(&mut self, list: PendingList) {
        for record in &list.records {
            let known = self.targets.entries.get(&record.instance);
            let was_live = known.is_some_and(|entry| entry.record.state == ListedState::Live);
            if was_live && record.state == ListedState::Leaving {
                let event = TimelineEvent::new(TimelineName::TargetLeaving);
                self.out.record(event.with_instance(record.instance));
            }
        }
        self.targets.apply_states(&list.records);
        let key = RowKey::Entry(self.identity.entry).to_string();
        let give_up_at = self.out.now + self.times.entry_lease;
        self.reads.push(ReadTag::ConfirmList(list.call), vec![key], give_up_at);
        self.membership.pending_list = Some(list);
    }

    fn apply_confirmed_list(&mut self, call: CallId, rows: Option<&[TableRow]>) {
        if rows.is_none() {
            return;
        }
        self.handle_own_row(rows);
        if self.membership.is_fenced {
            return;
        }
        let Some(list) = self.membership.pending_list.take_if(|list| list.call == call) else {
            return;
        };
        self.membership.list_requested_at = Some(list.requested_at);
        self.targets.apply_list(list.records);
    }

    pub(crate) fn apply_placements(&mut self, rows: &[TableRow]) {
        for row in rows {
            let Some(name) = row.key.strip_prefix("instance/") else { continue };
            let (Ok(instance), Ok(placement)) =
                (name.parse(), serde_json::from_str::<InstancePlacement>(&row.value))
            else {
                self.out.counts.unreadable_rows += 1;
                continue;
            };
            self.targets.apply_placement(
                instance,
                placement.pool,
                placement.state == PlacementState::Serving,
            );
        }
    }

    pub(crate) fn apply_entry_rows(&mut self, rows: &[TableRow]) {
        let mut entries = IndexMap::new();
        for row in rows {
            let Ok(RowKey::Entry(id)) = row.key.parse() else { continue };
            match EntryRow::from_json(&row.value) {
                Ok(entry) => {
                    entries.insert(id, (row.version, entry));
                }
                Err(_) => self.out.counts.unreadable_rows += 1,
            }
        }
        if !entries.contains_key(&self.identity.entry) && self.membership.stop_stage.is_none() {
            self.check_own_row();
        }
        self.peers.apply_rows(entries, self.identity.entry, self.out.now);
    }

    fn check_own_row(&mut self) {
        let key = RowKey::Entry(self.identity.entry).to_string();
        let give_up_at = self.out.now + self.times.entry_lease;
        self.reads.push(ReadTag::CheckSelf, vec![key], give_up_at);
    }

    /// Checks in the entry's own row whether another entry has taken it over. A missing or
    /// unreadable row counts as a takeover.
    pub(crate) fn handle_own_row(&mut self, rows: Option<&[TableRow]>) {
        let Some(rows) = rows else { return };
        let row = rows.first().and_then(|row| EntryRow::from_json(&row.value).ok());
        if row.is_none_or(|row| row.heir.is_some()) {
            self.request_restart();
        }
    }

    /// Ends this incarnation of the entry after a takeover by another entry.
    pub(crate) fn request_restart(&mut self) {
        if self.membership.stop_stage.is_some() {
            self.finish_stop();
        } else if !std::mem::replace(&mut self.membership.is_fenced, true) {
            self.out.record(TimelineEvent::new(TimelineName::EntryFenced));
            self.out.push_final(EntryAction::Restart);
        }
    }

    /// Commits the entry's own row, first to register the entry and then to renew its lease.
    pub(crate) fn renew_lease(&mut self) {
        let now = self.out.now;
        if self.membership.next_renewal > now || self.membership.stop_stage == Some(StopStage::Done)
        {
            return;
        }
        if self.control_commits.contains(ChangeTag::Renew) {
            return;
        }
        self.membership.next_renewal = now + self.out.jitter(self.times.entry_lease / 3);
        self.push_renewal(false);
    }

    pub(crate) fn push_renewal(&mut self, stopped: bool) {
        self.membership.renewals += 1;
        let row = EntryRow {
            zone: self.identity.zone,
            caller_address: self.identity.caller_address,
            peer_address: self.identity.peer_address,
            renewals: self.membership.renewals,
            stopped,
            heir: None,
        };
        let key = RowKey::Entry(self.identity.entry);
        let mut change = RowChange::new(ChangeTag::Renew)
            .with_guard(key, self.membership.own_row_version)
            .with_write(key, Some(row.to_json()));
        if !self.membership.is_registered() {
            let member = RowKey::Member(self.identity.entry);
            change = change.with_write(member, Some(String::new()));
        }
        self.control_commits.push(change);
    }

    /// Makes a change conflict once another entry has claimed the takeover of this one.
    pub(crate) fn guard_membership(&self, change: RowChange) -> RowChange {
        change.with_guard(RowKey::Member(self.identity.entry), self.membership.member_row_version)
    }

    /// Handles the outcome of a renewal of the entry's lease.
    pub(crate) fn handle_lease_renewal(&mut self, outcome: &ChangeOutcome) {
        match outcome {
            ChangeOutcome::Committed(versions) => {
                if let [own, member] = versions[..] {
                    self.membership.own_row_version = own;
                    self.membership.member_row_version = member;
                } else {
                    self.membership.own_row_version = first_version(versions);
                }
                if let Some(StopStage::Announcing { .. }) = self.membership.stop_stage {
                    self.finish_stop();
                }
            }
            ChangeOutcome::Conflict(_) => self.request_restart(),
        }
    }

    /// Passes rows that were read to the handler for their tag.
    pub(crate) fn handle_read_result(&mut self, result: &ReadResult) {
        let rows = result.rows.as_deref();
        match result.tag {
            ReadTag::ShowJob(call, work) => self.answer_job_read(call, work, rows),
            ReadTag::CancelJob(call, work) => self.cancel_unowned_job(call, work, rows),
            ReadTag::CheckJob(work) => self.handle_reread_job(work, rows),
            ReadTag::CheckSelf => self.handle_own_row(rows),
            ReadTag::ConfirmList(call) => self.apply_confirmed_list(call, rows),
            ReadTag::CheckAllotment(_) => {
                if let Some(rows) = rows {
                    self.apply_allotment_rows(rows);
                }
            }
        }
    }
}

magnoliapin_model::plain_data! {
    /// Fields of an instance's row that decide whether its target is used.
    struct InstancePlacement {
        pool: PoolId,
        #[serde(default)]
        state: PlacementState,
    }

    /// Whether an instance is in service; no work is sent to it in any other state.
    #[derive(Copy, Default)]
    #[serde(rename_all = "snake_case")]
    enum PlacementState {
        #[default]
        Serving,
        #[serde(other)]
        Other,
    }
}
