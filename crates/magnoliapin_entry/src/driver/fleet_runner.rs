//! Runs a fleet machine alongside the machine of the entry.

use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use indexmap::IndexMap;
use magnoliapin_fleet::check_feasible;
use magnoliapin_fleet::FleetAction;
use magnoliapin_fleet::FleetCallId;
use magnoliapin_fleet::FleetEvent;
use magnoliapin_fleet::FleetMachine;
use magnoliapin_fleet::OperatorAnswer;
use magnoliapin_fleet::OperatorRequest;
use magnoliapin_fleet::TargetLoad;
use magnoliapin_fleet::UnixSeconds;
use magnoliapin_model::ConfigVersion;
use magnoliapin_model::EntryId;
use magnoliapin_model::InstanceId;
use magnoliapin_model::Moment;
use magnoliapin_model::RowVersion;
use magnoliapin_policy::EntryMachine;
use magnoliapin_policy::TimelineEvent;
use magnoliapin_policy::TimelineName;
use magnoliapin_wire::LeaseGrant;
use magnoliapin_wire::RefusalView;
use magnoliapin_wire::TargetReply;
use magnoliapin_wire::TargetRequest;
use smol::Task;

use crate::driver::DriverEvent;
use crate::driver::EntryDriver;
use crate::driver::MachineNumber;
use crate::TargetCall;

const TICK_INTERVAL: Duration = Duration::from_millis(100);
const REPORT_INTERVAL: Duration = Duration::from_secs(5);
const LOAD_QUERY_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Sender of load queries: a renewal under this identifier returns the load and renews no lease.
const LOAD_QUERY_ENTRY: EntryId = EntryId(0);

/// Answer to an operator, or the refusal.
pub(crate) type OperatorOutcome = Result<OperatorAnswer, Box<RefusalView>>;

/// Runs one fleet machine: passes events to it and executes its actions.
pub(super) struct FleetRunner {
    machine: FleetMachine,
    number: MachineNumber,
    version: ConfigVersion,
    next_tick: Moment,
    next_report: Moment,
    last_request: u64,
    waiting_operators: IndexMap<FleetCallId, Sender<OperatorOutcome>>,
    tasks: IndexMap<u64, Task<()>>,
    last_task: u64,
}

impl FleetRunner {
    pub(super) fn new(entry: EntryId, seed: u64, number: MachineNumber) -> Self {
        Self {
            machine: FleetMachine::new(entry, seed),
            number,
            version: ConfigVersion(0),
            next_tick: Moment::START,
            next_report: Moment::START,
            last_request: 0,
            waiting_operators: IndexMap::new(),
            tasks: IndexMap::new(),
            last_task: 0,
        }
    }

    /// Returns a warning if the maintenance that the configuration in force requires does not fit in
    /// its period.
    pub(super) fn warnings(&self, entry: &EntryMachine) -> Vec<String> {
        let Some(document) = entry.document() else { return Vec::new() };
        let infeasible = check_feasible(document, self.machine.snapshot()).err();
        infeasible.into_iter().map(|infeasible| infeasible.to_string()).collect()
    }

    /// Passes a tick, a new configuration, the queue demand and quarantined targets to the fleet
    /// machine, each when due.
    pub(super) fn tick(&mut self, driver: &EntryDriver, entry: &EntryMachine) {
        let now = driver.clock.now();
        if now < self.next_tick {
            return;
        }
        self.next_tick = now + TICK_INTERVAL;
        let Some(document) = entry.document().filter(|_| entry.is_ready()) else { return };
        if entry.config_version() > self.version {
            self.version = entry.config_version();
            self.handle(driver, entry, FleetEvent::Config(Box::new(document.clone())));
        }
        if now >= self.next_report {
            self.next_report = now + REPORT_INTERVAL;
            self.report_demand_and_quarantine(driver, entry, now);
        }
        let wall = UnixSeconds(driver.clock.wall_micros() / 1_000_000);
        self.handle(driver, entry, FleetEvent::Tick { wall });
    }

    fn report_demand_and_quarantine(
        &mut self,
        driver: &EntryDriver,
        entry: &EntryMachine,
        now: Moment,
    ) {
        for (queue, slots) in entry.queue_demand(now) {
            self.handle(driver, entry, FleetEvent::Demand { queue, slots });
        }
        for target in entry.quarantined_targets(now) {
            let (instance, incarnation) = (target.instance, target.run);
            self.handle(
                driver,
                entry,
                FleetEvent::QuarantineProposal { instance, incarnation, quarantine: true },
            );
        }
    }

