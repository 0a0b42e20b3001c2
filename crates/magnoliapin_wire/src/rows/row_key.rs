//! Keys of the rows.

use std::fmt;
use std::str::FromStr;

use magnoliapin_model::EntryId;
use magnoliapin_model::SectionName;
use magnoliapin_model::TeamId;
use magnoliapin_model::WorkId;

const HEAD: &str = "config/head";
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
    /// Whether one entry may still take anything on: there from its start until it is lost.
    Member(EntryId),
    /// Allotment of one team.
    Allotment(TeamId),
    /// One job that has not ended.
    Job(WorkId),
    /// One job that has ended.
    Done(WorkId),
}

impl RowKey {
    /// Start of the keys of every section.
    pub const SECTION_PREFIX: &'static str = SECTIONS;

    /// Start of the keys of every entry.
    pub const ENTRY_PREFIX: &'static str = ENTRIES;

    /// Start of the keys of every allotment.
    pub const ALLOTMENT_PREFIX: &'static str = ALLOTMENTS;

    /// Start of the keys of every job that has not ended.
    pub const JOB_PREFIX: &'static str = JOBS;

    /// Start of the keys of every job that has ended.
    pub const DONE_PREFIX: &'static str = DONE;
}

impl fmt::Display for RowKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ConfigHead => formatter.write_str(HEAD),
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
        if text == HEAD {
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
    /// No kind of row has such keys.
    UnknownKind,
    /// What follows the kind names nothing, or is not written in its one canonical form.
    BadName,
}

impl fmt::Display for RowKeyError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::UnknownKind => "no kind of row has such a key",
            Self::BadName => "the key of the row does not end in a name of its kind",
        })
    }
}

impl std::error::Error for RowKeyError {}

/// Parses a name; refuses texts that are not canonical, so that no row has two keys.
fn parse<N: FromStr + fmt::Display>(text: &str) -> Result<N, RowKeyError> {
    let name: N = text.parse().map_err(|_| RowKeyError::BadName)?;
    if name.to_string() == text {
        Ok(name)
    } else {
        Err(RowKeyError::BadName)
    }
}
