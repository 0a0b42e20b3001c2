//! The `demo` command: runs a complete site under load and faults in one process, then checks the
//! clients' observations against what the targets executed.

mod budget;
mod client;
mod deployment;
mod load;
mod progress;
mod record;
mod report;
#[cfg(test)]
mod report_tests;
mod site;
mod traffic;
#[cfg(test)]
mod traffic_tests;

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use futures_lite::future;
use futures_lite::FutureExt;
use hyper::Method;
use indexmap::IndexMap;
use magnoliapin_entry::TaskRuntime;
use magnoliapin_model::ConfigDocument;
use magnoliapin_model::KeySecret;
use magnoliapin_model::SlotCount;
use magnoliapin_model::TeamId;
use magnoliapin_standin::EffectLedger;
use magnoliapin_standin::TargetHandle;
use magnoliapin_standin::WorkCounts;
use magnoliapin_wire::ConfigChange;
use rand::rngs::StdRng;
use rand::SeedableRng;
use smol::Timer;

use crate::client::EntryCall;
use crate::client::EntryClient;
use crate::command;
use crate::command::refused;
use crate::command::usage;
use crate::command::CommandContext;
use crate::command::CommandResult;
use crate::demo::budget::BudgetMonitor;
use crate::demo::client::DemoClient;
use crate::demo::deployment::demo_document;
use crate::demo::deployment::OPERATOR_TEAM;
use crate::demo::load::DemoLoad;
use crate::demo::record::WorkRecord;
use crate::demo::report::DemoReport;
use crate::demo::site::DemoSite;
use crate::demo::traffic::draw_arrivals;
use crate::flags;

const DEFAULT_SECONDS: u64 = 20;
const DEFAULT_SEED: u64 = 1;
const MAX_SECONDS: u64 = 3_600;

/// Threads that run the clients' calls.
const LOAD_THREADS: usize = 2;

/// Timeout of an operator's call.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(15);

/// Index of the entry that is killed after a third of the load time.
const KILLED_ENTRY_INDEX: usize = 1;

/// Index of the target that is killed after a third of the load time.
const KILLED_TARGET_INDEX: usize = 2;

/// Runs the demo and prints its report.
///
/// # Errors
///
/// Returns a [`CommandError`](crate::command_error::CommandError) if `--seconds` is out of
/// range, the site cannot start or stop, or an invariant was violated.
pub(crate) fn run(context: &CommandContext, flags: &flags::Demo) -> CommandResult {
    let seconds = flags.seconds.unwrap_or(DEFAULT_SECONDS);
    if seconds == 0 || seconds > MAX_SECONDS {
        return Err(usage(format!("--seconds {seconds}; allowed: 1 to {MAX_SECONDS}")));
    }
    let run = DemoRun { seconds, seed: flags.seed.unwrap_or(DEFAULT_SEED) };
    let report = smol::block_on(run.execute())?;
    context.print(&report, DemoReport::text)?;
    if report.has_violations() {
        return Err(refused("something that must hold was broken"));
    }
    Ok(())
}

/// Parameters of one demo run.
struct DemoRun {
    /// Duration of the load, in seconds.
    seconds: u64,
    seed: u64,
}

impl DemoRun {
    async fn execute(&self) -> CommandResult<DemoReport> {
        let secrets = draw_secrets(self.seed)?;
        let document = demo_document(|team| secrets.get(&team).cloned().unwrap_or_default());
        let document = document.map_err(|error| refused(format!("a name of the demo: {error}")))?;
        let runtime = TaskRuntime::start(LOAD_THREADS)
            .map_err(|report| refused(report.current_context().to_string()))?;

        progress::show_step("starting platform, targets and entries");
        let site = DemoSite::start(self.seed).await?;
        apply_document(&site, &document, &secrets).await?;
        site.wait_until_ready().await?;

        let document = Arc::new(document);
        let monitor = Arc::new(BudgetMonitor::default());
        let platform = site.platform().state();
        let monitor_task =
            runtime.spawner().spawn(Arc::clone(&monitor).run(platform, Arc::clone(&document)));
        let transactions_before = count_transactions(&site);
        let records = self.run_load(&site, &runtime, secrets).await;
        let transactions = count_transactions(&site) - transactions_before;
        drop(monitor_task);

        let stopped = site.stop().await;
        progress::clear_progress();
        let mut report = self.build_report(&site, &document, &records);
        report.budget_broken = monitor.violations.load(Ordering::Relaxed);
        report.budget_samples = monitor.samples.load(Ordering::Relaxed);
        report.planned_peak = monitor.planned_peak.load(Ordering::Relaxed);
        report.transactions_per_job = transactions as f64 / report.accepted.max(1) as f64;
        stopped.map(|()| report)
    }

