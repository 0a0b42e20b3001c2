//! A whole site in one process: platform, targets and entries on loopback.

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
const ENTRIES_IN_ZONE: usize = 2;
const PEER_KEY: &[u8] = b"key of the demo's entries";
const IMAGE: &str = "base";

const READY_TIMEOUT: Duration = Duration::from_secs(20);
const READY_POLL: Duration = Duration::from_millis(50);
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// A running site.
pub(crate) struct DemoSite {
    platform: PlatformHandle,
    targets: Vec<TargetHandle>,
    entries: Vec<EntryHandle>,
}

impl DemoSite {
    /// Starts every part of the site.
    ///
    /// # Errors
    ///
    /// Returns an error if a part cannot start.
    pub(crate) async fn start(seed: u64) -> CommandResult<Self> {
        let clock = StandinClock::new();
        let options = PlatformOptions::default().with_seed(seed).with_clock(clock);
        let platform =
            PlatformStandin::start(options).await.map_err(|report| not_started(&report))?;
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
        for number in 0..ZONES.len() * ENTRIES_IN_ZONE {
            site.start_entry(seed, number)?;
        }
        Ok(site)
    }

    /// Returns the addresses of the entries for callers.
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

    /// Waits until every entry takes work.
    ///
    /// # Errors
    ///
    /// Returns an error if one does not in time.
    pub(crate) async fn ready(&self) -> CommandResult {
        let deadline = Instant::now() + READY_TIMEOUT;
        while !self.entries.iter().all(EntryHandle::is_ready) {
            if Instant::now() >= deadline {
                return Err(refused("the entries did not get ready in time"));
            }
            Timer::after(READY_POLL).await;
        }
        Ok(())
    }

    /// Kills an entry.
    pub(crate) fn kill_entry(&self, number: usize) {
        if let Some(entry) = self.entries.get(number) {
            entry.kill();
        }
    }

    /// Kills a target.
    pub(crate) async fn kill_target(&self, number: usize) {
        if let Some(target) = self.targets.get(number) {
            target.kill().await;
        }
    }

    /// Stops every entry gracefully, then the rest.
    ///
    /// # Errors
    ///
    /// Returns an error if an entry does not stop in time.
    pub(crate) async fn stop(&self) -> CommandResult {
        self.entries.iter().for_each(EntryHandle::stop);
        let finished = async {
            for entry in &self.entries {
                entry.finished().await;
            }
            Ok(())
        };
        let late = async {
            Timer::after(STOP_TIMEOUT).await;
            Err(refused("the entries did not stop in time"))
        };
        let stopped = finished.or(late).await;
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
        let instance = name(InstanceId::new(&format!("{pool}-{number}")))?;
        let rack = name(RackId::new(&format!("{zone}-rack-{}", self.targets.len() / 12)))?;
        let zone = name(ZoneId::new(zone))?;
        let options = TargetOptions::new(instance, zone, rack, self.platform.address())
            .with_pool(name(PoolId::new(pool))?)
            .with_image(IMAGE)
            .with_clock(clock)
            .with_seed(seed.wrapping_mul(1_000).wrapping_add(self.targets.len() as u64));
        self.targets
            .push(TargetStandin::start(options).await.map_err(|report| not_started(&report))?);
        Ok(())
    }

    fn start_entry(&mut self, seed: u64, number: usize) -> CommandResult {
        let zone = name(ZoneId::new(ZONES[number % ZONES.len()]))?;
        let options = EntryOptions::new(zone, self.platform.address())
            .with_peer_key(PEER_KEY)
            .with_seed(seed.wrapping_mul(100).wrapping_add(number as u64));
        self.entries.push(EntryService::start(options).map_err(|report| not_started(&report))?);
        Ok(())
    }
}

fn name<T>(checked: Result<T, NameError>) -> Result<T, Report<CommandError>> {
    checked.map_err(|error| refused(format!("a name of the demo: {error}")))
}

fn not_started<C: std::error::Error + Send + Sync + 'static>(
    report: &Report<C>,
) -> Report<CommandError> {
    refused(format!("the demo's site cannot start: {}", report.current_context()))
}
