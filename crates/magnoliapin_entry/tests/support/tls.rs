//! Certificates on disk and a blocking TLS client.

use std::fs;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use futures_rustls::pki_types::CertificateDer;
use futures_rustls::pki_types::ServerName;
use futures_rustls::rustls::crypto::ring;
use futures_rustls::rustls::ClientConfig;
use futures_rustls::rustls::ClientConnection;
use futures_rustls::rustls::RootCertStore;
use futures_rustls::rustls::StreamOwned;
use magnoliapin_entry::TlsFiles;

use super::connect;
use super::RawResponse;

/// Client side of a TLS connection to an entry.
pub(crate) type TlsSession = StreamOwned<ClientConnection, TcpStream>;

/// Self-signed certificate for the loopback address and its private key.
pub(crate) struct TestCertificate {
    certificate: CertificateDer<'static>,
    certificate_pem: String,
    key_pem: String,
}

impl TestCertificate {
    /// Generates a certificate and its key.
    pub(crate) fn new() -> Self {
        let generated = rcgen::generate_simple_self_signed(vec!["127.0.0.1".to_owned()])
            .expect("a certificate is generated");
        Self {
            certificate: generated.cert.der().clone(),
            certificate_pem: generated.cert.pem(),
            key_pem: generated.signing_key.serialize_pem(),
        }
    }

    /// Returns file paths in a scratch directory of this test; creates the directory.
    pub(crate) fn files(test: &str) -> TlsFiles {
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("{test}-{}", std::process::id()));
        fs::create_dir_all(&directory).expect("the scratch directory is created");
        TlsFiles { certificate: directory.join("certificate.pem"), key: directory.join("key.pem") }
    }

    /// Writes the certificate and the key.
    pub(crate) fn write(&self, files: &TlsFiles) {
        replace_file(&files.certificate, &self.certificate_pem);
        replace_file(&files.key, &self.key_pem);
    }

    /// Opens a session that trusts only this certificate; `None` if the handshake fails.
    pub(crate) fn open(&self, address: SocketAddr) -> Option<TlsSession> {
        let mut roots = RootCertStore::empty();
        roots.add(self.certificate.clone()).expect("the certificate can be trusted");
        let config = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
            .with_safe_default_protocol_versions()
            .expect("the versions are supported")
            .with_root_certificates(roots)
            .with_no_client_auth();
        let name = ServerName::from(address.ip());
        let client = ClientConnection::new(Arc::new(config), name).expect("the name fits");
        let mut session = StreamOwned::new(client, connect(address));
        while session.conn.is_handshaking() {
            session.conn.complete_io(&mut session.sock).ok()?;
        }
        Some(session)
    }
}

/// Replaces a file atomically, so that the entry never reads a partial file.
pub(crate) fn replace_file(file: &Path, text: &str) {
    let draft = file.with_extension("draft");
    fs::write(&draft, text).expect("the file can be written");
    fs::rename(&draft, file).expect("the file can be replaced");
}

/// Sends bytes over a session and reads one response; `None` if the session fails first.
pub(crate) fn exchange(session: &mut TlsSession, bytes: &[u8]) -> Option<RawResponse> {
    session.write_all(bytes).ok()?;
    session.flush().ok()?;
    let mut received = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        if let Some(response) = RawResponse::parse(&received) {
            return Some(response);
        }
        let length = session.read(&mut buffer).ok().filter(|length| *length > 0)?;
        received.extend_from_slice(&buffer[..length]);
    }
}
