//! The fleet's state machine, which every entry runs.

mod counters;
mod event;
mod findings;
mod fleet_settings;
mod lease;
mod operator;
mod operator_handler;
mod orders;
mod reader;
mod request_queue;
mod step_sender;

use std::collections::VecDeque;

use indexmap::IndexSet;
use magnoliapin_model::ClientToken;
use magnoliapin_model::ConfigDocument;
use magnoliapin_model::EntryId;
use magnoliapin_model::InstanceId;
use magnoliapin_model::Moment;
use magnoliapin_wire::PlatformReply;
use magnoliapin_wire::PlatformRequest;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64;

pub use counters::FleetCounters;
pub use event::FleetAction;
pub use event::FleetCallId;
pub use event::FleetEvent;
pub use fleet_settings::FleetSettings;
pub use operator::MaintenanceDeadline;
pub use operator::MaintenanceView;
pub use operator::OperatorAnswer;
pub use operator::OperatorRequest;
pub use operator::PoolForecast;

use self::findings::InstanceFindings;
use self::lease::PlannerLease;
use self::operator_handler::OperatorHandler;
use self::operator_handler::RequestDecision;
use self::orders::OrderTracker;
use self::reader::FleetReader;
use self::reader::ReadResult;
use self::request_queue::RequestQueue;
use self::step_sender::SentStep;
use self::step_sender::StepOutcome;
use self::step_sender::StepSender;
use crate::check_feasible;
use crate::feasibility::overdue_instances;
use crate::plan;
use crate::CounterMismatch;
use crate::DemandHistory;
use crate::ExpectedCounters;
use crate::FleetSnapshot;
use crate::FleetStep;
use crate::StepRefusal;
use crate::StepWrites;
use crate::UnixSeconds;

/// State machine that plans and commits changes of the fleet. It does no I/O and reads no clock.
///
/// Every entry runs one. The entry that holds the planner lease plans; the others only carry out
/// the requests of their operators and record their findings about instances. In both cases each
/// step is one transaction that guards the rows it was decided from.
#[derive(Debug)]
pub struct FleetMachine {
    settings: FleetSettings,
    rng: Pcg64,
    document: Option<ConfigDocument>,
    snapshot: FleetSnapshot,
    demand: DemandHistory,
    lease: PlannerLease,
    reader: FleetReader,
    sender: StepSender,
    orders: OrderTracker,
    /// Remaining steps of the last plan.
    steps: VecDeque<FleetStep>,
    requests: RequestQueue,
    findings: InstanceFindings,
    /// Instances with findings that have not been planned as steps yet.
    pending_reports: IndexSet<InstanceId>,
    counters: FleetCounters,
    wall: UnixSeconds,
    last_call_id: u64,
}

impl FleetMachine {
    /// Creates the state machine of an entry that has just started.
    pub fn new(entry: EntryId, seed: u64) -> Self {
        let settings = FleetSettings::default();
        Self {
            rng: Pcg64::seed_from_u64(seed),
            document: None,
            snapshot: FleetSnapshot::default(),
            demand: DemandHistory::default(),
            lease: PlannerLease::new(entry),
            reader: FleetReader::new(settings.page_rows),
            sender: StepSender::default(),
            orders: OrderTracker::default(),
            steps: VecDeque::new(),
            requests: RequestQueue::default(),
            findings: InstanceFindings::default(),
            pending_reports: IndexSet::new(),
            counters: FleetCounters::default(),
            wall: UnixSeconds(0),
            last_call_id: 0,
            settings,
        }
    }

    /// Replaces the default time limits.
    #[must_use]
    pub fn with_settings(mut self, settings: FleetSettings) -> Self {
        self.reader = FleetReader::new(settings.page_rows);
        self.settings = settings;
        self
    }

    /// Returns the fleet as this entry last read it.
    pub fn snapshot(&self) -> &FleetSnapshot {
        &self.snapshot
    }

