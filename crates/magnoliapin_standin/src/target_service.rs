//! Request handling, task completion and registration of a target stand-in.

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
use magnoliapin_model::TargetIncarnation;
use magnoliapin_model::TaskId;
use magnoliapin_wire::InstanceOrder;
use magnoliapin_wire::InstanceRecord;
use magnoliapin_wire::ListedState;
use magnoliapin_wire::OrderAction;
use magnoliapin_wire::TargetReply;
use magnoliapin_wire::TargetRequest;
use magnoliapin_wire::TaskReply;
use rand::RngCore;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use smol::Timer;

use crate::connection_registry::lock;
use crate::connection_registry::ConnectionRegistry;
use crate::http_response::HttpOutcome;
use crate::http_response::HttpRequest;
use crate::http_response::HttpResponse;
use crate::http_server::HttpService;
use crate::target_call::TargetCall;
use crate::HttpClient;
use crate::StandinClock;
use crate::TargetMode;
use crate::TargetOptions;
use crate::TargetState;

const REGISTRATION_INTERVAL: Duration = Duration::from_millis(200);
const REGISTRATION_CALL_TIMEOUT: Duration = Duration::from_secs(2);
const REBOOT_DURATION: Duration = Duration::from_secs(1);
const MAX_IDLE_WAIT: Duration = Duration::from_secs(60);

/// The state of a target, with the calls that wait for a task to complete.
pub(crate) struct TargetService {
    options: TargetOptions,
    state: Arc<Mutex<TargetState>>,
    waiters: Mutex<IndexMap<TaskId, Vec<Sender<TaskReply>>>>,
    registry: Arc<ConnectionRegistry>,
    generator: Mutex<Pcg64Mcg>,
    wake_sender: Sender<()>,
    wake_receiver: Receiver<()>,
}

impl TargetService {
    /// Creates an idle target.
    pub(crate) fn new(options: TargetOptions) -> Self {
        let mut generator =
            options.seed.map_or_else(Pcg64Mcg::from_os_rng, Pcg64Mcg::seed_from_u64);
        let incarnation = TargetIncarnation(generator.next_u64());
        let state = TargetState::new(incarnation, &options.image).with_slots(options.slots);
        let (wake_sender, wake_receiver) = async_channel::bounded(1);
        Self {
            registry: Arc::new(ConnectionRegistry::new(options.connections)),
            options,
            state: Arc::new(Mutex::new(state)),
            waiters: Mutex::new(IndexMap::new()),
            generator: Mutex::new(generator),
            wake_sender,
            wake_receiver,
        }
    }

