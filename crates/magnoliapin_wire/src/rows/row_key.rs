//! Keys of the shared rows.

use std::fmt;
use std::str::FromStr;

use magnoliapin_model::EntryId;
use magnoliapin_model::SectionName;
use magnoliapin_model::TeamId;
use magnoliapin_model::WorkId;

const CONFIG_HEAD: &str = "config/head";
const SECTIONS: &str = "config/section/";
const ENTRIES: &str = "entry/";
const MEMBERS: &str = "member/";
const ALLOTMENTS: &str = "allotment/";
const JOBS: &str = "job/";
const DONE: &str = "done/";

/// Key of a row that the entries share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RowKey {
    /// Version of the configuration.
    ConfigHead,
    /// One section of the configuration.
    Section(SectionName),
    /// One entry.
    Entry(EntryId),
    /// Membership of one entry: exists from its start until it is declared lost, and guards its
    /// changes.
    Member(EntryId),
    /// Quota allotment of one team.
    Allotment(TeamId),
    /// One job before its final state.
    Job(WorkId),
    /// One job in its final state.
    Done(WorkId),
}

impl RowKey {
    /// Prefix of the keys of all sections.
    pub const SECTION_PREFIX: &'static str = SECTIONS;

    /// Prefix of the keys of all entries.
    pub const ENTRY_PREFIX: &'static str = ENTRIES;

    /// Prefix of the keys of all quota allotments.
    pub const ALLOTMENT_PREFIX: &'static str = ALLOTMENTS;

    /// Prefix of the keys of all jobs before their final state.
    pub const JOB_PREFIX: &'static str = JOBS;

    /// Prefix of the keys of all jobs in their final state.
    pub const DONE_PREFIX: &'static str = DONE;
}

impl fmt::Display for RowKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ConfigHead => formatter.write_str(CONFIG_HEAD),
            Self::Section(section) => write!(formatter, "{SECTIONS}{section}"),
            Self::Entry(entry) => write!(formatter, "{ENTRIES}{entry}"),
            Self::Member(entry) => write!(formatter, "{MEMBERS}{entry}"),
            Self::Allotment(team) => write!(formatter, "{ALLOTMENTS}{team}"),
            Self::Job(work) => write!(formatter, "{JOBS}{work}"),
            Self::Done(work) => write!(formatter, "{DONE}{work}"),
        }
    }
}

impl FromStr for RowKey {
    type Err = RowKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text == CONFIG_HEAD {
            return Ok(Self::ConfigHead);
        }
        if let Some(name) = text.strip_prefix(SECTIONS) {
            return Ok(Self::Section(parse(name)?));
        }
        if let Some(name) = text.strip_prefix(ENTRIES) {
            return Ok(Self::Entry(parse(name)?));
        }
        if let Some(name) = text.strip_prefix(MEMBERS) {
            return Ok(Self::Member(parse(name)?));
        }
        if let Some(name) = text.strip_prefix(ALLOTMENTS) {
            return Ok(Self::Allotment(parse(name)?));
        }
        if let Some(name) = text.strip_prefix(JOBS) {
            return Ok(Self::Job(parse(name)?));
        }
        if let Some(name) = text.strip_prefix(DONE) {
            return Ok(Self::Done(parse(name)?));
        }
        Err(RowKeyError::UnknownKind)
    }
}

/// Why a text is not the key of a shared row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RowKeyError {
    /// The prefix belongs to no kind of row.
    UnknownKind,
    /// The name after the prefix is invalid or not in canonical form.
    BadName,
}

impl fmt::Display for RowKeyError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::UnknownKind => "the prefix of the key belongs to no kind of row",
            Self::BadName => "the key of the row does not end in a valid name of its kind",
        })
    }
}

impl std::error::Error for RowKeyError {}

/// Parses a name; rejects texts that are not canonical, so that no row has two keys.
fn parse<N: FromStr + fmt::Display>(text: &str) -> Result<N, RowKeyError> {
    let name: N = text.parse().map_err(|_| RowKeyError::BadName)?;
    if name.to_string() == text {
        Ok(name)
    } else {
        Err(RowKeyError::BadName)
    }
}
