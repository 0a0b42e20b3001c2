//! The fleet's state machine, which every entry runs.

mod counters;
mod event;
mod findings;
mod lease;
mod operator;
mod operator_handler;
mod orders;
mod reader;
mod request_queue;
mod step_sender;
mod times;

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
pub use event::FleetCall;
pub use event::FleetEvent;
pub use operator::MaintenanceDeadline;
pub use operator::MaintenanceView;
pub use operator::OperatorAnswer;
pub use operator::OperatorRequest;
pub use operator::PoolForecast;
pub use times::FleetTimes;

use self::findings::InstanceFindings;
use self::lease::PlannerLease;
use self::operator_handler::HandlerVerdict;
use self::operator_handler::OperatorHandler;
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
use crate::BookMismatch;
use crate::DemandHistory;
use crate::FleetSnapshot;
use crate::FleetStep;
use crate::InstanceBook;
use crate::StepRefusal;
use crate::StepWrites;
use crate::UnixSeconds;

/// Decides what becomes of the fleet. It does no I/O and reads no clock.
///
/// Every entry runs one. The holder of the planner's lease plans; the others only carry out what
/// their operators ask and report failures that they find. Whoever acts, each step is one
/// transaction that guards what it was decided from.
#[derive(Debug)]
pub struct FleetMachine {
    times: FleetTimes,
    random: Pcg64,
    document: Option<ConfigDocument>,
    snapshot: FleetSnapshot,
    demand: DemandHistory,
    lease: PlannerLease,
    reader: FleetReader,
    sender: StepSender,
    orders: OrderTracker,
    steps: VecDeque<FleetStep>,
    requests: RequestQueue,
    findings: InstanceFindings,
    reports: IndexSet<InstanceId>,
    counters: FleetCounters,
    wall: UnixSeconds,
    last_call: u64,
}

impl FleetMachine {
    /// Makes the machine of an entry that has just started.
    pub fn new(entry: EntryId, seed: u64) -> Self {
        let times = FleetTimes::default();
        Self {
            random: Pcg64::seed_from_u64(seed),
            document: None,
            snapshot: FleetSnapshot::default(),
            demand: DemandHistory::default(),
            lease: PlannerLease::new(entry),
            reader: FleetReader::new(times.page_rows),
            sender: StepSender::default(),
            orders: OrderTracker::default(),
            steps: VecDeque::new(),
            requests: RequestQueue::default(),
            findings: InstanceFindings::default(),
            reports: IndexSet::new(),
            counters: FleetCounters::default(),
            wall: UnixSeconds(0),
            last_call: 0,
            times,
        }
    }

    /// Sets other time bounds.
    #[must_use]
    pub fn with_times(mut self, times: FleetTimes) -> Self {
        self.reader = FleetReader::new(times.page_rows);
        self.times = times;
        self
    }

    /// Returns the fleet as this entry last read it.
    pub fn snapshot(&self) -> &FleetSnapshot {
        &self.snapshot
    }

    /// Returns whether this entry plans.
    pub fn is_planner(&self, now: Moment) -> bool {
        self.lease.is_held(now)
    }

    /// Returns what has been counted so far.
    pub fn counters(&self) -> &FleetCounters {
        &self.counters
    }

    /// Takes one event and adds what is to be done to `actions`.
    pub fn handle(&mut self, now: Moment, event: FleetEvent, actions: &mut Vec<FleetAction>) {
        match event {
            FleetEvent::Tick { wall } => self.wall = wall,
            FleetEvent::Document(document) => self.document = Some(*document),
            FleetEvent::Platform { call, reply } => self.take_reply(now, call, reply, actions),
            FleetEvent::Load { instance, epoch, load } => {
                if let Some(facts) = self.snapshot.instances.get_mut(&instance) {
                    facts.load = Some(load);
                    facts.load_epoch = epoch;
                }
            }
            FleetEvent::Health { instance, run, healthy } => {
                self.findings.note_health(now, instance, run, healthy);
                self.reports.insert(instance);
            }
            FleetEvent::Suspect { instance, run, suspect } => {
                self.findings.note_suspect(now, instance, run, suspect);
                self.reports.insert(instance);
            }
            FleetEvent::Demand { queue, slots } => self.demand.observe(queue, slots, self.wall),
            FleetEvent::Operator { call, request } => {
                self.requests.push(call, request, now);
            }
        }
        self.proceed(now, actions);
    }