    /// Returns whether this entry holds the planner lease.
    pub fn is_planner(&self, now: Moment) -> bool {
        self.lease.is_holder(now)
    }

    /// Returns the counters since the start of the process.
    pub fn counters(&self) -> &FleetCounters {
        &self.counters
    }

    /// Handles one event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Moment, event: FleetEvent, actions: &mut Vec<FleetAction>) {
        match event {
            FleetEvent::Tick { wall } => self.wall = wall,
            FleetEvent::Config(document) => self.document = Some(*document),
            FleetEvent::Platform { call, reply } => self.handle_reply(now, call, reply, actions),
            FleetEvent::Load { instance, epoch, load } => {
                if let Some(status) = self.snapshot.instances.get_mut(&instance) {
                    status.load = Some(load);
                    status.load_epoch = epoch;
                }
            }
            FleetEvent::Health { instance, incarnation, healthy } => {
                self.findings.record_health(now, instance, incarnation, healthy);
                self.pending_reports.insert(instance);
            }
            FleetEvent::QuarantineProposal { instance, incarnation, quarantine } => {
                self.findings.record_quarantine_proposal(now, instance, incarnation, quarantine);
                self.pending_reports.insert(instance);
            }
            FleetEvent::Demand { queue, slots } => self.demand.observe(queue, slots, self.wall),
            FleetEvent::Operator { call, request } => {
                self.requests.push(call, request, now);
            }
        }
        self.advance(now, actions);
    }

    /// Sends every platform call that is due and starts the next step.
    fn advance(&mut self, now: Moment, actions: &mut Vec<FleetAction>) {
        self.refuse_expired_requests(now, actions);
        let (call, token) = (self.next_call(), self.next_token());
        if let Some(request) = self.lease.next_request(now, &self.settings, call, token) {
            self.send_to_platform(call, request, actions);
        }
        if self.is_read_due(now) {
            self.discard_plan();
            self.reader.start(now);
        }
        let call = self.next_call();
        if let Some(request) = self.reader.next_request(call) {
            self.send_to_platform(call, request, actions);
        }
        if self.sender.is_idle() && !self.reader.is_reading() {
            self.start_next_step(now, actions);
        }
        let call = self.next_call();
        if let Some(request) = self.sender.next_request(now, call) {
            self.send_to_platform(call, request, actions);
        }
    }

    fn is_read_due(&self, now: Moment) -> bool {
        let can_read = !self.reader.is_reading() && self.sender.is_idle();
        let request_needs_read = self.requests.needs_read(self.reader.last_read_start());
        let interval = if request_needs_read {
            self.settings.min_read_interval
        } else if self.lease.is_holder(now) || !self.pending_reports.is_empty() {
            self.settings.plan_interval
        } else {
            self.settings.standby_read_interval
        };
        let may_replace_plan = self.steps.is_empty() || request_needs_read;
        can_read && may_replace_plan && self.document.is_some() && self.reader.is_due(now, interval)
    }

    fn handle_reply(
        &mut self,
        now: Moment,
        call: FleetCallId,
        reply: PlatformReply,
        actions: &mut Vec<FleetAction>,
    ) {
        if self.orders.owns(call) {
            self.orders.handle_reply(call, &reply);
        } else if self.lease.owns(call) {
            self.lease.handle_reply(now, &self.settings, &reply);
        } else if self.reader.owns(call) {
            if let Some(result) = self.reader.handle_reply(reply) {
                self.apply_snapshot(now, result, actions);
            }
        } else if self.sender.owns(call) {
            if let Some((step, outcome)) = self.sender.handle_reply(now, &self.settings, reply) {
                self.finish_step(now, step, outcome, actions);
            }
        }
    }

    /// Replaces the snapshot with the result of a completed read. Makes a plan if the counters
    /// match and this entry is the planner or has findings to record.
    fn apply_snapshot(&mut self, now: Moment, result: ReadResult, actions: &mut Vec<FleetAction>) {
        let old = std::mem::replace(&mut self.snapshot, result.snapshot);
        for (instance, status) in &mut self.snapshot.instances {
            if let Some(old) = old.instances.get(instance) {
                status.load = old.load;
                status.load_epoch = old.load_epoch;
            }
        }
        self.findings.merge_into(now, &self.settings, &mut self.snapshot);
        let counters_match = self.check_counters(result.is_consistent);
        let Some(document) = &self.document else { return };
        let is_planner = self.lease.is_holder(now);
        if counters_match && (is_planner || !self.pending_reports.is_empty()) {
            let steps = plan(&self.snapshot, document, &self.demand, self.wall);
            let reports = std::mem::take(&mut self.pending_reports);
            self.steps = steps
                .into_iter()
                .filter(|step| is_planner || is_pending_report(step, &reports))
                .collect();
            self.counters.plans += u64::from(is_planner);
            self.counters.infeasible = check_feasible(document, &self.snapshot).is_err();
            self.counters.overdue_instances =
                overdue_instances(document, &self.snapshot, self.wall);
        }
        if is_planner {
            self.send_commands(now, actions);
        }
    }

    /// Returns whether the pool counters match the instance rows. An inconsistent read cannot be
    /// compared and counts as matching. A mismatch of the rack row is ignored, as `is_consistent` only
    /// covers the pools.
    fn check_counters(&mut self, is_consistent: bool) -> bool {
        if !is_consistent {
            return true;
        }
        let expected = ExpectedCounters::new(self.snapshot.rows().map(|(_, _, row)| row));
        let comparison = expected.check(&self.snapshot);
        let counters_match = !matches!(comparison, Err(CounterMismatch::Pool { .. }));
        debug_assert!(
            counters_match,
            "pool counters do not match the instance rows: {comparison:?}"
        );
        self.counters.counter_mismatches += u64::from(!counters_match);
        counters_match
    }

    fn start_next_step(&mut self, now: Moment, actions: &mut Vec<FleetAction>) {
        self.start_next_request(actions);
        while self.sender.is_idle() {
            let Some(step) = self.steps.pop_front() else { return };
            if !self.lease.is_holder(now) && !is_report_step(&step) {
                continue;
            }
            let Some(document) = &self.document else { return };
            match StepWrites::new(&self.snapshot, document, &step, self.wall) {
                Ok(writes) => {
                    let token = self.next_token();
                    self.sender.start(step, writes, None, token);
                }
                Err(_) => self.counters.steps_refused += 1,
            }
        }
    }

    /// Handles operator requests, oldest first, based on rows whose read started no earlier than
    /// the request, until one of them starts a step.
    fn start_next_request(&mut self, actions: &mut Vec<FleetAction>) {
        while self.sender.is_idle() {
            let Some(document) = &self.document else { return };
            let Some(request) = self.requests.ready(self.reader.last_read_start()) else { return };
            let (snapshot, demand, wall) = (&self.snapshot, &self.demand, self.wall);
            let handler = OperatorHandler { snapshot, document, demand, wall };
            match handler.decide(&request.request) {
                RequestDecision::Answer(answer) => {
                    let call = request.call;
                    self.answer(call, answer, actions);
                }
                RequestDecision::Step(step, writes) => {
                    let (call, token) = (request.call, self.next_token());
                    self.sender.start(step, *writes, Some(call), token);
                }
            }
        }
    }

    fn finish_step(
        &mut self,
        now: Moment,
        step: SentStep,
        outcome: StepOutcome,
        actions: &mut Vec<FleetAction>,
    ) {
        match outcome {
            StepOutcome::Committed(versions) => {
                step.writes.apply_to(&mut self.snapshot, &versions);
                self.counters.steps_committed += 1;
                if let Some(call) = step.operator {
                    self.answer(call, OperatorAnswer::Done, actions);
                }
                actions.push(FleetAction::Record(step.step));
                self.send_commands(now, actions);
            }
            StepOutcome::Conflict(rows) => {
                self.counters.steps_conflicted += 1;
                reader::apply_rows(&mut self.snapshot, &rows);
                self.retry_after_read(now, &step);
                let out_of_retries =
                    step.operator.filter(|call| self.requests.record_conflict(*call));
                if let Some(call) = out_of_retries {
                    let refusal = OperatorAnswer::Refused(StepRefusal::Conflict);
                    self.answer(call, refusal, actions);
                }
            }
            StepOutcome::NotSent => self.retry_after_read(now, &step),
        }
    }

    /// Discards the remaining steps; the next plan contains those that are still needed. Instances
    /// whose findings have not been recorded stay pending.
    fn discard_plan(&mut self) {
        let steps = std::mem::take(&mut self.steps);
        let reports = steps.iter().filter(|step| is_report_step(step));
        self.pending_reports.extend(reports.filter_map(FleetStep::instance));
    }

    /// Lets a step that was not committed be decided again after the next read.
    fn retry_after_read(&mut self, now: Moment, step: &SentStep) {
        self.discard_plan();
        if let Some(call) = step.operator {
            self.requests.retry_after_read(call, now);
        }
        if let Some(instance) = step.step.instance().filter(|_| is_report_step(&step.step)) {
            self.pending_reports.insert(instance);
        }
    }

    /// Answers an operator request that is still pending.
    fn answer(
        &mut self,
        call: FleetCallId,
        answer: OperatorAnswer,
        actions: &mut Vec<FleetAction>,
    ) {
        if self.requests.remove(call) {
            actions.push(FleetAction::Answer { call, answer });
        }
    }

    fn refuse_expired_requests(&mut self, now: Moment, actions: &mut Vec<FleetAction>) {
        while let Some(call) = self.requests.find_expired(now, self.settings.operator_timeout) {
            let is_outcome_unknown =
                self.sender.operator() == Some(call) && self.sender.may_have_committed();
            let refusal = if is_outcome_unknown {
                StepRefusal::PlatformUnknown
            } else {
                StepRefusal::PlatformDown
            };
            if self.sender.operator() == Some(call) {
                self.sender.clear_operator();
            }
            self.answer(call, OperatorAnswer::Refused(refusal), actions);
        }
    }

    fn send_commands(&mut self, now: Moment, actions: &mut Vec<FleetAction>) {
        let Some(document) = &self.document else { return };
        if !self.lease.is_holder(now) {
            return;
        }
        let due =
            self.orders.due_commands(&self.snapshot, document, &self.settings, now, self.wall);
        for (instance, commands) in due {
            if let Some(order) = commands.order {
                let call = self.next_call();
                self.orders.record_call(call, instance, &order);
                self.send_to_platform(call, PlatformRequest::Order(instance, order), actions);
            }
            if let Some(epoch) = commands.query_load {
                actions.push(FleetAction::QueryLoad { instance, epoch });
            }
            if let Some(incarnation) = commands.stop_incarnation {
                actions.push(FleetAction::StopWork { instance, incarnation });
            }
        }
    }

    fn send_to_platform(
        &self,
        call: FleetCallId,
        request: PlatformRequest,
        actions: &mut Vec<FleetAction>,
    ) {
        let timeout = self.settings.platform_timeout;
        actions.push(FleetAction::Platform { call, request, timeout });
    }

    fn next_call(&mut self) -> FleetCallId {
        self.last_call_id += 1;
        FleetCallId(self.last_call_id)
    }

    fn next_token(&mut self) -> ClientToken {
        ClientToken(self.rng.random())
    }
}

/// Returns whether a step records a finding of this entry about one of the instances in `reports`.
fn is_pending_report(step: &FleetStep, reports: &IndexSet<InstanceId>) -> bool {
    step.instance().is_some_and(|instance| reports.contains(&instance)) && is_report_step(step)
}

fn is_report_step(step: &FleetStep) -> bool {
    matches!(step, FleetStep::Instance { change, .. } if change.is_report())
}
