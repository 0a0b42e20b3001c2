//! What a target stand-in does besides listening.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use futures_lite::future;
use hyper::Method;
use hyper::StatusCode;
use indexmap::IndexMap;
use magnoliapin_model::InstanceId;
use magnoliapin_model::Moment;
use magnoliapin_model::TargetRun;
use magnoliapin_model::TaskId;
use magnoliapin_wire::InstanceOrder;
use magnoliapin_wire::InstanceRecord;
use magnoliapin_wire::ListedState;
use magnoliapin_wire::OrderAct;
use magnoliapin_wire::TargetReply;
use magnoliapin_wire::TargetRequest;
use magnoliapin_wire::TaskReply;
use rand::RngCore;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use smol::Timer;

use crate::connection_board::lock;
use crate::connection_board::ConnectionBoard;
use crate::http_answer::HttpAnswer;
use crate::http_answer::HttpOutcome;
use crate::http_answer::HttpRequest;
use crate::http_server::HttpService;
use crate::target_call::TargetCall;
use crate::HttpClient;
use crate::StandinClock;
use crate::TargetMode;
use crate::TargetOptions;
use crate::TargetState;

const REGISTRATION_INTERVAL: Duration = Duration::from_millis(200);
const REGISTRATION_CALL_TIMEOUT: Duration = Duration::from_secs(2);
const REBOOT_TIME: Duration = Duration::from_secs(1);
const LONGEST_IDLE: Duration = Duration::from_secs(60);

/// The state of a target, the callers that wait for its tasks, and its registration.
pub(crate) struct TargetCore {
    options: TargetOptions,
    state: Arc<Mutex<TargetState>>,
    waiters: Mutex<IndexMap<TaskId, Vec<Sender<TaskReply>>>>,
    board: Arc<ConnectionBoard>,
    generator: Mutex<Pcg64Mcg>,
    changed: Sender<()>,
    changes: Receiver<()>,
}

impl TargetCore {
    /// Makes an idle target.
    pub(crate) fn new(options: TargetOptions) -> Self {
        let mut generator =
            options.seed.map_or_else(Pcg64Mcg::from_os_rng, Pcg64Mcg::seed_from_u64);
        let run = TargetRun(generator.next_u64());
        let state = TargetState::new(run, &options.image).with_slots(options.slots);
        let (changed, changes) = async_channel::bounded(1);
        Self {
            board: Arc::new(ConnectionBoard::new(options.connections)),
            options,
            state: Arc::new(Mutex::new(state)),
            waiters: Mutex::new(IndexMap::new()),
            generator: Mutex::new(generator),
            changed,
            changes,
        }
    }

    pub(crate) fn board(&self) -> Arc<ConnectionBoard> {
        Arc::clone(&self.board)
    }

    pub(crate) fn state(&self) -> Arc<Mutex<TargetState>> {
        Arc::clone(&self.state)
    }

    pub(crate) fn clock(&self) -> StandinClock {
        self.options.clock
    }

    pub(crate) fn instance(&self) -> InstanceId {
        self.options.instance
    }

    /// Returns whether a task runs.
    pub(crate) fn is_busy(&self) -> bool {
        lock(&self.state).next_end().is_some()
    }

    /// Changes the mode; `spared` is the connection that the change came on.
    pub(crate) fn set_mode(&self, mode: TargetMode, spared: Option<u64>) {
        lock(&self.state).set_mode(mode);
        if mode == TargetMode::Silent {
            self.board.silence_all_but(spared);
        }
    }

    /// Ends tasks when they are due and answers those who wait for them.
    pub(crate) async fn end_tasks(self: Arc<Self>) {
        loop {
            let next_end = self.answer_waiters();
            let now = self.clock().now();
            let wait = next_end.map_or(LONGEST_IDLE, |end| end.since(now));
            let due = async {
                Timer::after(wait).await;
            };
            let change = async {
                let _ = self.changes.recv().await;
            };
            future::or(due, change).await;
        }
    }

