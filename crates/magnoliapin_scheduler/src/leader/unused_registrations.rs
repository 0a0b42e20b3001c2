//! Registrations that name no target to use, and why.
//!
//! Each is logged once, and again when its reason changes. Both what is remembered and what is logged are
//! bounded, however many entries other writers make and however often.
//!
//! A registration whose pool nothing names is held back: the next configuration may name it, as a node can
//! be behind with its configuration. Nobody is called until then.

use std::fmt;
use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_model::Moment;
use magnoliapin_model::UnixMillis;
use magnoliapin_site::PoolName;
use magnoliapin_site::TargetName;
use magnoliapin_site::TargetRecord;

#[cfg(test)]
#[path = "unused_registrations_tests.rs"]
mod tests;

/// Maximum number of registrations whose reasons are remembered.
const MAX_REMEMBERED: usize = 4_096;
/// Maximum number of lines that are logged in each [`LOG_INTERVAL`].
const MAX_LINES: u32 = 20;
/// The same for lines about targets that have not answered yet; enough for all targets of a large site.
const MAX_ANNOUNCEMENTS: u32 = 1_000;
/// Maximum number of registrations that are held back, and the length of the texts in each, in bytes. All
/// are read again should others have been dropped and a configuration names another pool.
const MAX_HELD: usize = 4_096;
const MAX_HELD_LENGTH: usize = 1_024;
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum length of the part of a decoder's message that is logged, in characters.
const MAX_REASON_LENGTH: usize = 160;

/// Why a registration is not used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum UnusedReason {
    /// It cannot be decoded.
    Unreadable(String),
    /// Neither the configuration nor an unfinished job names its pool.
    UnknownPool(PoolName),
    /// Its start lies in the future.
    FutureStart(UnixMillis),
    /// The incarnation that answers under its name started later.
    EarlierStart(UnixMillis),
    /// The incarnation that answers under its name started earlier.
    LaterStart(UnixMillis),
    /// Pool, instance, zone or address are not those of the incarnation that answers under its name.
    OtherPlace(UnixMillis),
    /// Nobody has answered under its name.
    NeverAnswered,
}

impl UnusedReason {
    /// Creates the reason of a registration that cannot be decoded.
    pub(super) fn unreadable(why: &str) -> Self {
        Self::Unreadable(why.chars().take(MAX_REASON_LENGTH).collect())
    }
}

impl fmt::Display for UnusedReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(why) => write!(f, "{why}"),
            Self::UnknownPool(pool) => {
                let pool: String = pool.as_str().chars().take(MAX_REASON_LENGTH).collect();
                write!(f, "no configuration names pool {pool}")
            }
            Self::FutureStart(at) => write!(f, "started at {at}, in the future"),
            Self::EarlierStart(at) => write!(f, "started at {at}, before the target that answers"),
            Self::LaterStart(at) => write!(f, "started at {at}, after the target that answers"),
            Self::OtherPlace(at) => write!(f, "not where the target started at {at} answers"),
            Self::NeverAnswered => write!(f, "nobody has answered under this name"),
        }
    }
}

/// The registrations that are not used, as they were last logged.
#[derive(Debug)]
pub(super) struct UnusedRegistrations {
    reasons: IndexMap<TargetName, UnusedReason>,
    /// Registrations whose pools nothing names.
    held: IndexMap<TargetName, TargetRecord>,
    /// Whether any of them was dropped as there were too many, or as it was too long.
    has_dropped: bool,
    interval_began_at: Moment,
    logged_lines: u32,
    announcements: u32,
    omitted_lines: u64,
}

impl UnusedRegistrations {
    /// Creates an empty list.
    pub(super) fn new(now: Moment) -> Self {
        Self {
            reasons: IndexMap::new(),
            held: IndexMap::new(),
            has_dropped: false,
            interval_began_at: now,
            logged_lines: 0,
            announcements: 0,
            omitted_lines: 0,
        }
    }

    /// Returns whether a registration was last logged with a reason.
    pub(super) fn is_noted(&self, name: &TargetName, reason: &UnusedReason) -> bool {
        self.reasons.get(name) == Some(reason)
    }

