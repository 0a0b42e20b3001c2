//! TLS settings for the connections of callers.

use std::net::SocketAddr;

use magnoliapin_entry::TlsFiles;
use magnoliapin_entry::TlsFilesError;

use crate::settings::SettingsReader;

const CERTIFICATE: &str = "tls_certificate";
const KEY: &str = "tls_key";
const ALLOW_PLAIN_TEXT: &str = "allow_plain_text";

/// Reads the paths of certificate and key. Without them, connections are in plain text, which
/// requires a loopback address or `allow_plain_text = true`.
pub(super) fn read_tls(
    reader: &mut SettingsReader,
    listen: Option<SocketAddr>,
) -> Option<TlsFiles> {
    let certificate = reader.text(CERTIFICATE);
    let key = reader.text(KEY);
    let is_plain_text_allowed = reader.flag(ALLOW_PLAIN_TEXT).unwrap_or_default();
    match (certificate, key) {
        (Some(certificate), Some(key)) => {
            if is_plain_text_allowed {
                let allowed = "false, or neither tls_certificate nor tls_key";
                reader.record_error(ALLOW_PLAIN_TEXT, "true", allowed);
            }
            let files = TlsFiles { certificate: certificate.into(), key: key.into() };
            check_files(reader, &files);
            Some(files)
        }
        (Some(_), None) => {
            reader.record_error(KEY, "nothing", "a PEM file with the key of tls_certificate");
            None
        }
        (None, Some(_)) => {
            reader.record_error(
                CERTIFICATE,
                "nothing",
                "a PEM file with the certificate of tls_key",
            );
            None
        }
        (None, None) => {
            let exposed =
                listen.filter(|listen| !listen.ip().is_loopback() && !is_plain_text_allowed);
            if let Some(listen) = exposed {
                let found = format!("nothing, while caller_listen is {listen}");
                let allowed = "a PEM file, with tls_key; nothing only where caller_listen is a \
                               loopback address or allow_plain_text is true";
                reader.record_error(CERTIFICATE, found, allowed);
            }
            None
        }
    }
}

fn check_files(reader: &mut SettingsReader, files: &TlsFiles) {
    let certificate = &files.certificate;
    let key = &files.key;
    match files.check() {
        Ok(()) => {}
        Err(TlsFilesError::Certificate(cause)) => {
            let allowed = "a readable PEM file with a certificate";
            reader.record_error(CERTIFICATE, format!("{certificate:?}: {cause}"), allowed);
        }
        Err(TlsFilesError::Key(cause)) => {
            let allowed = "a readable PEM file with a private key";
            reader.record_error(KEY, format!("{key:?}: {cause}"), allowed);
        }
        Err(TlsFilesError::Pair(cause)) => {
            let allowed = "the private key of tls_certificate";
            reader.record_error(KEY, format!("{key:?}: {cause}"), allowed);
        }
    }
}
