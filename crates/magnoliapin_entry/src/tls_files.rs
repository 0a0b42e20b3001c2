//! Certificate and private key with which an entry authenticates itself to callers.

use std::fmt;
use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::SystemTime;

use futures_rustls::pki_types::pem::PemObject;
use futures_rustls::pki_types::CertificateDer;
use futures_rustls::pki_types::PrivateKeyDer;
use futures_rustls::rustls::crypto::ring;
use futures_rustls::rustls::ServerConfig;

/// Files with the certificate and the private key of an entry's server for callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsFiles {
    /// PEM file with the certificate, followed by the intermediate certificates.
    pub certificate: PathBuf,
    /// PEM file with the private key.
    pub key: PathBuf,
}

impl TlsFiles {
    /// Loads and checks both files.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be loaded or the key does not match the certificate.
    pub fn check(&self) -> Result<(), TlsFilesError> {
        self.load().map(drop)
    }

    /// Loads the files into the configuration of new TLS sessions.
    pub(crate) fn load(&self) -> Result<Arc<ServerConfig>, TlsFilesError> {
        let chain = read_chain(&self.certificate)?;
        let key = PrivateKeyDer::from_pem_file(&self.key)
            .map_err(|error| TlsFilesError::Key(error.to_string()))?;
        let mut config = ServerConfig::builder_with_provider(Arc::new(ring::default_provider()))
            .with_safe_default_protocol_versions()
            .map_err(|error| TlsFilesError::Pair(error.to_string()))?
            .with_no_client_auth()
            .with_single_cert(chain, key)
            .map_err(|error| TlsFilesError::Pair(error.to_string()))?;
        config.alpn_protocols = vec![b"http/1.1".to_vec()];
        Ok(Arc::new(config))
    }

    /// Returns the version of the current files.
    pub(crate) fn version(&self) -> TlsFilesVersion {
        TlsFilesVersion {
            certificate: file_version(&self.certificate),
            key: file_version(&self.key),
        }
    }
}

/// Modification times and sizes of both files, compared to detect changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TlsFilesVersion {
    certificate: Option<FileVersion>,
    key: Option<FileVersion>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FileVersion {
    modified: SystemTime,
    bytes: u64,
}

/// Why the certificate and the key cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TlsFilesError {
    /// The certificate file cannot be loaded.
    Certificate(String),
    /// The key file cannot be loaded.
    Key(String),
    /// Both files were loaded, but cannot be used together.
    Pair(String),
}

impl fmt::Display for TlsFilesError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Certificate(cause) => write!(formatter, "certificate: {cause}"),
            Self::Key(cause) => write!(formatter, "key: {cause}"),
            Self::Pair(cause) => write!(formatter, "certificate and key: {cause}"),
        }
    }
}

impl std::error::Error for TlsFilesError {}

fn read_chain(file: &Path) -> Result<Vec<CertificateDer<'static>>, TlsFilesError> {
    let chain = CertificateDer::pem_file_iter(file).and_then(Iterator::collect);
    let chain: Vec<_> = chain.map_err(|error| TlsFilesError::Certificate(error.to_string()))?;
    if chain.is_empty() {
        return Err(TlsFilesError::Certificate("no certificate in the file".to_owned()));
    }
    Ok(chain)
}

fn file_version(file: &Path) -> Option<FileVersion> {
    let metadata = fs::metadata(file).ok()?;
    Some(FileVersion { modified: metadata.modified().ok()?, bytes: metadata.len() })
}
