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

/// A TLS session with an entry.
pub(crate) type TlsSession = StreamOwned<ClientConnection, TcpStream>;

/// A certificate for the loopback address and its key.
pub(crate) struct TestCertificate {
    certificate: CertificateDer<'static>,
    certificate_pem: String,
    key_pem: String,
}

impl TestCertificate {
    /// Makes a certificate.
    pub(crate) fn new() -> Self {
        let made = rcgen::generate_simple_self_signed(vec!["127.0.0.1".to_owned()])
            .expect("a certificate can be made");
        Self {
            certificate: made.cert.der().clone(),
            certificate_pem: made.cert.pem(),
            key_pem: made.signing_key.serialize_pem(),
        }
    }

    /// Returns files in a folder of this test.
    pub(crate) fn files(test: &str) -> TlsFiles {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("{test}-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("the scratch folder can be made");
        TlsFiles { certificate: folder.join("certificate.pem"), key: folder.join("key.pem") }
    }

    /// Writes both files.
    pub(crate) fn write(&self, files: &TlsFiles) {
        replace_file(&files.certificate, &self.certificate_pem);
        replace_file(&files.key, &self.key_pem);
    }

    /// Makes a session that trusts only this certificate; none if the handshake fails.
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

/// Replaces a file at once, so that nobody reads half of it.
pub(crate) fn replace_file(file: &Path, text: &str) {
    let draft = file.with_extension("draft");
    fs::write(&draft, text).expect("the file can be written");
    fs::rename(&draft, file).expect("the file can be replaced");
}

/// Sends bytes over a session and reads one whole answer.
pub(crate) fn exchange(session: &mut TlsSession, bytes: &[u8]) -> Option<RawResponse> {
    session.write_all(bytes).ok()?;
    session.flush().ok()?;
    let mut answer = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        if let Some(response) = RawResponse::parse(&answer) {
            return Some(response);
        }
        let length = session.read(&mut buffer).ok().filter(|length| *length > 0)?;
        answer.extend_from_slice(&buffer[..length]);
    }
}
