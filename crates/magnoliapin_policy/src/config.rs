//! The configuration in force: how it is fetched and how the entry knows that it is current.

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
use magnoliapin_wire::ConfigNews;
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
    Changes,
    Whole,
}

#[derive(Clone, Copy, Debug)]
struct ReadFlight {
    call: CallId,
    sent_at: Moment,
    kind: ReadKind,
}

/// The configuration in force at this entry.
///
/// Its version only rises. The configuration is *fresh* while the entry knows that nothing newer
/// had been accepted a short time ago.
#[derive(Debug, Default)]
pub(crate) struct ConfigKeeper {
    /// The document in force.
    pub(crate) document: ConfigDocument,
    /// Keys of the document, for the lookup that each keyed request makes.
    pub(crate) keys: KeyRing,
    /// Its version; 0 before the first.
    pub(crate) version: ConfigVersion,
    /// Text of each section.
    pub(crate) sections: IndexMap<SectionName, String>,
    /// Version at which each section was last changed, removed ones included.
    pub(crate) changed_at: IndexMap<SectionName, ConfigVersion>,
    /// The head as it was last read.
    pub(crate) head: ConfigHead,
    /// Row version of the head as it was last read.
    pub(crate) head_row: RowVersion,
    known: bool,
    as_of: Option<Moment>,
    own_read: Option<Moment>,
    wanted: ConfigVersion,
    flight: Option<ReadFlight>,
    next_poll: Moment,
    failures: u32,
}

impl ConfigKeeper {
    /// Returns whether the entry has read the platform's head at least once.
    pub(crate) fn is_known(&self) -> bool {
        self.known
    }

    /// Returns whether the configuration is known to have been current within the bound.
    pub(crate) fn is_fresh(&self, now: Moment, times: &PolicyTimes) -> bool {
        self.known && self.as_of.is_some_and(|as_of| now.since(as_of) < times.freshness)
    }

    /// Returns the time since the configuration was current by a read of this entry's own, in
    /// microseconds.
    pub(crate) fn head_age_us(&self, now: Moment) -> Option<u64> {
        let age = now.since(self.own_read?).as_micros();
        u64::try_from(age).ok()
    }

    /// Takes word that `version` was current at `as_of` on this entry's clock.
    pub(crate) fn note_evidence(&mut self, version: ConfigVersion, as_of: Moment) {
        self.want(version);
        if self.known && self.version >= version {
            self.as_of = self.as_of.max(Some(as_of));
        }
    }

    /// Takes word that a version exists, so that it is fetched at once.
    pub(crate) fn want(&mut self, version: ConfigVersion) {
        if version > self.version && version > self.wanted {
            self.wanted = version;
            self.next_poll = Moment::START;
        }
    }

    /// Takes the configuration for outdated until the head was read again.
    pub(crate) fn distrust(&mut self) {
        self.as_of = None;
        self.own_read = None;
        self.next_poll = Moment::START;
    }

    /// Returns what changed since a version, if the head reaches back that far and something did.
    pub(crate) fn news_since(&self, since: ConfigVersion) -> Option<ConfigNews> {
        if self.version <= since || self.head.version != self.version {
            return None;
        }
        let changed = self.head.changed_since(since)?;
        let text = |name: SectionName| (name, self.sections.get(&name).cloned());
        Some(ConfigNews {
            since,
            head: self.head.clone(),
            head_row: self.head_row,
            sections: changed.into_iter().map(text).collect(),
        })
    }

    /// Takes news from another entry, if they start from the version in force here.
    pub(crate) fn take_news(&mut self, news: ConfigNews, out: &mut Outbox) {
        if !self.known || news.since != self.version || news.head.version <= self.version {
            return;
        }
        let mut sections = self.sections.clone();
        for (name, text) in news.sections {
            match text {
                Some(text) => sections.insert(name, text),
                None => sections.shift_remove(&name),
            };
        }
        let since = self.version;
        if !self.put_in_force(&news.head, sections, out) {
            return;
        }
        for change in news.head.recent.iter().filter(|change| change.version > since) {
            self.changed_at.insert(change.section, change.version);
        }
        self.head = news.head;
        self.head_row = news.head_row;
    }