    /// Handles a request of an operator; its key has already been checked.
    pub(super) fn handle_request(
        &mut self,
        driver: &EntryDriver,
        entry: &EntryMachine,
        request: OperatorRequest,
        answers: Sender<OperatorOutcome>,
    ) {
        self.last_request += 1;
        let call = FleetCallId(self.last_request);
        self.waiting_operators.insert(call, answers);
        self.handle(driver, entry, FleetEvent::Operator { call, request });
    }

    /// Handles the result of a task of this machine.
    pub(super) fn handle_reply(
        &mut self,
        driver: &EntryDriver,
        entry: &EntryMachine,
        task: u64,
        event: FleetEvent,
    ) {
        if let Some(task) = self.tasks.swap_remove(&task) {
            task.detach();
        }
        self.handle(driver, entry, event);
    }

    /// Returns the number of the entry machine that this fleet machine belongs to.
    pub(super) fn number(&self) -> MachineNumber {
        self.number
    }

    fn handle(&mut self, driver: &EntryDriver, entry: &EntryMachine, event: FleetEvent) {
        let mut actions = Vec::new();
        self.machine.handle(driver.clock.now(), event, &mut actions);
        for action in actions {
            self.execute(driver, entry, action);
        }
    }

    fn execute(&mut self, driver: &EntryDriver, entry: &EntryMachine, action: FleetAction) {
        match action {
            FleetAction::Platform { call, request, timeout } => {
                let platform = Arc::clone(&driver.platform);
                self.spawn(driver, async move {
                    let reply = platform.call(request, timeout).await;
                    Some(FleetEvent::Platform { call, reply })
                });
            }
            FleetAction::QueryLoad { instance, epoch } => {
                self.query_load(driver, entry, instance, epoch);
            }
            FleetAction::StopWork { instance, incarnation: _ } => {
                log::warn!("event=work_not_stopped instance={instance}");
            }
            FleetAction::Answer { call, answer } => {
                if let Some(answers) = self.waiting_operators.swap_remove(&call) {
                    let _ = answers.try_send(Ok(answer));
                }
            }
            FleetAction::Record(step) => {
                let event = TimelineEvent::new(TimelineName::InstanceChanged);
                let event = match step.instance() {
                    Some(instance) => event.with_instance(instance),
                    None => event,
                };
                let (wall_us, zone) = (driver.clock.wall_micros(), driver.identity.zone);
                driver.state.timeline().push(wall_us, driver.state.entry(), zone, event);
            }
        }
    }

    fn query_load(
        &mut self,
        driver: &EntryDriver,
        entry: &EntryMachine,
        instance: InstanceId,
        epoch: RowVersion,
    ) {
        let Some(known) = entry.known_target(instance) else { return };
        let call = TargetCall {
            address: known.target.address,
            request: TargetRequest::Renew(LOAD_QUERY_ENTRY, LeaseGrant { lease_ms: 0 }),
            timeout: LOAD_QUERY_TIMEOUT,
            new_connection: false,
            send_before: driver.clock.now() + LOAD_QUERY_TIMEOUT,
        };
        let targets = Arc::clone(&driver.targets);
        self.spawn(driver, async move {
            let TargetReply::Entry(tasks) = targets.call(call).await else { return None };
            let busy = known.slots.0.saturating_sub(tasks.free_slots.0);
            let load = TargetLoad { incarnation: tasks.run, leaving: tasks.leaving, busy };
            Some(FleetEvent::Load { instance, epoch, load })
        });
    }

    fn spawn(
        &mut self,
        driver: &EntryDriver,
        event: impl std::future::Future<Output = Option<FleetEvent>> + Send + 'static,
    ) {
        self.last_task += 1;
        let (number, task) = (self.number, self.last_task);
        let replies = driver.replies.clone();
        let spawned = driver.spawner.spawn(async move {
            if let Some(event) = event.await {
                let _ = replies.try_send(DriverEvent::FleetReply(number, task, event));
            }
        });
        if let Some(spawned) = spawned {
            self.tasks.insert(task, spawned);
        }
        self.tasks.retain(|_, task| !task.is_finished());
    }
}