    /// Does whatever can be done now.
    fn proceed(&mut self, now: Moment, actions: &mut Vec<FleetAction>) {
        self.drop_late_requests(now, actions);
        let (call, token) = (self.next_call(), self.next_token());
        if let Some(request) = self.lease.next_request(now, &self.times, call, token) {
            self.call(call, request, actions);
        }
        if self.wants_read(now) {
            self.drop_steps();
            self.reader.start(now);
        }
        let call = self.next_call();
        if let Some(request) = self.reader.next_request(call) {
            self.call(call, request, actions);
        }
        if self.sender.is_free() && !self.reader.is_reading() {
            self.start_step(now, actions);
        }
        let call = self.next_call();
        if let Some(request) = self.sender.next_request(now, call) {
            self.call(call, request, actions);
        }
    }

    fn wants_read(&self, now: Moment) -> bool {
        let is_idle = !self.reader.is_reading() && self.sender.is_free();
        let has_new_request = self.requests.needs_read(self.reader.finished_start());
        let interval = if has_new_request {
            self.times.read_interval
        } else if self.lease.is_held(now) || !self.reports.is_empty() {
            self.times.plan_interval
        } else {
            self.times.follow_interval
        };
        let is_free = self.steps.is_empty() || has_new_request;
        is_idle && is_free && self.document.is_some() && self.reader.is_due(now, interval)
    }

    fn take_reply(
        &mut self,
        now: Moment,
        call: FleetCall,
        reply: PlatformReply,
        actions: &mut Vec<FleetAction>,
    ) {
        if self.orders.owns(call) {
            self.orders.take_reply(call, &reply);
        } else if self.lease.owns(call) {
            self.lease.take_reply(now, &self.times, &reply);
        } else if self.reader.owns(call) {
            if let Some(result) = self.reader.take_reply(reply) {
                self.take_snapshot(now, result, actions);
            }
        } else if self.sender.owns(call) {
            if let Some((step, outcome)) = self.sender.take_reply(now, &self.times, reply) {
                self.end_step(now, step, outcome, actions);
            }
        }
    }

    /// Takes a snapshot that was read to its end and plans if this entry is the planner.
    fn take_snapshot(&mut self, now: Moment, result: ReadResult, actions: &mut Vec<FleetAction>) {
        let old = std::mem::replace(&mut self.snapshot, result.snapshot);
        for (instance, facts) in &mut self.snapshot.instances {
            if let Some(old) = old.instances.get(instance) {
                facts.load = old.load;
                facts.load_epoch = old.load_epoch;
            }
        }
        self.findings.fill(now, &self.times, &mut self.snapshot);
        let is_sound = self.check_counters(result.is_consistent);
        let Some(document) = &self.document else { return };
        let is_planner = self.lease.is_held(now);
        if is_sound && (is_planner || !self.reports.is_empty()) {
            let steps = plan(&self.snapshot, document, &self.demand, self.wall);
            let reports = std::mem::take(&mut self.reports);
            self.steps =
                steps.into_iter().filter(|step| is_planner || is_report(step, &reports)).collect();
            self.counters.plans += u64::from(is_planner);
            self.counters.infeasible = check_feasible(document, &self.snapshot).is_err();
            self.counters.overdue_instances =
                overdue_instances(document, &self.snapshot, self.wall);
        }
        if is_planner {
            self.send_orders(now, actions);
        }
    }

    /// Returns whether counters and rows agree; only rows read together can be compared.
    fn check_counters(&mut self, is_consistent: bool) -> bool {
        if !is_consistent {
            return true;
        }
        let book = InstanceBook::new(self.snapshot.rows().map(|(_, _, row)| row));
        let checked = book.check(&self.snapshot);
        let is_sound = !matches!(checked, Err(BookMismatch::Pool { .. }));
        debug_assert!(is_sound, "counters differ from rows: {checked:?}");
        self.counters.counter_mismatches += u64::from(!is_sound);
        is_sound
    }

