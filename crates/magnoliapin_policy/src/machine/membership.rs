//! Membership, the entry's own lease, and planned stops.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_model::EntryId;
use magnoliapin_model::Moment;
use magnoliapin_model::PoolId;
use magnoliapin_model::RowVersion;
use magnoliapin_wire::rows::EntryRow;
use magnoliapin_wire::rows::RowKey;
use magnoliapin_wire::rows::RowValue;
use magnoliapin_wire::CallFailure;
use magnoliapin_wire::EntryFacts;
use magnoliapin_wire::EntryState;
use magnoliapin_wire::ListedState;
use magnoliapin_wire::PeerMessage;
use magnoliapin_wire::PlatformReply;
use magnoliapin_wire::TableRow;
use magnoliapin_wire::TeamUsage;

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

/// Entries of other availability zones are probed this many times less often.
const FAR_PROBE_RATIO: u32 = 4;
/// Most teams whose use goes into one datagram.
const MAX_TEAMS_TOLD: usize = 40;
/// Calls in a row that fail before the platform counts as down.
const DOWN_FAILURES: u32 = 3;
/// A planned stop ends at the latest after this long; running jobs are then taken over.
const STOP_LIMIT: Duration = Duration::from_secs(30);

/// Where a planned stop stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StopStage {
    Draining { since: Moment },
    Saying { since: Moment },
    Done,
}

