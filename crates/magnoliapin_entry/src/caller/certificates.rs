//! The certificate in use, read again when its files change.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use futures_rustls::rustls::ServerConfig;
use futures_rustls::TlsAcceptor;
use smol::Timer;

use crate::supervisor::ChildEnd;
use crate::tls_files::TlsStamp;
use crate::EntryMetrics;
use crate::TlsFault;
use crate::TlsFiles;

/// Time between two looks at the files.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);

/// The certificate in use, read again when its files change.
#[derive(Debug)]
pub(crate) struct CertificateStore {
    files: TlsFiles,
    metrics: Arc<EntryMetrics>,
    state: Mutex<CertificateState>,
}

#[derive(Debug)]
struct CertificateState {
    /// Files that were read last, whether they could be used or not.
    stamp: TlsStamp,
    config: Arc<ServerConfig>,
}

impl CertificateStore {
    /// Reads the files for the first time.
    ///
    /// # Errors
    ///
    /// Returns why they cannot be used.
    pub(crate) fn open(files: TlsFiles, metrics: Arc<EntryMetrics>) -> Result<Self, TlsFault> {
        // Taken first, so that a change while the files are read is seen later.
        let stamp = files.stamp();
        let config = files.load()?;
        Ok(Self { files, metrics, state: Mutex::new(CertificateState { stamp, config }) })
    }

    /// Returns what makes a new TLS session.
    pub(crate) fn acceptor(&self) -> TlsAcceptor {
        TlsAcceptor::from(Arc::clone(&self.state().config))
    }

    /// Looks at the files for as long as the entry runs.
    pub(crate) async fn run(self: Arc<Self>) -> ChildEnd {
        loop {
            Timer::after(LOOK_INTERVAL).await;
            let store = Arc::clone(&self);
            smol::unblock(move || store.refresh()).await;
        }
    }

    /// Reads the files if they have changed; files that cannot be used change nothing.
    fn refresh(&self) {
        let stamp = self.files.stamp();
        if stamp == self.state().stamp {
            return;
        }
        let loaded = self.files.load();
        let mut state = self.state();
        state.stamp = stamp;
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
