//! Registrations that name no target to use, and why.
//!
//! Each is logged once, and again when its reason changes. Both what is remembered and what is logged are
//! bounded, however many entries other writers make and however often.

use std::fmt;
use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_model::Moment;
use magnoliapin_model::UnixMillis;
use magnoliapin_site::TargetName;

#[cfg(test)]
#[path = "unused_registrations_tests.rs"]
mod tests;

/// Maximum number of registrations whose reasons are remembered.
const MAX_REMEMBERED: usize = 4_096;
/// Maximum number of lines that are logged in each [`LOG_INTERVAL`].
const MAX_LINES: u32 = 20;
/// The same for lines about targets that have not answered yet; enough for all targets of a large site.
const MAX_ANNOUNCEMENTS: u32 = 1_000;
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum length of the part of a decoder's message that is logged, in characters.
const MAX_REASON_LENGTH: usize = 160;

/// Why a registration is not used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum UnusedReason {
    /// It cannot be decoded.
    Unreadable(String),
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

    /// Records that the registration of a name is used again, or gone.
    pub(super) fn forget(&mut self, name: &TargetName, what: &str, now: Moment) {
        if self.reasons.swap_remove(name).is_some() && self.may_log(now) {
            log::info!("event=registration_{what} target={name}");
        }
    }

    /// Records the names of all registrations.
    pub(super) fn retain(&mut self, is_listed: impl Fn(&TargetName) -> bool, now: Moment) {
        let gone: Vec<TargetName> =
            self.reasons.keys().filter(|name| !is_listed(name)).cloned().collect();
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
