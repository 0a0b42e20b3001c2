//! Membership and the entry's own lease.

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
use crate::machine::jobs::first;
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

/// Calls in a row that fail before the platform counts as down.
const DOWN_FAILURES: u32 = 3;

/// Where a planned stop stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StopStage {
    Draining { since: Moment },
    Saying { since: Moment },
    Done,
}

/// What the entry does to be a member.
#[derive(Debug, Default)]
pub(crate) struct MembershipState {
    pub(crate) polls: IndexMap<PollKind, PollTimer>,
    pub(super) next_probe: Moment,
    pub(super) next_config_ask: Moment,
    pub(super) probes: u32,
    pub(super) next_renewal: Moment,
    pub(super) renewals: u64,
    /// Version of the entry's own row; 0 before it is committed.
    pub(super) own_row: RowVersion,
    /// List of instances that is used once this entry is known to be a member still.
    pub(super) pending_list: Option<PendingList>,
    /// When the list in use was asked for.
    pub(super) list_as_of: Option<Moment>,
    /// Version of the row that guards the entry's changes.
    pub(super) member_row: RowVersion,
    pub(super) platform_failures: u32,
    pub(super) up_since: Option<Moment>,
    pub(super) next_usage: usize,
    pub(super) next_team: usize,
    pub(super) next_task_renewal: Moment,
    pub(super) renewing: IndexMap<CallId, InstanceId>,
    pub(super) stop: Option<StopStage>,
    pub(super) is_fenced: bool,
}

impl MembershipState {
    pub(crate) fn is_registered(&self) -> bool {
        self.own_row > RowVersion(0)
    }

    /// Returns whether the list in use was asked for after `moment`.
    pub(crate) fn is_listed_after(&self, moment: Moment) -> bool {
        self.list_as_of.is_some_and(|asked_at| asked_at > moment)
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stop.is_some()
    }

    /// Returns whether the platform answers.
    pub(crate) fn is_platform_up(&self) -> bool {
        self.up_since.is_some()
    }

    /// Returns how long the platform has answered without a break.
    pub(crate) fn platform_up_for(&self, now: Moment) -> Duration {
        self.up_since.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Notes whether a call of the platform had an answer.
    pub(crate) fn note_platform(&mut self, reply: &PlatformReply, out: &mut Outbox) {
        if let PlatformReply::Failed(failure) = reply {
            out.counts.failed_platform_calls += 1;
            let weight = if *failure == CallFailure::NotSent { 1 } else { 2 };
            self.platform_failures += weight;
            if self.platform_failures >= DOWN_FAILURES && self.up_since.take().is_some() {
                out.record(TimelineEvent::new(TimelineName::PlatformDown));
            }
            return;
        }
        self.platform_failures = 0;
        if self.up_since.is_none() {
            self.up_since = Some(out.now);
            out.record(TimelineEvent::new(TimelineName::PlatformUp));
        }
    }

    /// Returns the first of the next `count` places in a ring of `length`.
    pub(crate) fn take_turn(&mut self, length: usize, count: usize) -> usize {
        let first = self.next_team % length.max(1);
        self.next_team = first + count;
        first
    }
}

impl EntryMachine {
    /// Takes a list of instances, which is used once this entry is known to be a member still.
    ///
    /// Whoever takes this entry over fences it at every run of a target that was listed when this
    /// entry ceased to be a member. A later run must not be learnt of without learning of that.
    pub(crate) fn take_list(&mut self, list: PendingList) {
        for record in &list.records {
            let known = self.targets.entries.get(&record.instance);
            let was_live = known.is_some_and(|entry| entry.record.state == ListedState::Live);
            if was_live && record.state == ListedState::Leaving {
                let event = TimelineEvent::new(TimelineName::TargetLeaving);
                self.out.record(event.with_instance(record.instance));
            }
        }
        self.targets.take_states(&list.records);
        let key = RowKey::Entry(self.identity.entry).to_string();
        let give_up_at = self.out.now + self.times.entry_lease;
        self.reads.push(ReadTag::ConfirmList(list.call), vec![key], give_up_at);
        self.membership.pending_list = Some(list);
    }

    fn confirm_list(&mut self, call: CallId, rows: Option<&[TableRow]>) {
        if rows.is_none() {
            return;
        }
        self.take_own_row(rows);
        if self.membership.is_fenced {
            return;
        }
        let Some(list) = self.membership.pending_list.take_if(|list| list.call == call) else {
            return;
        };
        self.membership.list_as_of = Some(list.asked_at);
        self.targets.take_list(list.records);
    }

