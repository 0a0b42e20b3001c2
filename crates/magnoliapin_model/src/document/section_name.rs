//! Names of sections, the units in which the document is changed and owned.

use std::fmt;
use std::str::FromStr;

use serde_with::DeserializeFromStr;
use serde_with::SerializeDisplay;

use super::section_text::toml_key;
use crate::NameError;
use crate::PoolId;
use crate::QueueId;
use crate::TeamId;

/// Names one section of the document, such as `teams.guides`.
///
/// The order of the names is the canonical order of the sections: by kind, then by name.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub enum SectionName {
    /// `pools.<name>`
    Pool(PoolId),
    /// `teams.<name>`
    Team(TeamId),
    /// `queues.<name>`
    Queue(QueueId),
    /// `maintenance`
    Maintenance,
    /// `weights`
    Weights,
}

impl SectionName {
    /// Returns the name as written in the header of a TOML table.
    pub fn toml_header(&self) -> String {
        match self {
            Self::Pool(pool) => format!("pools.{}", toml_key(pool.as_str())),
            Self::Team(team) => format!("teams.{}", toml_key(team.as_str())),
            Self::Queue(queue) => format!("queues.{}", toml_key(queue.as_str())),
            Self::Maintenance | Self::Weights => self.to_string(),
        }
    }
}

impl fmt::Display for SectionName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Pool(pool) => write!(formatter, "pools.{pool}"),
            Self::Team(team) => write!(formatter, "teams.{team}"),
            Self::Queue(queue) => write!(formatter, "queues.{queue}"),
            Self::Maintenance => formatter.write_str("maintenance"),
            Self::Weights => formatter.write_str("weights"),
        }
    }
}

impl FromStr for SectionName {
    type Err = SectionNameError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.split_once('.') {
            Some(("pools", name)) => Ok(Self::Pool(name.parse()?)),
            Some(("teams", name)) => Ok(Self::Team(name.parse()?)),
            Some(("queues", name)) => Ok(Self::Queue(name.parse()?)),
            None if text == "maintenance" => Ok(Self::Maintenance),
            None if text == "weights" => Ok(Self::Weights),
            _ => Err(SectionNameError::Unknown),
        }
    }
}

/// Why a text does not name a section.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SectionNameError {
    /// The part after the dot is not a valid name.
    Name(NameError),
    /// No section has this name.
    Unknown,
}

impl From<NameError> for SectionNameError {
    fn from(error: NameError) -> Self {
        Self::Name(error)
    }
}

impl fmt::Display for SectionNameError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Name(error) => error.fmt(formatter),
            Self::Unknown => formatter.write_str(
                "a section is pools.<name>, teams.<name>, queues.<name>, maintenance or weights",
            ),
        }
    }
}

impl std::error::Error for SectionNameError {}
