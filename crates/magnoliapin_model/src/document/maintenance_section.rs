//! Settings of planned maintenance.

use super::document_error::ErrorList;
use super::section_reader::SectionReader;
use super::section_text::SectionText;
use crate::NumberRange;
use crate::SectionName;
use crate::TeamId;

crate::plain_data! {
    /// Settings of planned maintenance.
    #[serde(default, deny_unknown_fields)]
    pub struct MaintenanceSection {
        /// Team that owns this section; with `None`, any operator may change it.
        pub owner: Option<TeamId>,
        /// Period in which each instance is maintained once, in hours.
        pub period_hours: u32,
        /// Longest wait for running work while an instance drains, in seconds.
        pub drain_seconds: u32,
        /// Maximum number of racks under planned maintenance at once.
        pub max_racks: u32,
        /// Whether planned maintenance is paused.
        pub paused: bool,
        /// Number of canary instances, which a roll-out changes first.
        pub canary_instances: u32,
        /// How long a canary must stay healthy, in seconds.
        pub canary_seconds: u32,
    }
}

impl Default for MaintenanceSection {
    fn default() -> Self {
        Self {
            owner: None,
            period_hours: 21 * 24,
            drain_seconds: 60,
            max_racks: 1,
            paused: false,
            canary_instances: 1,
            canary_seconds: 300,
        }
    }
}

impl MaintenanceSection {
    /// Names of the section's keys, in canonical order.
    pub const KEYS: &'static [&'static str] = &[
        "owner",
        "period_hours",
        "drain_seconds",
        "max_racks",
        "paused",
        "canary_instances",
        "canary_seconds",
    ];

    /// Allowed values of `period_hours`.
    pub const PERIOD_HOURS: NumberRange = NumberRange::new(1, 366 * 24, "hours");

    /// Allowed values of `drain_seconds`.
    pub const DRAIN_SECONDS: NumberRange = NumberRange::new(1, 24 * 60 * 60, "seconds");

    /// Allowed values of `max_racks`.
    pub const MAX_RACKS: NumberRange = NumberRange::new(1, 1_000, "racks");

    /// Allowed values of `canary_instances`; 0 disables canaries.
    pub const CANARY_INSTANCES: NumberRange = NumberRange::new(0, 1_000, "instances");

    /// Allowed values of `canary_seconds`.
    pub const CANARY_SECONDS: NumberRange = NumberRange::new(0, 7 * 24 * 60 * 60, "seconds");

    pub(super) fn read(mut reader: SectionReader<'_>) -> Self {
        let default = Self::default();
        let section = Self {
            owner: reader.name("owner"),
            period_hours: reader.number("period_hours", Self::PERIOD_HOURS, default.period_hours),
            drain_seconds: reader.number(
                "drain_seconds",
                Self::DRAIN_SECONDS,
                default.drain_seconds,
            ),
            max_racks: reader.number("max_racks", Self::MAX_RACKS, default.max_racks),
            paused: reader.flag("paused", default.paused),
            canary_instances: reader.number(
                "canary_instances",
                Self::CANARY_INSTANCES,
                default.canary_instances,
            ),
            canary_seconds: reader.number(
                "canary_seconds",
                Self::CANARY_SECONDS,
                default.canary_seconds,
            ),
        };
        reader.finish(Self::KEYS);
        section
    }

    pub(super) fn check(&self, name: SectionName, errors: &mut ErrorList) {
        errors.check_range(name, "period_hours", self.period_hours, Self::PERIOD_HOURS);
        errors.check_range(name, "drain_seconds", self.drain_seconds, Self::DRAIN_SECONDS);
        errors.check_range(name, "max_racks", self.max_racks, Self::MAX_RACKS);
        errors.check_range(name, "canary_instances", self.canary_instances, Self::CANARY_INSTANCES);
        errors.check_range(name, "canary_seconds", self.canary_seconds, Self::CANARY_SECONDS);
    }

    pub(super) fn write(&self, text: &mut SectionText) {
        text.optional("owner", self.owner);
        text.number("period_hours", self.period_hours);
        text.number("drain_seconds", self.drain_seconds);
        text.number("max_racks", self.max_racks);
        text.line("paused", self.paused);
        text.number("canary_instances", self.canary_instances);
        text.number("canary_seconds", self.canary_seconds);
    }
}