    pub(crate) fn registry(&self) -> Arc<ConnectionRegistry> {
        Arc::clone(&self.registry)
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

    /// Returns whether any task is running.
    pub(crate) fn is_busy(&self) -> bool {
        lock(&self.state).next_event_at().is_some()
    }

    /// Sets the mode; `except` is the connection that the silent mode does not stall.
    pub(crate) fn set_mode(&self, mode: TargetMode, except: Option<u64>) {
        lock(&self.state).set_mode(mode);
        if mode == TargetMode::Silent {
            self.registry.stall_all_except(except);
        }
    }

    /// Completes tasks when they are due, answers the calls that wait for them, and restarts the
    /// target after a crash.
    pub(crate) async fn complete_tasks(self: Arc<Self>) {
        loop {
            let next_event_at = self.notify_waiters();
            if lock(&self.state).has_crashed() {
                let image = lock(&self.state).image().to_owned();
                self.reboot(&image).await;
                continue;
            }
            let now = self.clock().now();
            let wait = next_event_at.map_or(MAX_IDLE_WAIT, |event_at| event_at.since(now));
            let due = async {
                Timer::after(wait).await;
            };
            let change = async {
                let _ = self.wake_receiver.recv().await;
            };
            future::or(due, change).await;
        }
    }

    /// Registers at the platform periodically and executes its orders.
    pub(crate) async fn register(self: Arc<Self>, address: SocketAddr) {
        let client = HttpClient::new(self.options.platform);
        let mut client = client.with_timeout(REGISTRATION_CALL_TIMEOUT);
        let path = format!("/v1/instances/{}", self.options.instance);
        loop {
            let record = self.registration_record(address);
            let response = client.call_with(Method::PUT, &path, &record).await;
            let order =
                response.ok().and_then(|response| response.value::<Option<InstanceOrder>>());
            if let Some(order) = order.flatten() {
                self.execute_order(order).await;
            }
            Timer::after(REGISTRATION_INTERVAL).await;
        }
    }

    fn registration_record(&self, address: SocketAddr) -> InstanceRecord {
        let state = lock(&self.state);
        InstanceRecord {
            instance: self.options.instance,
            zone: self.options.zone,
            rack: self.options.rack,
            pool: self.options.pool,
            address,
            run: state.incarnation(),
            slots: state.slots(),
            image: state.image().to_owned(),
            state: if state.is_leaving() { ListedState::Leaving } else { ListedState::Live },
        }
    }

    async fn execute_order(&self, order: InstanceOrder) {
        if order.run != lock(&self.state).incarnation() {
            return;
        }
        match order.act {
            OrderAction::Drain => lock(&self.state).set_draining(true),
            OrderAction::Undrain => lock(&self.state).set_draining(false),
            OrderAction::Reboot { image } => self.reboot(&image).await,
        }
    }

    async fn reboot(&self, image: &str) {
        self.registry.set_accepting(false);
        self.registry.cancel_all().await;
        lock(&self.state).discard_running(self.clock().now());
        lock(&self.waiters).clear();
        Timer::after(REBOOT_DURATION).await;
        let incarnation = TargetIncarnation(lock(&self.generator).next_u64());
        lock(&self.state).restart(self.clock().now(), incarnation, image);
        self.registry.set_accepting(true);
    }

    fn notify_waiters(&self) -> Option<Moment> {
        let mut state = lock(&self.state);
        let mut waiters = lock(&self.waiters);
        for reply in state.poll(self.clock().now()) {
            for waiter in waiters.shift_remove(&reply.task).unwrap_or_default() {
                let _ = waiter.try_send(reply.clone());
            }
        }
        state.next_event_at()
    }

    async fn execute(&self, request: TargetRequest) -> HttpOutcome {
        let (sender, receiver) = async_channel::bounded(1);
        let reply = self.execute_or_wait(request, sender);
        let _ = self.wake_sender.try_send(());
        if let Some(reply) = reply {
            return HttpOutcome::Respond(target_response(&reply));
        }
        match receiver.recv().await {
            Ok(reply) => HttpOutcome::Respond(HttpResponse::json(&reply)),
            Err(_) => HttpOutcome::Close,
        }
    }

    fn execute_or_wait(
        &self,
        request: TargetRequest,
        waiter: Sender<TaskReply>,
    ) -> Option<TargetReply> {
        let started_task = match &request {
            TargetRequest::Start(start) => Some(start.task),
            _ => None,
        };
        let mut state = lock(&self.state);
        let reply = state.execute(self.clock().now(), request);
        // Added while the state is locked, so that the task cannot complete in between.
        if let (None, Some(task)) = (&reply, started_task) {
            lock(&self.waiters).entry(task).or_default().push(waiter);
        }
        reply
    }

    async fn handle_call(&self, connection_id: u64, call: TargetCall) -> HttpOutcome {
        let response = match call {
            TargetCall::Target(request) => return self.execute(request).await,
            TargetCall::SetMode(mode) => {
                self.set_mode(mode, Some(connection_id));
                HttpResponse::no_content()
            }
            TargetCall::Effects => HttpResponse::json(lock(&self.state).ledger().effects()),
            TargetCall::Starts => HttpResponse::json(lock(&self.state).ledger().starts()),
        };
        HttpOutcome::Respond(response)
    }
}

impl HttpService for TargetService {
    fn handle(self: Arc<Self>, request: HttpRequest) -> future::Boxed<HttpOutcome> {
        Box::pin(async move {
            match TargetCall::from_request(&request) {
                Ok(call) => self.handle_call(request.connection_id, call).await,
                Err(response) => HttpOutcome::Respond(response),
            }
        })
    }
}

fn target_response(reply: &TargetReply) -> HttpResponse {
    match reply {
        TargetReply::Task(reply) => HttpResponse::json(reply),
        TargetReply::Entry(tasks) => HttpResponse::json(tasks),
        TargetReply::Failed(_) => {
            HttpResponse::error(StatusCode::BAD_GATEWAY, "the target has no reply")
        }
    }
}
