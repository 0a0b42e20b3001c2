//! A whole site with load and faults in one process, judged at the targets: `demo`.

mod budget;
mod caller;
mod deployment;
mod load;
mod note;
mod progress;
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
use crate::demo::budget::BudgetWatch;
use crate::demo::caller::DemoCaller;
use crate::demo::deployment::demo_document;
use crate::demo::deployment::OPERATOR_TEAM;
use crate::demo::load::DemoLoad;
use crate::demo::note::WorkNote;
use crate::demo::report::DemoReport;
use crate::demo::site::DemoSite;
use crate::demo::traffic::draw_arrivals;
use crate::flags;

const DEFAULT_SECONDS: u64 = 20;
const DEFAULT_SEED: u64 = 1;
const MAX_SECONDS: u64 = 3_600;

/// Threads that run the callers.
const LOAD_THREADS: usize = 2;

/// Longest wait for an answer to the operator.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(15);

/// Entry that is killed a third of the way in.
const KILLED_ENTRY: usize = 1;

/// Target that is killed a third of the way in.
const KILLED_TARGET: usize = 2;

/// Runs the demo.
///
/// # Errors
///
/// Returns a [`CommandError`](crate::command_error::CommandError) if the site cannot start or
/// something that must hold was broken.
pub(crate) fn run(context: &CommandContext, flags: &flags::Demo) -> CommandResult {
    let seconds = flags.seconds.unwrap_or(DEFAULT_SECONDS);
    if seconds == 0 || seconds > MAX_SECONDS {
        return Err(usage(format!("--seconds {seconds}; allowed: 1 to {MAX_SECONDS}")));
    }
    let run = DemoRun { seconds, seed: flags.seed.unwrap_or(DEFAULT_SEED) };
    let report = smol::block_on(run.run())?;
    context.print(&report, DemoReport::text)?;
    if report.is_broken() {
        return Err(refused("something that must hold was broken"));
    }
    Ok(())
}

/// One run of the demo.
struct DemoRun {
    seconds: u64,
    seed: u64,
}

impl DemoRun {
    async fn run(&self) -> CommandResult<DemoReport> {
        let secrets = draw_secrets(self.seed)?;
        let document = demo_document(|team| secrets.get(&team).cloned().unwrap_or_default());
        let document = document.map_err(|error| refused(format!("a name of the demo: {error}")))?;
        let runtime = TaskRuntime::start(LOAD_THREADS)
            .map_err(|report| refused(report.current_context().to_string()))?;

        progress::show_step("starting platform, targets and entries");
        let site = DemoSite::start(self.seed).await?;
        apply_document(&site, &document, &secrets).await?;
        site.ready().await?;

        let document = Arc::new(document);
        let watch = Arc::new(BudgetWatch::default());
        let platform = site.platform().state();
        let watching =
            runtime.spawner().spawn(Arc::clone(&watch).run(platform, Arc::clone(&document)));
        let before = transactions(&site);
        let notes = self.load(&site, &runtime, secrets).await;
        let spent = transactions(&site) - before;
        drop(watching);

        let stopped = site.stop().await;
        progress::clear_progress();
        let mut report = self.judge(&site, &document, &notes);
        report.budget_broken = watch.broken.load(Ordering::Relaxed);
        report.budget_samples = watch.samples.load(Ordering::Relaxed);
        report.planned_peak = watch.planned_peak.load(Ordering::Relaxed);
        report.transactions_per_job = spent as f64 / report.accepted.max(1) as f64;
        stopped.map(|()| report)
    }

    /// Runs the load and the faults.
    async fn load(
        &self,
        site: &DemoSite,
        runtime: &TaskRuntime,
        secrets: IndexMap<TeamId, String>,
    ) -> Vec<WorkNote> {
        let operator_key = operator_team().ok().and_then(|team| secrets.get(&team).cloned());
        let caller = DemoCaller::new(site.entry_addresses(), secrets);
        let load = DemoLoad::new(caller, runtime.spawner());
        let showing = runtime.spawner().spawn(progress::show_progress(load.progress()));
        let faults = async {
            Timer::after(Duration::from_secs(self.seconds) / 3).await;
            site.kill_entry(KILLED_ENTRY);
            site.kill_target(KILLED_TARGET).await;
            Timer::after(Duration::from_secs(self.seconds) / 3).await;
            drain_instances(site, operator_key.clone()).await;
            future::pending().await
        };
        let notes = load.run(draw_arrivals(self.seconds, self.seed)).or(faults).await;
        drop(showing);
        notes
    }

    /// Counts the callers' notes against the targets' ledgers.
    fn judge(&self, site: &DemoSite, document: &ConfigDocument, notes: &[WorkNote]) -> DemoReport {
        let states: Vec<_> = site.targets().iter().map(TargetHandle::state).collect();
        let states: Vec<_> = states.iter().map(|state| lock(state)).collect();
        let ledgers: Vec<&EffectLedger> = states.iter().map(|state| state.ledger()).collect();
        let mut effects: IndexMap<u64, WorkCounts> = IndexMap::new();
        for (marker, counts) in ledgers.iter().flat_map(|ledger| ledger.counts_by_marker()) {
            let sum = effects.entry(*marker).or_default();
            sum.starts += counts.starts;
            sum.effects += counts.effects;
        }
        let effects_of = |marker| effects.get(&marker).copied().unwrap_or_default();
        let mut report = DemoReport::new(notes, effects_of, self.seconds, self.seed);
        report.over_limit = EffectLedger::limit_violations(&ledgers, &limits(document));
        report
    }
}

/// Applies the first document, which needs no key.
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

/// Orders drains of two instances of each serving pool, of which the budget allows one at most.
async fn drain_instances(site: &DemoSite, key: Option<String>) {
    let client = EntryClient::new(site.entry_addresses()).with_key(key);
    for queue in deployment::QUEUES {
        for number in 0..2 {
            let path = format!("/v1/instances/{}-{number}/drain", queue.full_name());
            let call = EntryCall::new(Method::POST, path).with_timeout(OPERATOR_TIMEOUT);
            // The budgets are judged in the platform's table, whatever the answers say.
            drop(client.call(&call).await);
        }
    }
}

/// Draws a key for each team of the document.
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

fn limits(document: &ConfigDocument) -> IndexMap<TeamId, SlotCount> {
    document.teams.iter().map(|(team, section)| (*team, section.limit)).collect()
}

fn transactions(site: &DemoSite) -> u64 {
    lock(&site.platform().state()).table.counts().transactions
}

fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}