/// What the entry does to be a member.
#[derive(Debug, Default)]
pub(crate) struct MembershipState {
    pub(crate) polls: IndexMap<PollKind, PollTimer>,
    next_probe: Moment,
    next_config_ask: Moment,
    probes: u32,
    next_renewal: Moment,
    renewals: u64,
    /// Version of the entry's own row; 0 before it is committed.
    own_row: RowVersion,
    /// List of instances that is used once this entry is known to be a member still.
    pending_list: Option<PendingList>,
    /// When the list in use was asked for.
    list_as_of: Option<Moment>,
    /// Version of the row that guards the entry's changes.
    member_row: RowVersion,
    platform_failures: u32,
    up_since: Option<Moment>,
    next_usage: usize,
    next_team: usize,
    next_task_renewal: Moment,
    renewing: IndexMap<CallId, magnoliapin_model::InstanceId>,
    stop: Option<StopStage>,
    is_fenced: bool,
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
    fn restart(&mut self) {
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

    fn push_renewal(&mut self, stopped: bool) {
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

    /// Probes the other entries: those of the same availability zone more often.
    pub(crate) fn probe_peers(&mut self) {
        let now = self.out.now;
        if self.membership.next_probe > now {
            return;
        }
        self.membership.next_probe = now + self.times.probe_interval;
        self.membership.probes += 1;
        let probe_far = self.membership.probes.is_multiple_of(FAR_PROBE_RATIO);
        let facts = self.facts(true);
        for (id, record) in &self.peers.records {
            if record.zone == self.identity.zone || probe_far || record.replied_as_of.is_none() {
                let message = PeerMessage::Probe { stamp: now, facts: facts.clone() };
                self.out.send(record.address, Some(*id), message);
            }
        }
        self.note_quiet();
    }

    /// Uses the silence of every member: if none of them can have got anything newer accepted, the
    /// configuration is current although the platform does not answer.
    fn note_quiet(&mut self) {
        if self.has_apply_in_flight() {
            return;
        }
        let version = self.config.version;
        let facts = self.peers.records.values().filter_map(|record| record.facts.as_ref());
        let newest = facts.map(|facts| facts.config).max().unwrap_or_default();
        if newest > version {
            return;
        }
        let quiet = match self.peers.records.is_empty() {
            true => self.peers.listed_at.map(|_| self.out.now),
            false => self.peers.quiet_as_of(),
        };
        if let Some(as_of) = quiet {
            self.config.note_evidence(version, as_of);
        }
    }

    /// Returns what this entry says of itself. The teams' use goes out with the probes alone, as
    /// both sides of each pair probe the other.
    fn facts(&mut self, with_usage: bool) -> EntryFacts {
        let state = match (self.membership.is_stopping(), self.has_started()) {
            (true, _) => EntryState::Stopping,
            (false, true) => EntryState::Ready,
            (false, false) => EntryState::Starting,
        };
        EntryFacts {
            zone: self.identity.zone,
            peer_address: self.identity.peer_address,
            caller_address: self.identity.caller_address,
            state,
            config: self.config.version,
            head_age_us: self.config.head_age_us(self.out.now),
            apply_in_flight: self.has_apply_in_flight(),
            member_count: u32::try_from(self.peers.records.len()).unwrap_or(u32::MAX),
            usage: if with_usage { self.told_usage() } else { Vec::new() },
        }
    }

    fn told_usage(&mut self) -> Vec<TeamUsage> {
        let own = self.identity.entry;
        let usage = |(team, part): (&magnoliapin_model::TeamId, &crate::allotment::TeamPart)| {
            let waiting = self.request_lines.waiting(*team) + self.job_lines.waiting(*team);
            TeamUsage { team: *team, running: part.running, waiting, part: part.part(own) }
        };
        let all = self.allotments.parts.iter().map(usage).collect::<Vec<_>>();
        if all.len() <= MAX_TEAMS_TOLD {
            return all;
        }
        let first = self.membership.next_usage % all.len();
        self.membership.next_usage = first + MAX_TEAMS_TOLD;
        all.into_iter().cycle().skip(first).take(MAX_TEAMS_TOLD).collect()
    }

    /// Takes a message of another entry.
    pub(crate) fn take_peer(&mut self, from: EntryId, address: SocketAddr, message: PeerMessage) {
        match message {
            PeerMessage::Probe { stamp, facts } => {
                let reply = PeerMessage::Reply { stamp, facts: self.facts(false) };
                self.take_facts(from, facts);
                self.out.send(address, Some(from), reply);
            }
            PeerMessage::Reply { stamp, facts } => {
                if let Some(age) = facts.head_age_us {
                    let as_of = stamp.before(Duration::from_micros(age));
                    self.config.note_evidence(facts.config, as_of);
                }
                self.take_facts(from, facts);
                self.peers.note_reply(from, stamp);
            }
            PeerMessage::TargetLeaving(instance) => {
                self.targets.note_leaving(instance);
            }
            PeerMessage::PartMoved(team) => self.check_part(team),
            PeerMessage::AskConfig { known } => {
                if let Some(news) = self.config.news_since(known) {
                    self.out.send(address, Some(from), PeerMessage::TellConfig(news));
                }
            }
            PeerMessage::TellConfig(news) => self.config.take_news(news, &mut self.out),
        }
    }

    /// Asks an entry with a newer configuration for it, as the platform may not answer.
    fn ask_config(&mut self, from: EntryId, facts: &EntryFacts) {
        let now = self.out.now;
        if facts.config <= self.config.version || self.membership.next_config_ask > now {
            return;
        }
        self.membership.next_config_ask = now + self.times.probe_interval;
        let message = PeerMessage::AskConfig { known: self.config.version };
        self.out.send(facts.peer_address, Some(from), message);
    }

    fn take_facts(&mut self, from: EntryId, facts: EntryFacts) {
        self.config.want(facts.config);
        self.ask_config(from, &facts);
        if self.peers.take_facts(from, facts, self.out.now) {
            self.out.record(TimelineEvent::new(TimelineName::PeerJoined).with_number(from.0));
        }
    }

    /// Begins a planned stop.
    pub(crate) fn begin_stop(&mut self) {
        if self.membership.stop.is_none() {
            self.membership.stop = Some(StopStage::Draining { since: self.out.now });
            self.out.record(TimelineEvent::new(TimelineName::EntryStopping));
        }
    }

    /// Goes on with a planned stop: what runs ends first, then the entry's row says so.
    pub(crate) fn advance_stop(&mut self) {
        let now = self.out.now;
        match self.membership.stop {
            Some(StopStage::Draining { since }) => {
                let is_idle = !self.work.has_requests()
                    && self.tasks.entries.is_empty()
                    && self.job_commits.is_empty()
                    && !self.has_apply_in_flight();
                if !is_idle && now.since(since) < STOP_LIMIT {
                    return;
                }
                if !self.membership.is_registered() || !self.membership.is_platform_up() {
                    self.finish_stop();
                } else if !self.control_commits.contains(ChangeTag::Renew) {
                    self.push_renewal(true);
                    self.membership.stop = Some(StopStage::Saying { since: now });
                }
            }
            Some(StopStage::Saying { since }) if now.since(since) >= self.times.entry_lease => {
                self.finish_stop();
            }
            Some(StopStage::Saying { .. } | StopStage::Done) | None => {}
        }
    }

    fn finish_stop(&mut self) {
        if self.membership.stop != Some(StopStage::Done) {
            self.membership.stop = Some(StopStage::Done);
            self.out.push_end(EntryAction::Stopped);
        }
    }

    /// Renews the leases of the tasks that this entry holds, one call for each target.
    pub(crate) fn renew_tasks(&mut self) {
        let now = self.out.now;
        if self.membership.next_task_renewal > now {
            return;
        }
        self.membership.next_task_renewal = now + self.times.renew_interval;
        let lease_ms = u64::try_from(self.times.task_lease.as_millis()).unwrap_or(u64::MAX);
        let targets = self.tasks.targets();
        for target in targets {
            let call = self.out.next_call();
            self.membership.renewing.insert(call, target.instance);
            let grant = magnoliapin_wire::LeaseGrant { lease_ms };
            self.out.push(EntryAction::Target {
                call,
                instance: target.instance,
                address: target.address,
                request: magnoliapin_wire::TargetRequest::Renew(self.identity.entry, grant),
                timeout: self.times.renew_interval,
                new_connection: false,
                send_before: now + self.times.renew_interval,
            });
        }
    }

    /// Takes the answer to a renewal if `call` is one. Returns whether it was.
    pub(crate) fn take_task_renewal(
        &mut self,
        call: CallId,
        reply: &magnoliapin_wire::TargetReply,
    ) -> bool {
        let Some(instance) = self.membership.renewing.swap_remove(&call) else { return false };
        if let magnoliapin_wire::TargetReply::Entry(tasks) = reply {
            self.targets.note_free(instance, tasks.free_slots, self.out.now);
            self.tasks.note_renewal(tasks, self.out.now, &self.times);
        }
        true
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
