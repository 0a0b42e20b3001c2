//! TLS connections to entries that present a trusted certificate.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use futures_rustls::client::TlsStream;
use futures_rustls::pki_types::pem::PemObject;
use futures_rustls::pki_types::CertificateDer;
use futures_rustls::pki_types::ServerName;
use futures_rustls::rustls::crypto::ring;
use futures_rustls::rustls::ClientConfig;
use futures_rustls::rustls::RootCertStore;
use futures_rustls::TlsConnector;
use smol::net::TcpStream;

/// Root certificates that a client trusts, with the TLS connector that checks them.
#[derive(Clone)]
pub(crate) struct EntryTrust {
    connector: TlsConnector,
}

impl EntryTrust {
    /// Loads the certificates of a PEM file.
    ///
    /// # Errors
    ///
    /// Returns the reason as text if the file is unreadable, invalid or without a certificate.
    pub(crate) fn load(file: &Path) -> Result<Self, String> {
        let roots = read_roots(file).map_err(|error| error.to_string())?;
        if roots.is_empty() {
            return Err("no certificate in the file".to_owned());
        }
        let mut config = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
            .with_safe_default_protocol_versions()
            .map_err(|error| error.to_string())?
            .with_root_certificates(roots)
            .with_no_client_auth();
        config.alpn_protocols = vec![b"http/1.1".to_vec()];
        Ok(Self { connector: TlsConnector::from(Arc::new(config)) })
    }

    /// Performs the TLS handshake with an entry, whose certificate must be valid for its IP
    /// address.
    ///
    /// # Errors
    ///
    /// Returns an error if the handshake fails.
    pub(crate) async fn handshake(
        &self,
        entry: SocketAddr,
        stream: TcpStream,
    ) -> io::Result<TlsStream<TcpStream>> {
        let name = ServerName::from(entry.ip());
        self.connector.connect(name, stream).await
    }
}

impl fmt::Debug for EntryTrust {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("EntryTrust")
    }
}

fn read_roots(file: &Path) -> Result<RootCertStore, Box<dyn std::error::Error>> {
    let mut roots = RootCertStore::empty();
    for certificate in CertificateDer::pem_file_iter(file)? {
        roots.add(certificate?)?;
    }
    Ok(roots)
}
