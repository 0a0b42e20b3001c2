//! A complete site in one process: platform, targets and entries on the loopback interface.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use error_stack::Report;
use futures_lite::FutureExt;
use magnoliapin_entry::EntryHandle;
use magnoliapin_entry::EntryOptions;
use magnoliapin_entry::EntryService;
use magnoliapin_model::InstanceId;
use magnoliapin_model::NameError;
use magnoliapin_model::PoolId;
use magnoliapin_model::RackId;
use magnoliapin_model::ZoneId;
use magnoliapin_standin::PlatformHandle;
use magnoliapin_standin::PlatformOptions;
use magnoliapin_standin::PlatformStandin;
use magnoliapin_standin::StandinClock;
use magnoliapin_standin::TargetHandle;
use magnoliapin_standin::TargetOptions;
use magnoliapin_standin::TargetStandin;
use smol::Timer;

use crate::command::refused;
use crate::command::CommandResult;
use crate::command_error::CommandError;
use crate::demo::deployment;
use crate::demo::deployment::QUEUES;

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const ENTRIES_PER_ZONE: usize = 2;
const PEER_KEY: &[u8] = b"key of the demo's entries";
const IMAGE: &str = "base";

const READY_TIMEOUT: Duration = Duration::from_secs(20);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// A running site.
pub(crate) struct DemoSite {
    platform: PlatformHandle,
    targets: Vec<TargetHandle>,
    entries: Vec<EntryHandle>,
}

impl DemoSite {
    /// Starts the platform, the targets and the entries.
    ///
    /// # Errors
    ///
    /// Returns an error if one of them cannot start.
    pub(crate) async fn start(seed: u64) -> CommandResult<Self> {
        let clock = StandinClock::new();
        let options = PlatformOptions::default().with_seed(seed).with_clock(clock);
        let platform =
            PlatformStandin::start(options).await.map_err(|report| start_error(&report))?;
        let mut site = Self { platform, targets: Vec::new(), entries: Vec::new() };
        for queue in QUEUES {
            let pool = queue.full_name();
            for number in 0..deployment::POOL_INSTANCES as usize {
                site.start_target(seed, clock, &pool, number).await?;
            }
        }
        for pool in deployment::spare_pools() {
            for number in 0..deployment::SPARE_INSTANCES as usize {
                site.start_target(seed, clock, &pool, number).await?;
            }
        }
        for number in 0..ZONES.len() * ENTRIES_PER_ZONE {
            site.start_entry(seed, number)?;
        }
        Ok(site)
    }

    /// Returns the addresses at which the entries listen for clients.
    pub(crate) fn entry_addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(EntryHandle::caller_address).collect()
    }

    /// Returns the platform.
    pub(crate) fn platform(&self) -> &PlatformHandle {
        &self.platform
    }

    /// Returns the targets.
    pub(crate) fn targets(&self) -> &[TargetHandle] {
        &self.targets
    }

    /// Waits until every entry accepts work.
    ///
    /// # Errors
    ///
    /// Returns an error if an entry is not ready within [`READY_TIMEOUT`].
    pub(crate) async fn wait_until_ready(&self) -> CommandResult {
        let deadline = Instant::now() + READY_TIMEOUT;
        while !self.entries.iter().all(EntryHandle::is_ready) {
            if Instant::now() >= deadline {
                return Err(refused("the entries did not get ready in time"));
            }
            Timer::after(READY_POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Kills the entry with this index, without a graceful stop.
    pub(crate) fn kill_entry(&self, number: usize) {
        if let Some(entry) = self.entries.get(number) {
            entry.kill();
        }
    }

    /// Kills the target with this index.
    pub(crate) async fn kill_target(&self, number: usize) {
        if let Some(target) = self.targets.get(number) {
            target.kill().await;
        }
    }

    /// Stops the entries gracefully, then kills the targets and the platform.
    ///
    /// # Errors
    ///
    /// Returns an error if an entry does not stop within [`STOP_TIMEOUT`].
    pub(crate) async fn stop(&self) -> CommandResult {
        self.entries.iter().for_each(EntryHandle::stop);
        let finished = async {
            for entry in &self.entries {
                entry.finished().await;
            }
            Ok(())
        };
        let timeout = async {
            Timer::after(STOP_TIMEOUT).await;
            Err(refused("the entries did not stop in time"))
        };
        let stopped = finished.or(timeout).await;
        for target in &self.targets {
            target.kill().await;
        }
        self.platform.kill().await;
        stopped
    }

    async fn start_target(
        &mut self,
        seed: u64,
        clock: StandinClock,
        pool: &str,
        number: usize,
    ) -> CommandResult {
        let zone = ZONES[number % ZONES.len()];
        let instance = valid_name(InstanceId::new(&format!("{pool}-{number}")))?;
        let rack = valid_name(RackId::new(&format!("{zone}-rack-{}", self.targets.len() / 12)))?;
        let zone = valid_name(ZoneId::new(zone))?;
        let options = TargetOptions::new(instance, zone, rack, self.platform.address())
            .with_pool(valid_name(PoolId::new(pool))?)
            .with_image(IMAGE)
            .with_clock(clock)
            .with_seed(seed.wrapping_mul(1_000).wrapping_add(self.targets.len() as u64));
        self.targets
            .push(TargetStandin::start(options).await.map_err(|report| start_error(&report))?);
        Ok(())
    }

    fn start_entry(&mut self, seed: u64, number: usize) -> CommandResult {
        let zone = valid_name(ZoneId::new(ZONES[number % ZONES.len()]))?;
        let options = EntryOptions::new(zone, self.platform.address())
            .with_peer_key(PEER_KEY)
            .with_seed(seed.wrapping_mul(100).wrapping_add(number as u64));
        self.entries.push(EntryService::start(options).map_err(|report| start_error(&report))?);
        Ok(())
    }
}

fn valid_name<T>(parsed: Result<T, NameError>) -> Result<T, Report<CommandError>> {
    parsed.map_err(|error| refused(format!("a name of the demo: {error}")))
}

fn start_error<C: std::error::Error + Send + Sync + 'static>(
    report: &Report<C>,
) -> Report<CommandError> {
    refused(format!("the demo's site cannot start: {}", report.current_context()))
}
