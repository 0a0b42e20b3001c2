//! A whole document with its version, as a text that outlives the system.

use std::fmt;
use std::str::FromStr;

use sha2::Digest;
use sha2::Sha256;

use crate::ConfigDocument;
use crate::ConfigVersion;
use crate::DocumentError;
use crate::MAX_DOCUMENT_BYTES;

const TITLE: &str = "# magnoliapin configuration";
const VERSION: &str = "# version ";
const CHECKSUM: &str = "# sha256 ";

const MAX_HEADER_BYTES: usize = 256;
const MAX_SNAPSHOT_BYTES: usize = MAX_HEADER_BYTES + MAX_DOCUMENT_BYTES;

/// A document and the version that it was accepted as.
///
/// Its text is a TOML document whose first lines are comments with the version and a checksum,
/// so that a backup that was cut or changed is not taken for a whole one, and `config apply`
/// takes it as it is.
#[derive(Clone, Debug, PartialEq)]
pub struct DocumentSnapshot {
    /// Version of the document.
    pub version: ConfigVersion,
    /// The document.
    pub document: ConfigDocument,
}

impl DocumentSnapshot {
    /// Makes a snapshot of a document.
    pub fn new(version: ConfigVersion, document: ConfigDocument) -> Self {
        Self { version, document }
    }
}

impl fmt::Display for DocumentSnapshot {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let body = self.document.to_toml();
        let checksum = checksum(self.version, &body);
        writeln!(formatter, "{TITLE}")?;
        writeln!(formatter, "{VERSION}{}", self.version)?;
        writeln!(formatter, "{CHECKSUM}{checksum}")?;
        formatter.write_str(&body)
    }
}

impl FromStr for DocumentSnapshot {
    type Err = SnapshotError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() > MAX_SNAPSHOT_BYTES {
            return Err(SnapshotError::TooLong);
        }
        let mut parts = text.splitn(4, '\n');
        if parts.next() != Some(TITLE) {
            return Err(SnapshotError::NoSnapshot);
        }
        let version = header(parts.next(), VERSION)?;
        let version = version.parse().map_err(|_| SnapshotError::NoSnapshot)?;
        let expected = header(parts.next(), CHECKSUM)?;
        let body = parts.next().unwrap_or_default();
        if checksum(version, body) != expected {
            return Err(SnapshotError::BadChecksum);
        }
        let document = ConfigDocument::parse(body).map_err(SnapshotError::BadDocument)?;
        Ok(Self { version, document })
    }
}

/// Why a text is not the snapshot of a document.
#[derive(Clone, Debug, PartialEq)]
pub enum SnapshotError {
    /// The text is longer than any snapshot.
    TooLong,
    /// The text does not begin with the lines of a snapshot.
    NoSnapshot,
    /// The text was cut or changed after it was written.
    BadChecksum,
    /// The document has errors.
    BadDocument(Vec<DocumentError>),
}

impl fmt::Display for SnapshotError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong => write!(formatter, "a snapshot has at most {MAX_SNAPSHOT_BYTES} bytes"),
            Self::NoSnapshot => formatter.write_str("the text is no snapshot of a configuration"),
            Self::BadChecksum => formatter.write_str("the snapshot was cut or changed"),
            Self::BadDocument(errors) => {
                write!(formatter, "the document of the snapshot has {} errors", errors.len())
            }
        }
    }
}

impl std::error::Error for SnapshotError {}

fn header<'a>(line: Option<&'a str>, name: &str) -> Result<&'a str, SnapshotError> {
    line.and_then(|line| line.strip_prefix(name)).ok_or(SnapshotError::NoSnapshot)
}

fn checksum(version: ConfigVersion, body: &str) -> String {
    let hash = Sha256::new().chain_update(version.0.to_be_bytes()).chain_update(body);
    hex::encode(hash.finalize())
}
