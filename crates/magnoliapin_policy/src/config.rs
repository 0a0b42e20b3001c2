//! The configuration in force: how it is fetched, and how it is known to be current.

use indexmap::IndexMap;
use magnoliapin_model::ConfigDocument;
use magnoliapin_model::ConfigVersion;
use magnoliapin_model::KeyRing;
use magnoliapin_model::Moment;
use magnoliapin_model::RowVersion;
use magnoliapin_model::SectionName;
use magnoliapin_wire::rows::ConfigHead;
use magnoliapin_wire::rows::RowError;
use magnoliapin_wire::rows::RowKey;
use magnoliapin_wire::rows::RowValue;
use magnoliapin_wire::rows::SectionRow;
use magnoliapin_wire::ConfigUpdate;
use magnoliapin_wire::PlatformReply;
use magnoliapin_wire::PlatformRequest;
use magnoliapin_wire::TableRead;
use magnoliapin_wire::TableRow;

use crate::commit::backoff;
use crate::outbox::Outbox;
use crate::CallId;
use crate::PolicyTimes;
use crate::TimelineEvent;
use crate::TimelineName;

const SECTION_PREFIX: &str = "config/";
const MAX_SECTION_ROWS: u32 = 10_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadKind {
    Head,
    ChangedSections,
    AllSections,
}

#[derive(Clone, Copy, Debug)]
struct InFlightRead {
    call: CallId,
    sent_at: Moment,
    kind: ReadKind,
}

/// The configuration in force at this entry.
///
/// Its version never decreases. The configuration is *fresh* while the latest time at which it is
/// known to have been current is recent enough.
#[derive(Debug, Default)]
pub(crate) struct ConfigState {
    /// Document in force.
    pub(crate) document: ConfigDocument,
    /// Keys of the document, indexed for the lookup that each keyed request makes.
    pub(crate) keys: KeyRing,
    /// Version in force; 0 before the first one.
    pub(crate) version: ConfigVersion,
    /// Text of each section in force.
    pub(crate) sections: IndexMap<SectionName, String>,
    /// Version at which each section was last changed, including removed sections.
    pub(crate) changed_at: IndexMap<SectionName, ConfigVersion>,
    /// Head row as last read, received from another entry, or committed by this one.
    pub(crate) head: ConfigHead,
    /// Version of the head row.
    pub(crate) head_row_version: RowVersion,
    is_loaded: bool,
    /// Latest time at which no version newer than the one in force had been accepted.
    current_as_of: Option<Moment>,
    /// Send time of this entry's latest successful read of the head.
    own_read_at: Option<Moment>,
    /// Highest version that was reported to exist.
    highest_reported: ConfigVersion,
    in_flight: Option<InFlightRead>,
    next_read_at: Moment,
    failures: u32,
}

impl ConfigState {
    /// Returns whether the entry has read and applied the platform's configuration at least once.
    pub(crate) fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    /// Returns whether the configuration is known to have been current within the freshness bound.
    pub(crate) fn is_fresh(&self, now: Moment, times: &PolicyTimes) -> bool {
        self.is_loaded && self.current_as_of.is_some_and(|as_of| now.since(as_of) < times.freshness)
    }

    /// Returns the time since this entry's latest successful read of the head, in microseconds.
    pub(crate) fn head_age_us(&self, now: Moment) -> Option<u64> {
        let age = now.since(self.own_read_at?).as_micros();
        u64::try_from(age).ok()
    }

    /// Records that `version` was current at `as_of` on this entry's clock.
    pub(crate) fn record_current(&mut self, version: ConfigVersion, as_of: Moment) {
        self.record_version(version);
        if self.is_loaded && self.version >= version {
            self.current_as_of = self.current_as_of.max(Some(as_of));
        }
    }

    /// Records that `version` exists. If it is the highest so far, an immediate read of the head is
    /// scheduled.
    pub(crate) fn record_version(&mut self, version: ConfigVersion) {
        if version > self.version && version > self.highest_reported {
            self.highest_reported = version;
            self.next_read_at = Moment::START;
        }
    }

