//! Complete site in one process: platform, targets and entries on loopback.

use std::net::SocketAddr;
use std::sync::PoisonError;
use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_entry::EntryDependencies;
use magnoliapin_entry::EntryHandle;
use magnoliapin_entry::EntryOptions;
use magnoliapin_entry::EntryService;
use magnoliapin_model::ConfigDocument;
use magnoliapin_model::KeyHash;
use magnoliapin_model::WorkId;
use magnoliapin_standin::PlatformHandle;
use magnoliapin_standin::PlatformOptions;
use magnoliapin_standin::PlatformStandin;
use magnoliapin_standin::TargetHandle;
use magnoliapin_standin::TargetOptions;
use magnoliapin_standin::TargetStandin;
use magnoliapin_standin::WorkCounts;
use magnoliapin_wire::ConfigChange;

use super::request;
use super::request_with;
use super::wait_for;
use super::RawResponse;

/// Authorization header of the team `operators`.
pub(crate) const OPERATOR_AUTH: &str = "authorization: Bearer operator\r\n";
/// Authorization header of the team `guides`.
pub(crate) const GUIDES_AUTH: &str = "authorization: Bearer guides\r\n";

/// Running site; targets and entries are in start order.
pub(crate) struct TestSite {
    /// Stand-in for the platform.
    pub(crate) platform: PlatformHandle,
    /// Stand-ins for targets.
    pub(crate) targets: Vec<TargetHandle>,
    /// Entries under test.
    pub(crate) entries: Vec<EntryHandle>,
}

impl TestSite {
    /// Starts a platform, a target in each of `target_zones`, an entry in each of `entry_zones`,
    /// and applies the configuration document.
    pub(crate) fn start(target_zones: &[&str], entry_zones: &[&str]) -> Self {
        let options = PlatformOptions::default().with_lag(Duration::from_millis(100));
        let platform = smol::block_on(PlatformStandin::start(options)).expect("a port is free");
        let mut site = Self { platform, targets: Vec::new(), entries: Vec::new() };
        for zone in target_zones {
            site.start_target(zone);
        }
        for zone in entry_zones {
            site.start_entry(zone);
        }
        site.apply_config();
        wait_for("ready entries", || site.entries.iter().all(EntryHandle::is_ready));
        site
    }

    /// Starts another target.
    pub(crate) fn start_target(&mut self, zone: &str) {
        let number = self.targets.len();
        let options = TargetOptions::new(
            format!("instance-{number}").parse().expect("a valid name"),
            zone.parse().expect("a valid name"),
            format!("rack-{number}").parse().expect("a valid name"),
            self.platform.address(),
        )
        .with_pool("front".parse().expect("a valid name"))
        .with_seed(100 + number as u64);
        let target = smol::block_on(TargetStandin::start(options)).expect("a port is free");
        self.targets.push(target);
    }

    /// Starts another entry.
    pub(crate) fn start_entry(&mut self, zone: &str) {
        self.start_entry_with(zone, EntryDependencies::default());
    }

    /// Starts another entry with the given I/O implementations.
    pub(crate) fn start_entry_with(&mut self, zone: &str, dependencies: EntryDependencies) {
        let zone = zone.parse().expect("a valid name");
        let options = EntryOptions::new(zone, self.platform.address())
            .with_peer_key(b"key of the tests")
            .with_seed(200 + self.entries.len() as u64);
        let entry = EntryService::start_with(options, dependencies).expect("a port is free");
        self.entries.push(entry);
    }

    /// Returns the caller address of an entry.
    pub(crate) fn address(&self, entry: usize) -> SocketAddr {
        self.entries[entry].caller_address()
    }

    /// Returns the starts and effects of each piece of work, summed over all targets.
    pub(crate) fn works(&self) -> IndexMap<WorkId, WorkCounts> {
        let mut totals: IndexMap<WorkId, WorkCounts> = IndexMap::new();
        for target in &self.targets {
            let state = target.state();
            let state = state.lock().unwrap_or_else(PoisonError::into_inner);
            for (work, counts) in state.ledger().counts_by_work() {
                let total = totals.entry(*work).or_default();
                total.starts += counts.starts;
                total.effects += counts.effects;
            }
        }
        totals
    }

    /// Waits until a job has finished and returns the response that describes it.
    pub(crate) fn wait_for_job(&self, entry: usize, id: &str) -> RawResponse {
        let path = format!("/v1/jobs/{id}");
        let mut job = None;
        wait_for("the job to finish", || {
            let response = request_with(self.address(entry), "GET", &path, GUIDES_AUTH, b"");
            let is_finished = response.status == 200 && response.json()["state"] != "accepted";
            job = is_finished.then_some(response);
            is_finished
        });
        job.expect("the job has finished")
    }

    fn apply_config(&self) {
        let document = ConfigDocument::parse(&document_text()).expect("the document is valid");
        let sections = document.sections();
        let sections = sections.into_iter().map(|(name, text)| (name, Some(text))).collect();
        let change = ConfigChange { sections, whole: true, ..ConfigChange::default() };
        let body = serde_json::to_vec(&change).expect("a change is JSON");
        wait_for("the first configuration", || {
            let response = request(self.address(0), "POST", "/v1/config", &body);
            assert!([200, 503].contains(&response.status), "{response:?}");
            response.status == 200
        });
    }
}

fn document_text() -> String {
    let operator = KeyHash::new("operator");
    let guides = KeyHash::new("guides");
    format!(
        r#"
        [pools.front]
        instances = 3
        max_unavailable = 1
        image = "walks-1"
        [teams.operators]
        limit = 8
        operator = true
        keys.main = "{operator}"
        [teams.guides]
        weight = 2
        limit = 24
        keys.main = "{guides}"
        [queues.booking]
        pool = "front"
        timeout_ms = 5000
        max_run_ms = 5000
        [queues.route]
        pool = "front"
        open = true
        open_team = "guides"
        idempotent = true
        "#
    )
}
