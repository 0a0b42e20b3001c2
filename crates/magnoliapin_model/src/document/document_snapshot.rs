//! A document with its version, as a text for backups.

use std::fmt;
use std::str::FromStr;

use sha2::Digest;
use sha2::Sha256;

use crate::ConfigDocument;
use crate::ConfigVersion;
use crate::DocumentError;
use crate::MAX_DOCUMENT_BYTES;

const TITLE_LINE: &str = "# magnoliapin configuration";
const VERSION_PREFIX: &str = "# version ";
const CHECKSUM_PREFIX: &str = "# sha256 ";

const MAX_HEADER_BYTES: usize = 256;
const MAX_SNAPSHOT_BYTES: usize = MAX_HEADER_BYTES + MAX_DOCUMENT_BYTES;

/// A document and the version that it was accepted as.
///
/// Its text is a TOML document whose first lines are comments with the version and a checksum.
/// The checksum detects a truncated or modified backup, and `config apply` accepts the text
/// unchanged.
#[derive(Clone, Debug, PartialEq)]
pub struct DocumentSnapshot {
    /// Version of the document.
    pub version: ConfigVersion,
    /// The document.
    pub document: ConfigDocument,
}

impl DocumentSnapshot {
    /// Creates the snapshot of a document that was accepted as `version`.
    pub fn new(version: ConfigVersion, document: ConfigDocument) -> Self {
        Self { version, document }
    }
}

impl fmt::Display for DocumentSnapshot {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let body = self.document.to_toml();
        let checksum = checksum(self.version, &body);
        writeln!(formatter, "{TITLE_LINE}")?;
        writeln!(formatter, "{VERSION_PREFIX}{}", self.version)?;
        writeln!(formatter, "{CHECKSUM_PREFIX}{checksum}")?;
        formatter.write_str(&body)
    }
}

impl FromStr for DocumentSnapshot {
    type Err = SnapshotError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() > MAX_SNAPSHOT_BYTES {
            return Err(SnapshotError::TooLong);
        }
        let mut lines = text.splitn(4, '\n');
        if lines.next() != Some(TITLE_LINE) {
            return Err(SnapshotError::NoSnapshot);
        }
        let version = header_value(lines.next(), VERSION_PREFIX)?;
        let version = version.parse().map_err(|_| SnapshotError::NoSnapshot)?;
        let expected = header_value(lines.next(), CHECKSUM_PREFIX)?;
        let body = lines.next().unwrap_or_default();
        if checksum(version, body) != expected {
            return Err(SnapshotError::BadChecksum);
        }
        let document = ConfigDocument::parse(body).map_err(SnapshotError::BadDocument)?;
        Ok(Self { version, document })
    }
}

/// Why a text is not a valid snapshot.
#[derive(Clone, Debug, PartialEq)]
pub enum SnapshotError {
    /// The text exceeds the maximum length of a snapshot.
    TooLong,
    /// The text does not start with the header lines of a snapshot.
    NoSnapshot,
    /// The text was truncated or modified after it was written.
    BadChecksum,
    /// The document has errors.
    BadDocument(Vec<DocumentError>),
}

impl fmt::Display for SnapshotError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong => write!(formatter, "a snapshot has at most {MAX_SNAPSHOT_BYTES} bytes"),
            Self::NoSnapshot => formatter.write_str("the text is not a configuration snapshot"),
            Self::BadChecksum => {
                formatter.write_str("checksum mismatch: the snapshot was truncated or modified")
            }
            Self::BadDocument(errors) => {
                write!(formatter, "the document of the snapshot has {} errors", errors.len())
            }
        }
    }
}

impl std::error::Error for SnapshotError {}

fn header_value<'a>(line: Option<&'a str>, prefix: &str) -> Result<&'a str, SnapshotError> {
    line.and_then(|line| line.strip_prefix(prefix)).ok_or(SnapshotError::NoSnapshot)
}

fn checksum(version: ConfigVersion, body: &str) -> String {
    let hash = Sha256::new().chain_update(version.0.to_be_bytes()).chain_update(body);
    hex::encode(hash.finalize())
}