    /// Marks the configuration as stale until it is confirmed again, and schedules an immediate
    /// read of the head.
    pub(crate) fn mark_stale(&mut self) {
        self.current_as_of = None;
        self.own_read_at = None;
        self.next_read_at = Moment::START;
    }

    /// Returns the changes from `since` to the version in force, if there are any and the head in
    /// force lists all of them.
    pub(crate) fn update_since(&self, since: ConfigVersion) -> Option<ConfigUpdate> {
        if self.version <= since || self.head.version != self.version {
            return None;
        }
        let changed = self.head.changed_since(since)?;
        let section = |name: SectionName| (name, self.sections.get(&name).cloned());
        Some(ConfigUpdate {
            since,
            head: self.head.clone(),
            head_row: self.head_row_version,
            sections: changed.into_iter().map(section).collect(),
        })
    }

    /// Applies an update from another entry if it is based on the version in force here.
    pub(crate) fn apply_update(&mut self, update: ConfigUpdate, out: &mut Outbox) {
        if !self.is_loaded || update.since != self.version || update.head.version <= self.version {
            return;
        }
        let mut sections = self.sections.clone();
        for (name, text) in update.sections {
            match text {
                Some(text) => sections.insert(name, text),
                None => sections.shift_remove(&name),
            };
        }
        let since = self.version;
        if !self.put_in_force(&update.head, sections, out) {
            return;
        }
        for change in update.head.recent.iter().filter(|change| change.version > since) {
            self.changed_at.insert(change.section, change.version);
        }
        self.head = update.head;
        self.head_row_version = update.head_row;
    }

    /// Schedules an immediate read of the head.
    pub(crate) fn schedule_read(&mut self) {
        self.next_read_at = Moment::START;
    }

    /// Reads the head if it is due and no read is in flight.
    pub(crate) fn pump(&mut self, out: &mut Outbox, times: &PolicyTimes) {
        if self.in_flight.is_some() || self.next_read_at > out.now {
            return;
        }
        self.next_read_at = out.now + out.jitter(times.head_interval);
        let kind = if self.is_loaded { ReadKind::Head } else { ReadKind::AllSections };
        self.read(kind, &[], out, times);
    }

    fn read(
        &mut self,
        kind: ReadKind,
        sections: &[SectionName],
        out: &mut Outbox,
        times: &PolicyTimes,
    ) {
        let head = std::iter::once(RowKey::ConfigHead.to_string());
        let changed = sections.iter().map(|name| RowKey::Section(*name).to_string());
        let request = match kind {
            ReadKind::AllSections => TableRead::Prefix {
                prefix: SECTION_PREFIX.to_owned(),
                after: String::new(),
                limit: MAX_SECTION_ROWS,
            },
            ReadKind::Head | ReadKind::ChangedSections => {
                TableRead::Keys(head.chain(changed).collect())
            }
        };
        let call = out.call_platform(PlatformRequest::Read(request), times.platform_timeout);
        self.in_flight = Some(InFlightRead { call, sent_at: out.now, kind });
    }

    /// Handles the platform's reply if `call` reads the configuration. Returns whether it does.
    pub(crate) fn handle_reply(
        &mut self,
        call: CallId,
        reply: &PlatformReply,
        out: &mut Outbox,
        times: &PolicyTimes,
    ) -> bool {
        let Some(read) = self.in_flight.take_if(|read| read.call == call) else {
            return false;
        };
        let PlatformReply::Rows(rows) = reply else {
            self.failures += 1;
            self.next_read_at = out.now + backoff(self.failures, out);
            return true;
        };
        self.failures = 0;
        self.apply_rows(read, rows, out, times);
        true
    }