    fn start_step(&mut self, now: Moment, actions: &mut Vec<FleetAction>) {
        self.start_request(actions);
        while self.sender.is_free() {
            let Some(step) = self.steps.pop_front() else { return };
            if !self.lease.is_held(now) && !is_report_step(&step) {
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

    /// Judges the oldest request of an operator by rows that were read after it came.
    fn start_request(&mut self, actions: &mut Vec<FleetAction>) {
        while self.sender.is_free() {
            let Some(document) = &self.document else { return };
            let Some(request) = self.requests.ready(self.reader.finished_start()) else { return };
            let (snapshot, demand, wall) = (&self.snapshot, &self.demand, self.wall);
            let handler = OperatorHandler { snapshot, document, demand, wall };
            match handler.judge(&request.request) {
                HandlerVerdict::Answer(answer) => {
                    let call = request.call;
                    self.answer(call, answer, actions);
                }
                HandlerVerdict::Step(step, writes) => {
                    let (call, token) = (request.call, self.next_token());
                    self.sender.start(step, *writes, Some(call), token);
                }
            }
        }
    }

    fn end_step(
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
                self.send_orders(now, actions);
            }
            StepOutcome::Conflict(rows) => {
                self.counters.steps_conflicted += 1;
                reader::take_rows(&mut self.snapshot, &rows);
                self.put_off(now, &step);
                let given_up = step.operator.filter(|call| self.requests.count_conflict(*call));
                if let Some(call) = given_up {
                    let refusal = OperatorAnswer::Refused(StepRefusal::Conflict);
                    self.answer(call, refusal, actions);
                }
            }
            StepOutcome::NotSent => self.put_off(now, &step),
        }
    }

    /// Drops the rest of the plan; the next one has what is still wanted.
    fn drop_steps(&mut self) {
        let steps = std::mem::take(&mut self.steps);
        let reports = steps.iter().filter(|step| is_report_step(step));
        self.reports.extend(reports.filter_map(FleetStep::instance));
    }

    /// Lets a step that was not taken be decided again after the next read.
    fn put_off(&mut self, now: Moment, step: &SentStep) {
        self.drop_steps();
        if let Some(call) = step.operator {
            self.requests.put_off(call, now);
        }
        if let Some(instance) = step.step.instance().filter(|_| is_report_step(&step.step)) {
            self.reports.insert(instance);
        }
    }

    /// Answers an operator who still waits.
    fn answer(&mut self, call: FleetCall, answer: OperatorAnswer, actions: &mut Vec<FleetAction>) {
        if self.requests.remove(call) {
            actions.push(FleetAction::Answer { call, answer });
        }
    }

    fn drop_late_requests(&mut self, now: Moment, actions: &mut Vec<FleetAction>) {
        while let Some(call) = self.requests.late(now, self.times.operator_deadline) {
            let is_doubtful = self.sender.operator() == Some(call) && self.sender.may_be_taken();
            let refusal =
                if is_doubtful { StepRefusal::PlatformUnknown } else { StepRefusal::PlatformDown };
            if self.sender.operator() == Some(call) {
                self.sender.forget_operator();
            }
            self.answer(call, OperatorAnswer::Refused(refusal), actions);
        }
    }

    fn send_orders(&mut self, now: Moment, actions: &mut Vec<FleetAction>) {
        let Some(document) = &self.document else { return };
        if !self.lease.is_held(now) {
            return;
        }
        let needs = self.orders.needs(&self.snapshot, document, &self.times, now, self.wall);
        for (instance, need) in needs {
            if let Some(order) = need.order {
                let call = self.next_call();
                self.orders.note_call(call, instance, &order);
                self.call(call, PlatformRequest::Order(instance, order), actions);
            }
            if let Some(epoch) = need.ask_load {
                actions.push(FleetAction::AskLoad { instance, epoch });
            }
            if let Some(run) = need.stop_run {
                actions.push(FleetAction::StopWork { instance, run });
            }
        }
    }

    fn call(&self, call: FleetCall, request: PlatformRequest, actions: &mut Vec<FleetAction>) {
        let timeout = self.times.platform_timeout;
        actions.push(FleetAction::Platform { call, request, timeout });
    }

    fn next_call(&mut self) -> FleetCall {
        self.last_call += 1;
        FleetCall(self.last_call)
    }

    fn next_token(&mut self) -> ClientToken {
        ClientToken(self.random.random())
    }
}

/// Returns whether a step only writes down what this entry found out about an instance.
fn is_report(step: &FleetStep, reports: &IndexSet<InstanceId>) -> bool {
    step.instance().is_some_and(|instance| reports.contains(&instance)) && is_report_step(step)
}

fn is_report_step(step: &FleetStep) -> bool {
    matches!(step, FleetStep::Instance { change, .. } if change.is_report())
}
