//! One queue of requests and jobs.

use super::document_error::ErrorList;
use super::section_reader::SectionReader;
use super::section_text::SectionText;
use crate::ByteSize;
use crate::NumberRange;
use crate::PoolId;
use crate::SectionName;
use crate::TeamId;

const ALLOWED_POOL: &str = "the name of a section [pools.*] that is no spare";

crate::plain_data! {
    /// One queue of requests and jobs.
    #[serde(default, deny_unknown_fields)]
    pub struct QueueSection {
        /// Team that owns this section; with `None`, any operator may change it.
        pub owner: Option<TeamId>,
        /// Pool whose targets run the queue's work.
        pub pool: PoolId,
        /// Whether work is accepted without a key; it then counts towards the team `open_team`.
        pub open: bool,
        /// Team to which work without a key is charged if the queue is open.
        pub open_team: Option<TeamId>,
        /// Teams that may submit work; empty means all.
        pub teams: Vec<TeamId>,
        /// Whether work may run again when its outcome is unknown; also permits retries of jobs.
        pub idempotent: bool,
        /// Maximum size of a body, in bytes.
        pub max_body_bytes: ByteSize,
        /// Longest time that a request waits for its response, in milliseconds.
        pub timeout_ms: u64,
        /// Maximum run time of one job attempt, in milliseconds.
        pub max_run_ms: u64,
        /// Maximum number of failed attempts of a job; only idempotent jobs are retried.
        pub max_attempts: u32,
        /// Maximum number of requests and jobs that wait in one entry.
        pub max_waiting: u32,
    }
}

impl Default for QueueSection {
    fn default() -> Self {
        Self {
            owner: None,
            pool: PoolId::default(),
            open: false,
            open_team: None,
            teams: Vec::new(),
            idempotent: false,
            max_body_bytes: ByteSize(64 * 1024),
            timeout_ms: 10_000,
            max_run_ms: 60_000,
            max_attempts: 3,
            max_waiting: 1_000,
        }
    }
}

impl QueueSection {
    /// Names of the section's keys, in canonical order.
    pub const KEYS: &'static [&'static str] = &[
        "owner",
        "pool",
        "open",
        "open_team",
        "teams",
        "idempotent",
        "max_body_bytes",
        "timeout_ms",
        "max_run_ms",
        "max_attempts",
        "max_waiting",
    ];

    /// Allowed values of `max_body_bytes`.
    pub const MAX_BODY_BYTES: NumberRange = NumberRange::new(1, 1024 * 1024, "bytes");

    /// Allowed values of `timeout_ms`.
    pub const TIMEOUT_MS: NumberRange = NumberRange::new(1, 60 * 60 * 1000, "milliseconds");

    /// Allowed values of `max_run_ms`.
    pub const MAX_RUN_MS: NumberRange = NumberRange::new(1, 24 * 60 * 60 * 1000, "milliseconds");

    /// Allowed values of `max_attempts`.
    pub const MAX_ATTEMPTS: NumberRange = NumberRange::new(1, 100, "attempts");

    /// Allowed values of `max_waiting`.
    pub const MAX_WAITING: NumberRange = NumberRange::new(1, 1_000_000, "requests and jobs");

    pub(super) fn read(mut reader: SectionReader<'_>) -> Self {
        reader.require("pool", ALLOWED_POOL);
        let default = Self::default();
        let section = Self {
            owner: reader.name("owner"),
            pool: reader.name("pool").unwrap_or_default(),
            open: reader.flag("open", default.open),
            open_team: reader.name("open_team"),
            teams: reader.names("teams"),
            idempotent: reader.flag("idempotent", default.idempotent),
            max_body_bytes: ByteSize(reader.number(
                "max_body_bytes",
                Self::MAX_BODY_BYTES,
                default.max_body_bytes.0,
            )),
            timeout_ms: reader.number("timeout_ms", Self::TIMEOUT_MS, default.timeout_ms),
            max_run_ms: reader.number("max_run_ms", Self::MAX_RUN_MS, default.max_run_ms),
            max_attempts: reader.number("max_attempts", Self::MAX_ATTEMPTS, default.max_attempts),
            max_waiting: reader.number("max_waiting", Self::MAX_WAITING, default.max_waiting),
        };
        reader.finish(Self::KEYS);
        section
    }

    pub(super) fn check(&self, name: SectionName, errors: &mut ErrorList) {
        errors.check_range(name, "max_body_bytes", self.max_body_bytes.0, Self::MAX_BODY_BYTES);
        errors.check_range(name, "timeout_ms", self.timeout_ms, Self::TIMEOUT_MS);
        errors.check_range(name, "max_run_ms", self.max_run_ms, Self::MAX_RUN_MS);
        errors.check_range(name, "max_attempts", self.max_attempts, Self::MAX_ATTEMPTS);
        errors.check_range(name, "max_waiting", self.max_waiting, Self::MAX_WAITING);
        if self.open && self.open_team.is_none() {
            errors.add(name, "open_team", "nothing", "a team, as the queue is open");
        }
    }

    pub(super) fn write(&self, text: &mut SectionText) {
        text.optional("owner", self.owner);
        text.line("pool", self.pool.as_str());
        text.line("open", self.open);
        text.optional("open_team", self.open_team);
        let teams: Vec<String> = self.teams.iter().map(ToString::to_string).collect();
        text.line("teams", teams);
        text.line("idempotent", self.idempotent);
        text.number("max_body_bytes", self.max_body_bytes.0);
        text.number("timeout_ms", self.timeout_ms);
        text.number("max_run_ms", self.max_run_ms);
        text.number("max_attempts", self.max_attempts);
        text.number("max_waiting", self.max_waiting);
    }
}