    /// Lets the head be read at once.
    pub(crate) fn poll_now(&mut self) {
        self.next_poll = Moment::START;
    }

    /// Reads the head when its time has come.
    pub(crate) fn pump(&mut self, out: &mut Outbox, times: &PolicyTimes) {
        if self.flight.is_some() || self.next_poll > out.now {
            return;
        }
        self.next_poll = out.now + out.jitter(times.head_interval);
        let kind = if self.known { ReadKind::Head } else { ReadKind::Whole };
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
        let read = match kind {
            ReadKind::Whole => TableRead::Prefix {
                prefix: SECTION_PREFIX.to_owned(),
                after: String::new(),
                limit: MAX_SECTION_ROWS,
            },
            ReadKind::Head | ReadKind::Changes => TableRead::Keys(head.chain(changed).collect()),
        };
        let call = out.call_platform(PlatformRequest::Read(read), times.platform_timeout);
        self.flight = Some(ReadFlight { call, sent_at: out.now, kind });
    }

    /// Takes the platform's answer if `call` is the keeper's. Returns whether it was.
    pub(crate) fn take_reply(
        &mut self,
        call: CallId,
        reply: &PlatformReply,
        out: &mut Outbox,
        times: &PolicyTimes,
    ) -> bool {
        let Some(flight) = self.flight.take_if(|flight| flight.call == call) else {
            return false;
        };
        let PlatformReply::Rows(rows) = reply else {
            self.failures += 1;
            self.next_poll = out.now + backoff(self.failures, out);
            return true;
        };
        self.failures = 0;
        self.take_rows(flight, rows, out, times);
        true
    }

    fn take_rows(
        &mut self,
        flight: ReadFlight,
        rows: &[TableRow],
        out: &mut Outbox,
        times: &PolicyTimes,
    ) {
        let Ok((head, head_row)) = find_head(rows) else {
            out.counts.unreadable_rows += 1;
            return;
        };
        if flight.kind == ReadKind::Head && head.version > self.version {
            match head.changed_since(self.version) {
                Some(changed) => self.read(ReadKind::Changes, &changed, out, times),
                None => self.read(ReadKind::Whole, &[], out, times),
            }
            return;
        }
        if head.version < self.version {
            return;
        }
        if head.version > self.version || !self.known {
            let Some(sections) = self.merge(flight.kind, &head, rows) else {
                self.read(ReadKind::Whole, &[], out, times);
                return;
            };
            if !self.put_in_force(&head, sections, out) {
                return;
            }
        }
        self.head = head;
        self.head_row = head_row;
        self.known = true;
        self.own_read = self.own_read.max(Some(flight.sent_at));
        self.as_of = self.as_of.max(Some(flight.sent_at));
    }

    /// Merges the sections that were read into those in force. Returns none if a change is missing.
    fn merge(
        &mut self,
        kind: ReadKind,
        head: &ConfigHead,
        rows: &[TableRow],
    ) -> Option<IndexMap<SectionName, String>> {
        let mut sections = match kind {
            ReadKind::Whole => IndexMap::new(),
            ReadKind::Head | ReadKind::Changes => self.sections.clone(),
        };
        if kind == ReadKind::Changes {
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

    /// Puts a configuration in force. Returns whether its sections make a document.
    pub(crate) fn put_in_force(
        &mut self,
        head: &ConfigHead,
        sections: IndexMap<SectionName, String>,
        out: &mut Outbox,
    ) -> bool {
        crate::invariant::invariant!(
            out.counts,
            head.version >= self.version,
            "the configuration went back from {} to {}",
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

    /// Puts a change in force that this entry committed itself.
    pub(crate) fn take_committed(
        &mut self,
        head: ConfigHead,
        head_row: RowVersion,
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
            self.head_row = head_row;
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
