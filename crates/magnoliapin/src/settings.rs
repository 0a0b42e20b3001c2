//! Settings of an entry, read from a TOML file; all errors of the file are reported together.

mod error;
mod limits;
mod reader;
mod times;
mod tls;

pub(crate) use error::SettingsError;
pub(crate) use reader::SettingsReader;

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use magnoliapin_entry::EntryLimits;
use magnoliapin_entry::TlsFiles;
use magnoliapin_model::ZoneId;
use magnoliapin_policy::PolicyTimes;

use crate::logs::LogFormat;
use crate::logs::LogLevel;

const ALLOWED_ADDRESS: &str = "an IP address and a port, such as 127.0.0.1:7100";
const ALLOWED_ZONE: &str = "lower-case letters, digits, '-', '_' and '.', at most 40";

/// Minimum length of the key that entries share, in bytes.
const MIN_PEER_KEY_BYTES: usize = 16;

/// Settings of one entry.
#[derive(Clone, Debug)]
pub(crate) struct EntrySettings {
    /// Availability zone.
    pub(crate) zone: ZoneId,
    /// Address at which the entry accepts callers and operators.
    pub(crate) caller_listen: SocketAddr,
    /// Certificate and private key for connections of callers; `None` serves plain text.
    pub(crate) tls: Option<TlsFiles>,
    /// Address that receives datagrams of other entries.
    pub(crate) peer_listen: SocketAddr,
    /// Address of the platform's service.
    pub(crate) platform: SocketAddr,
    /// Key that all entries of the site share.
    pub(crate) peer_key: PeerKey,
    /// Seed of the entry's random numbers; `None` takes it from the operating system.
    pub(crate) seed: Option<u64>,
    /// Minimum severity of the events that are logged.
    pub(crate) log_level: LogLevel,
    /// Format of log lines.
    pub(crate) log_format: LogFormat,
    /// Intervals, timeouts and lease lengths.
    pub(crate) times: PolicyTimes,
    /// Resource limits, and timeouts towards callers.
    pub(crate) limits: EntryLimits,
}

/// Key that all entries of a site share; its `Debug` output does not contain it.
#[derive(Clone)]
pub(crate) struct PeerKey(Vec<u8>);

impl PeerKey {
    /// Returns the bytes of the key.
    pub(crate) fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl std::fmt::Debug for PeerKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("PeerKey")
    }
}

impl EntrySettings {
    /// Loads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns all errors that were found.
    pub(crate) fn load(path: &Path) -> Result<Self, Vec<SettingsError>> {
        let file = path.display().to_string();
        let text = fs::read_to_string(path).map_err(|error| {
            vec![SettingsError::new(&file, "", error, "a file that can be read")]
        })?;
        Self::parse(&file, &text)
    }

    /// Parses and checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns all errors that were found.
    pub(crate) fn parse(file: &str, text: &str) -> Result<Self, Vec<SettingsError>> {
        let mut reader = SettingsReader::new(file, text)?;
        let zone = reader.required("zone", ALLOWED_ZONE);
        let caller_listen = reader.required("caller_listen", ALLOWED_ADDRESS);
        let peer_listen = reader.required("peer_listen", ALLOWED_ADDRESS);
        let platform = reader.required("platform", ALLOWED_ADDRESS);
        let peer_key = read_peer_key(&mut reader);
        let tls = tls::read_tls(&mut reader, caller_listen);
        let seed = reader.whole_number("seed", 0..=i64::MAX as u64);
        let log_level = reader.optional("log.level", LogLevel::ALLOWED).unwrap_or_default();
        let log_format = reader.optional("log.format", LogFormat::ALLOWED).unwrap_or_default();
        let times = times::read_times(&mut reader);
        let limits = limits::read_limits(&mut reader);
        reader.finish()?;
        let settings = (|| {
            Some(Self {
                zone: zone?,
                caller_listen: caller_listen?,
                tls,
                peer_listen: peer_listen?,
                platform: platform?,
                peer_key: peer_key?,
                seed,
                log_level,
                log_format,
                times,
                limits,
            })
        })();
        settings
            .ok_or_else(|| vec![SettingsError::new(file, "", "nothing", "a value for each key")])
    }
}

/// Reads the key from `peer_key` or from the file at `peer_key_file`.
fn read_peer_key(reader: &mut SettingsReader) -> Option<PeerKey> {
    let inline = reader.secret("peer_key");
    let file = reader.text("peer_key_file");
    let key = match (inline, file) {
        (Some(key), None) => key,
        (None, Some(path)) => match fs::read_to_string(&path) {
            Ok(text) => text.trim().to_owned(),
            Err(error) => {
                reader.record_error(
                    "peer_key_file",
                    format!("{path:?}: {error}"),
                    "a readable file",
                );
                return None;
            }
        },
        (Some(_), Some(_)) => {
            reader.record_error("peer_key", "both given", "either peer_key or peer_key_file");
            return None;
        }
        (None, None) => {
            reader.record_error("peer_key", "nothing", "peer_key or peer_key_file is required");
            return None;
        }
    };
    if key.len() < MIN_PEER_KEY_BYTES {
        let allowed = format!("at least {MIN_PEER_KEY_BYTES} bytes");
        reader.record_error("peer_key", format!("{} bytes", key.len()), allowed);
        return None;
    }
    Some(PeerKey(key.into_bytes()))
}