    /// Records that a registration is not used, and logs it unless it was last logged with the same reason.
    pub(super) fn note(&mut self, name: &TargetName, reason: UnusedReason, now: Moment) {
        if self.is_noted(name, &reason) {
            return;
        }
        if self.may_log(now) {
            log::warn!("event=registration_unusable target={name} why=\"{reason}\"");
        }
        if self.reasons.len() >= MAX_REMEMBERED && !self.reasons.contains_key(name) {
            // Should it be read again, it is logged again.
            self.reasons.swap_remove_index(0);
        }
        self.reasons.insert(name.clone(), reason);
    }

    /// Holds back a registration whose pool nothing names.
    pub(super) fn hold(&mut self, record: TargetRecord, now: Moment) {
        self.note(&record.name, UnusedReason::UnknownPool(record.pool.clone()), now);
        let is_full = self.held.len() >= MAX_HELD && !self.held.contains_key(&record.name);
        if is_full || text_length(&record) > MAX_HELD_LENGTH {
            self.held.swap_remove(&record.name);
            self.has_dropped = true;
            return;
        }
        self.held.insert(record.name.clone(), record);
    }

    /// Stops holding back the registration of a name.
    pub(super) fn drop_held(&mut self, name: &TargetName) {
        self.held.swap_remove(name);
    }

    /// Returns the registrations that are held back.
    pub(super) fn held(&self) -> impl Iterator<Item = &TargetRecord> {
        self.held.values()
    }

    /// Returns whether registrations were dropped that were to be held back, since the last call.
    pub(super) fn take_dropped(&mut self) -> bool {
        std::mem::take(&mut self.has_dropped)
    }

    /// Records that the registration of a name is used again, or gone.
    pub(super) fn forget(&mut self, name: &TargetName, what: &str, now: Moment) {
        self.drop_held(name);
        if self.reasons.swap_remove(name).is_some() && self.may_log(now) {
            log::info!("event=registration_{what} target={name}");
        }
    }

    /// Records the names of all registrations.
    pub(super) fn retain(&mut self, is_listed: impl Fn(&TargetName) -> bool, now: Moment) {
        let known = self.reasons.keys().chain(self.held.keys());
        let gone: Vec<TargetName> = known.filter(|name| !is_listed(name)).cloned().collect();
        for name in gone {
            self.forget(&name, "gone", now);
        }
    }

    /// Logs how many lines were omitted, once the interval is over.
    pub(super) fn poll(&mut self, now: Moment) {
        if now < self.interval_began_at + LOG_INTERVAL {
            return;
        }
        if self.omitted_lines > 0 {
            log::warn!(
                "event=registrations_unusable unused={} lines_omitted={}",
                self.reasons.len(),
                self.omitted_lines
            );
        }
        self.interval_began_at = now;
        (self.logged_lines, self.announcements, self.omitted_lines) = (0, 0, 0);
    }

    /// Counts a line about a target that has not answered yet. Returns whether it may be logged: not if the
    /// target was removed before for that reason.
    pub(super) fn may_announce(&mut self, name: &TargetName, now: Moment) -> bool {
        if self.is_noted(name, &UnusedReason::NeverAnswered) {
            return false;
        }
        self.poll(now);
        let may_log = self.announcements < MAX_ANNOUNCEMENTS;
        self.announcements += u32::from(may_log);
        self.omitted_lines += u64::from(!may_log);
        may_log
    }

    /// Counts a line. Returns whether it may be logged.
    fn may_log(&mut self, now: Moment) -> bool {
        self.poll(now);
        let may_log = self.logged_lines < MAX_LINES;
        self.logged_lines += u32::from(may_log);
        self.omitted_lines += u64::from(!may_log);
        may_log
    }
}

/// Returns the length of the texts in a registration, in bytes.
fn text_length(record: &TargetRecord) -> usize {
    let labels: usize = record.labels.iter().map(String::len).sum();
    let instance = record.instance.as_ref().map_or(0, |instance| instance.as_str().len());
    let names = [record.name.as_str(), record.pool.as_str(), record.zone.as_str()];
    labels + instance + names.map(str::len).iter().sum::<usize>()
}
