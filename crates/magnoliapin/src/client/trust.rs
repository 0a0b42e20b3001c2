//! The certificate that a client trusts, and TLS sessions with entries that show it.

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

/// The certificate that a client trusts.
#[derive(Clone)]
pub(crate) struct EntryTrust {
    connector: TlsConnector,
}

impl EntryTrust {
    /// Reads the certificates of a PEM file.
    ///
    /// # Errors
    ///
    /// Returns why the file cannot be used.
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

    /// Makes a TLS session with the entry, whose certificate must name its IP address.
    ///
    /// # Errors
    ///
    /// Returns why the handshake failed.
    pub(crate) async fn open(
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