    pub(crate) fn take_places(&mut self, rows: &[TableRow]) {
        for row in rows {
            let Some(name) = row.key.strip_prefix("instance/") else { continue };
            let (Ok(instance), Ok(place)) =
                (name.parse(), serde_json::from_str::<InstancePlace>(&row.value))
            else {
                self.out.counts.unreadable_rows += 1;
                continue;
            };
            self.targets.take_place(instance, place.pool, place.state == PlaceState::Serving);
        }
    }

    pub(crate) fn take_entries(&mut self, rows: &[TableRow]) {
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
        if !entries.contains_key(&self.identity.entry) && self.membership.stop.is_none() {
            self.check_own_row();
        }
        self.peers.take_rows(entries, self.identity.entry, self.out.now);
    }

    fn check_own_row(&mut self) {
        let key = RowKey::Entry(self.identity.entry).to_string();
        let give_up_at = self.out.now + self.times.entry_lease;
        self.reads.push(ReadTag::CheckSelf, vec![key], give_up_at);
    }

    /// Finds out from the entry's own row whether others took it for lost.
    pub(crate) fn take_own_row(&mut self, rows: Option<&[TableRow]>) {
        let Some(rows) = rows else { return };
        let row = rows.first().and_then(|row| EntryRow::from_json(&row.value).ok());
        if row.is_none_or(|row| row.heir.is_some()) {
            self.restart();
        }
    }

    /// Gives up this run of the entry: others have taken its work over.
    pub(crate) fn restart(&mut self) {
        if self.membership.stop.is_some() {
            self.finish_stop();
        } else if !std::mem::replace(&mut self.membership.is_fenced, true) {
            self.out.record(TimelineEvent::new(TimelineName::EntryFenced));
            self.out.push_end(EntryAction::Restart);
        }
    }

    /// Commits the entry's own row, and renews it.
    pub(crate) fn renew_lease(&mut self) {
        let now = self.out.now;
        if self.membership.next_renewal > now || self.membership.stop == Some(StopStage::Done) {
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
            .with_guard(key, self.membership.own_row)
            .with_write(key, Some(row.to_json()));
        if !self.membership.is_registered() {
            let member = RowKey::Member(self.identity.entry);
            change = change.with_write(member, Some(String::new()));
        }
        self.control_commits.push(change);
    }

    /// Makes a change fail once others have taken this entry for lost.
    pub(crate) fn guard_member(&self, change: RowChange) -> RowChange {
        change.with_guard(RowKey::Member(self.identity.entry), self.membership.member_row)
    }

    /// Takes word of what became of a renewal.
    pub(crate) fn take_renewal(&mut self, outcome: &ChangeOutcome) {
        match outcome {
            ChangeOutcome::Committed(versions) => {
                if let [own, member] = versions[..] {
                    self.membership.own_row = own;
                    self.membership.member_row = member;
                } else {
                    self.membership.own_row = first(versions);
                }
                if let Some(StopStage::Saying { .. }) = self.membership.stop {
                    self.finish_stop();
                }
            }
            ChangeOutcome::Conflict(_) => self.restart(),
        }
    }

    /// Takes rows that were read for one purpose.
    pub(crate) fn take_read(&mut self, result: &ReadResult) {
        let rows = result.rows.as_deref();
        match result.tag {
            ReadTag::ShowJob(call, work) => self.take_shown(call, work, rows),
            ReadTag::CancelJob(call, work) => self.take_cancel(call, work, rows),
            ReadTag::CheckJob(work) => self.take_checked(work, rows),
            ReadTag::CheckSelf => self.take_own_row(rows),
            ReadTag::ConfirmList(call) => self.confirm_list(call, rows),
            ReadTag::CheckPart(_) => {
                if let Some(rows) = rows {
                    self.take_allotments(rows);
                }
            }
        }
    }
}

magnoliapin_model::plain_data! {
    /// What of an instance's row decides whether its target is used.
    struct InstancePlace {
        pool: PoolId,
        #[serde(default)]
        state: PlaceState,
    }

    /// Whether an instance serves; every other state keeps work away.
    #[derive(Copy, Default)]
    #[serde(rename_all = "snake_case")]
    enum PlaceState {
        #[default]
        Serving,
        #[serde(other)]
        Other,
    }
}