    fn apply_rows(
        &mut self,
        read: InFlightRead,
        rows: &[TableRow],
        out: &mut Outbox,
        times: &PolicyTimes,
    ) {
        let Ok((head, head_row_version)) = find_head(rows) else {
            out.counts.unreadable_rows += 1;
            return;
        };
        if read.kind == ReadKind::Head && head.version > self.version {
            match head.changed_since(self.version) {
                Some(changed) => self.read(ReadKind::ChangedSections, &changed, out, times),
                None => self.read(ReadKind::AllSections, &[], out, times),
            }
            return;
        }
        if head.version < self.version {
            return;
        }
        if head.version > self.version || !self.is_loaded {
            let Some(sections) = self.merge_sections(read.kind, &head, rows) else {
                self.read(ReadKind::AllSections, &[], out, times);
                return;
            };
            if !self.put_in_force(&head, sections, out) {
                return;
            }
        }
        self.head = head;
        self.head_row_version = head_row_version;
        self.is_loaded = true;
        self.own_read_at = self.own_read_at.max(Some(read.sent_at));
        self.current_as_of = self.current_as_of.max(Some(read.sent_at));
    }

    /// Merges the sections that were read into those in force. Returns `None` if a changed section
    /// is missing or a row cannot be decoded.
    fn merge_sections(
        &mut self,
        kind: ReadKind,
        head: &ConfigHead,
        rows: &[TableRow],
    ) -> Option<IndexMap<SectionName, String>> {
        let mut sections = match kind {
            ReadKind::AllSections => IndexMap::new(),
            ReadKind::Head | ReadKind::ChangedSections => self.sections.clone(),
        };
        if kind == ReadKind::ChangedSections {
            let names = rows.iter().filter_map(section_name).collect::<Vec<_>>();
            let changed = head.changed_since(self.version)?;
            if changed.iter().any(|name| !names.contains(name)) {
                return None;
            }
        }
        for row in rows {
            let Some(name) = section_name(row) else { continue };
            let section = SectionRow::from_json(&row.value).ok()?;
            self.changed_at.insert(name, section.version);
            match section.text {
                Some(text) => sections.insert(name, text),
                None => sections.shift_remove(&name),
            };
        }
        Some(sections)
    }

    /// Puts a configuration in force. Returns false and keeps the previous one if the sections are
    /// not a valid document.
    pub(crate) fn put_in_force(
        &mut self,
        head: &ConfigHead,
        sections: IndexMap<SectionName, String>,
        out: &mut Outbox,
    ) -> bool {
        crate::invariant::invariant!(
            out.counts,
            head.version >= self.version,
            "the configuration version decreased from {} to {}",
            self.version,
            head.version
        );
        let document = if head.version == ConfigVersion(0) {
            Ok(ConfigDocument::default())
        } else {
            ConfigDocument::from_sections(&sections)
        };
        let Ok(document) = document else {
            out.counts.unreadable_rows += 1;
            return false;
        };
        self.keys = KeyRing::new(&document);
        self.document = document;
        self.sections = sections;
        if head.version > self.version {
            out.counts.configs_in_force += 1;
            let event = TimelineEvent::new(TimelineName::ConfigInForce);
            out.record(event.with_number(head.version.0));
        }
        self.version = head.version;
        true
    }

    /// Puts in force a change that this entry has committed.
    pub(crate) fn apply_committed(
        &mut self,
        head: ConfigHead,
        head_row_version: RowVersion,
        sections: IndexMap<SectionName, String>,
        out: &mut Outbox,
    ) {
        if head.version <= self.version {
            return;
        }
        for change in head.recent.iter().filter(|change| change.version == head.version) {
            self.changed_at.insert(change.section, change.version);
        }
        if self.put_in_force(&head, sections, out) {
            self.head = head;
            self.head_row_version = head_row_version;
        }
    }
}

fn find_head(rows: &[TableRow]) -> Result<(ConfigHead, RowVersion), RowError> {
    let key = RowKey::ConfigHead.to_string();
    match rows.iter().find(|row| row.key == key) {
        Some(row) => Ok((ConfigHead::from_json(&row.value)?, row.version)),
        None => Ok((ConfigHead::default(), RowVersion(0))),
    }
}

fn section_name(row: &TableRow) -> Option<SectionName> {
    match row.key.parse() {
        Ok(RowKey::Section(name)) => Some(name),
        _ => None,
    }
}