    /// Registers at the platform and carries out its orders.
    pub(crate) async fn register(self: Arc<Self>, address: SocketAddr) {
        let client = HttpClient::new(self.options.platform);
        let mut client = client.with_timeout(REGISTRATION_CALL_TIMEOUT);
        let path = format!("/v1/instances/{}", self.options.instance);
        loop {
            let record = self.record(address);
            let answer = client.call_with(Method::PUT, &path, &record).await;
            let order = answer.ok().and_then(|answer| answer.value::<Option<InstanceOrder>>());
            if let Some(order) = order.flatten() {
                self.obey(order).await;
            }
            Timer::after(REGISTRATION_INTERVAL).await;
        }
    }

    fn record(&self, address: SocketAddr) -> InstanceRecord {
        let state = lock(&self.state);
        InstanceRecord {
            instance: self.options.instance,
            zone: self.options.zone,
            rack: self.options.rack,
            pool: self.options.pool,
            address,
            run: state.run(),
            slots: state.slots(),
            image: state.image().to_owned(),
            state: if state.is_leaving() { ListedState::Leaving } else { ListedState::Live },
        }
    }

    async fn obey(&self, order: InstanceOrder) {
        if order.run != lock(&self.state).run() {
            return;
        }
        match order.act {
            OrderAct::Drain => lock(&self.state).set_draining(true),
            OrderAct::Undrain => lock(&self.state).set_draining(false),
            OrderAct::Reboot { image } => self.reboot(&image).await,
        }
    }

    async fn reboot(&self, image: &str) {
        self.board.set_open(false);
        self.board.drop_all().await;
        lock(&self.state).halt(self.clock().now());
        lock(&self.waiters).clear();
        Timer::after(REBOOT_TIME).await;
        let run = TargetRun(lock(&self.generator).next_u64());
        lock(&self.state).restart(self.clock().now(), run, image);
        self.board.set_open(true);
    }

    fn answer_waiters(&self) -> Option<Moment> {
        let mut state = lock(&self.state);
        let mut waiters = lock(&self.waiters);
        for reply in state.poll(self.clock().now()) {
            for waiter in waiters.shift_remove(&reply.task).unwrap_or_default() {
                let _ = waiter.try_send(reply.clone());
            }
        }
        state.next_end()
    }

    async fn carry_out(&self, request: TargetRequest) -> HttpOutcome {
        let (sender, receiver) = async_channel::bounded(1);
        let reply = self.carry_out_or_wait(request, sender);
        let _ = self.changed.try_send(());
        if let Some(reply) = reply {
            return HttpOutcome::Answer(target_answer(&reply));
        }
        match receiver.recv().await {
            Ok(reply) => HttpOutcome::Answer(HttpAnswer::json(&reply)),
            Err(_) => HttpOutcome::Close,
        }
    }

    fn carry_out_or_wait(
        &self,
        request: TargetRequest,
        waiter: Sender<TaskReply>,
    ) -> Option<TargetReply> {
        let started = match &request {
            TargetRequest::Start(start) => Some(start.task),
            _ => None,
        };
        let mut state = lock(&self.state);
        let reply = state.carry_out(self.clock().now(), request);
        // Added while the state is locked, so that the end cannot come in between.
        if let (None, Some(task)) = (&reply, started) {
            lock(&self.waiters).entry(task).or_default().push(waiter);
        }
        reply
    }

    async fn respond(&self, connection: u64, call: TargetCall) -> HttpOutcome {
        let answer = match call {
            TargetCall::Target(request) => return self.carry_out(request).await,
            TargetCall::SetMode(mode) => {
                self.set_mode(mode, Some(connection));
                HttpAnswer::done()
            }
            TargetCall::Effects => HttpAnswer::json(lock(&self.state).ledger().effects()),
            TargetCall::Starts => HttpAnswer::json(lock(&self.state).ledger().starts()),
        };
        HttpOutcome::Answer(answer)
    }
}

impl HttpService for TargetCore {
    fn answer(self: Arc<Self>, request: HttpRequest) -> future::Boxed<HttpOutcome> {
        Box::pin(async move {
            match TargetCall::from_request(&request) {
                Ok(call) => self.respond(request.connection, call).await,
                Err(answer) => HttpOutcome::Answer(answer),
            }
        })
    }
}

fn target_answer(reply: &TargetReply) -> HttpAnswer {
    match reply {
        TargetReply::Task(reply) => HttpAnswer::json(reply),
        TargetReply::Entry(tasks) => HttpAnswer::json(tasks),
        TargetReply::Failed(_) => HttpAnswer::error(StatusCode::BAD_GATEWAY, "no answer"),
    }
}