    /// Runs the load while injecting the faults; returns one record for each piece of work.
    async fn run_load(
        &self,
        site: &DemoSite,
        runtime: &TaskRuntime,
        secrets: IndexMap<TeamId, String>,
    ) -> Vec<WorkRecord> {
        let operator_key = operator_team().ok().and_then(|team| secrets.get(&team).cloned());
        let client = DemoClient::new(site.entry_addresses(), secrets);
        let load = DemoLoad::new(client, runtime.spawner());
        let progress_task = runtime.spawner().spawn(progress::show_progress(load.progress()));
        let faults = async {
            Timer::after(Duration::from_secs(self.seconds) / 3).await;
            site.kill_entry(KILLED_ENTRY_INDEX);
            site.kill_target(KILLED_TARGET_INDEX).await;
            Timer::after(Duration::from_secs(self.seconds) / 3).await;
            drain_instances(site, operator_key.clone()).await;
            future::pending().await
        };
        let records = load.run(draw_arrivals(self.seconds, self.seed)).or(faults).await;
        drop(progress_task);
        records
    }

    /// Compares the clients' records with the targets' effect ledgers.
    fn build_report(
        &self,
        site: &DemoSite,
        document: &ConfigDocument,
        records: &[WorkRecord],
    ) -> DemoReport {
        let states: Vec<_> = site.targets().iter().map(TargetHandle::state).collect();
        let states: Vec<_> = states.iter().map(|state| lock(state)).collect();
        let ledgers: Vec<&EffectLedger> = states.iter().map(|state| state.ledger()).collect();
        let mut effects: IndexMap<u64, WorkCounts> = IndexMap::new();
        for (marker, counts) in ledgers.iter().flat_map(|ledger| ledger.counts_by_marker()) {
            let total = effects.entry(*marker).or_default();
            total.starts += counts.starts;
            total.effects += counts.effects;
        }
        let effects_of = |marker| effects.get(&marker).copied().unwrap_or_default();
        let mut report = DemoReport::new(records, effects_of, self.seconds, self.seed);
        report.over_limit = EffectLedger::limit_violations(&ledgers, &team_limits(document));
        report
    }
}

/// Applies the first configuration document, which entries accept without an operator's key.
async fn apply_document(
    site: &DemoSite,
    document: &ConfigDocument,
    secrets: &IndexMap<TeamId, String>,
) -> CommandResult {
    let sections = document.sections().into_iter().map(|(name, text)| (name, Some(text)));
    let change = ConfigChange { base: None, sections: sections.collect(), whole: true };
    let body = serde_json::to_vec(&change).map_err(|error| refused(error.to_string()))?;
    let call =
        EntryCall::new(Method::POST, "/v1/config").with_body(body).with_timeout(OPERATOR_TIMEOUT);
    let operator = operator_team()?;
    let client = EntryClient::new(site.entry_addresses()).with_key(secrets.get(&operator).cloned());
    let reply = command::call_when_ready(&client, &call).await?;
    command::success_body(&reply).map(drop)
}

/// Requests drains of two instances of each serving pool, of which the budget allows at most one.
async fn drain_instances(site: &DemoSite, key: Option<String>) {
    let client = EntryClient::new(site.entry_addresses()).with_key(key);
    for queue in deployment::QUEUES {
        for number in 0..2 {
            let path = format!("/v1/instances/{}-{number}/drain", queue.full_name());
            let call = EntryCall::new(Method::POST, path).with_timeout(OPERATOR_TIMEOUT);
            // Replies are ignored: the budget monitor checks the result in the platform's table.
            drop(client.call(&call).await);
        }
    }
}

/// Generates a key for each team of the document.
fn draw_secrets(seed: u64) -> CommandResult<IndexMap<TeamId, String>> {
    let mut generator = StdRng::seed_from_u64(seed);
    let mut secrets = IndexMap::from([(operator_team()?, draw_secret(&mut generator))]);
    for team in deployment::TEAMS {
        let id = team.id().map_err(|error| refused(error.to_string()))?;
        secrets.insert(id, draw_secret(&mut generator));
    }
    Ok(secrets)
}

fn draw_secret(generator: &mut StdRng) -> String {
    KeySecret::new(generator).expose().to_owned()
}

fn operator_team() -> CommandResult<TeamId> {
    TeamId::new(OPERATOR_TEAM).map_err(|error| refused(error.to_string()))
}

fn team_limits(document: &ConfigDocument) -> IndexMap<TeamId, SlotCount> {
    document.teams.iter().map(|(team, section)| (*team, section.limit)).collect()
}

fn count_transactions(site: &DemoSite) -> u64 {
    lock(&site.platform().state()).table.counts().transactions
}

fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}
