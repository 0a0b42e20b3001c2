//! TLS configuration in use, reloaded when its files change.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use futures_rustls::rustls::ServerConfig;
use futures_rustls::TlsAcceptor;
use smol::Timer;

use crate::supervisor::ChildOutcome;
use crate::tls_files::TlsFilesVersion;
use crate::EntryMetrics;
use crate::TlsFiles;
use crate::TlsFilesError;

/// Interval at which the files are checked for changes.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// TLS configuration in use, reloaded when its files change.
#[derive(Debug)]
pub(crate) struct CertificateStore {
    files: TlsFiles,
    metrics: Arc<EntryMetrics>,
    state: Mutex<CertificateState>,
}

#[derive(Debug)]
struct CertificateState {
    /// Stamp of the files that were loaded last, successfully or not.
    version: TlsFilesVersion,
    config: Arc<ServerConfig>,
}

impl CertificateStore {
    /// Loads the files.
    ///
    /// # Errors
    ///
    /// Returns an error if the files cannot be loaded.
    pub(crate) fn open(files: TlsFiles, metrics: Arc<EntryMetrics>) -> Result<Self, TlsFilesError> {
        // Taken before loading, so that the next check detects a change made while loading.
        let version = files.version();
        let config = files.load()?;
        Ok(Self { files, metrics, state: Mutex::new(CertificateState { version, config }) })
    }

    /// Returns an acceptor with the current configuration.
    pub(crate) fn acceptor(&self) -> TlsAcceptor {
        TlsAcceptor::from(Arc::clone(&self.state().config))
    }

    /// Reloads changed files until the entry shuts down.
    pub(crate) async fn run(self: Arc<Self>) -> ChildOutcome {
        loop {
            Timer::after(CHECK_INTERVAL).await;
            let store = Arc::clone(&self);
            smol::unblock(move || store.refresh()).await;
        }
    }

    /// Reloads the files if they have changed. Keeps the current configuration if they cannot be
    /// loaded.
    fn refresh(&self) {
        let version = self.files.version();
        if version == self.state().version {
            return;
        }
        let loaded = self.files.load();
        let mut state = self.state();
        state.version = version;
        match loaded {
            Ok(config) => {
                state.config = config;
                log::info!("event=certificate_replaced");
            }
            Err(fault) => {
                self.metrics.count_refused_certificate();
                log::warn!("event=certificate_refused fault={:?}", fault.to_string());
            }
        }
    }

    fn state(&self) -> MutexGuard<'_, CertificateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
