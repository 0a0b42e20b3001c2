//! A target over HTTP.

mod task_fixtures;
mod wait;

use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use hyper::StatusCode;
use indexmap::IndexMap;
use magnoliapin_model::InstanceId;
use magnoliapin_model::RackId;
use magnoliapin_model::RowVersion;
use magnoliapin_model::TargetIncarnation;
use magnoliapin_model::TaskId;
use magnoliapin_model::ZoneId;
use magnoliapin_standin::HttpClient;
use magnoliapin_standin::PlatformHandle;
use magnoliapin_standin::PlatformOptions;
use magnoliapin_standin::PlatformStandin;
use magnoliapin_standin::TargetHandle;
use magnoliapin_standin::TargetMode;
use magnoliapin_standin::TargetOptions;
use magnoliapin_standin::TargetStandin;
use magnoliapin_wire::InstanceOrder;
use magnoliapin_wire::InstanceRecord;
use magnoliapin_wire::ListedState;
use magnoliapin_wire::OrderAction;
use magnoliapin_wire::RefusalReason;
use magnoliapin_wire::TaskReply;
use magnoliapin_wire::TaskState;
use task_fixtures::start_request;
use task_fixtures::task_id;
use wait::wait_until;
use wait::WAIT_TIMEOUT;

struct TestSite {
    platform: PlatformHandle,
    target: TargetHandle,
}

async fn start_site(connections: usize) -> TestSite {
    let options = PlatformOptions::default().with_lag(Duration::ZERO);
    let platform = PlatformStandin::start(options).await.expect("a free port");
    let instance = InstanceId::new("i1").expect("a name");
    let zone = ZoneId::new("z1").expect("a name");
    let rack = RackId::new("r1").expect("a name");
    let options = TargetOptions::new(instance, zone, rack, platform.address())
        .with_connections(connections)
        .with_image("one");
    let target = TargetStandin::start(options).await.expect("a free port");
    TestSite { platform, target }
}

impl TestSite {
    fn client(&self) -> HttpClient {
        HttpClient::new(self.target.address())
    }

    fn incarnation(&self) -> TargetIncarnation {
        self.target.state().lock().expect("no panic").incarnation()
    }

    async fn start(&self, work: u128, payload: &str) -> Option<TaskReply> {
        let start = start_request(work, self.incarnation(), payload);
        let response = self.client().call_with(Method::POST, "/v1/tasks", &start).await;
        response.ok().and_then(|response| response.value())
    }

    async fn wait_until_started(&self, work: u128) {
        let state = self.target.state();
        wait_until(|| {
            state.lock().expect("no panic").ledger().starts().contains_key(&task_id(work))
        })
        .await;
    }

    async fn effects(&self) -> IndexMap<TaskId, u32> {
        let response = self.client().call(Method::GET, "/stand-in/effects").await;
        response.expect("a response").value().expect("effects")
    }

    async fn wait_for_record(&self, is_met: impl Fn(&InstanceRecord) -> bool) -> InstanceRecord {
        let mut client = HttpClient::new(self.platform.address());
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < deadline {
            let response = client.call(Method::GET, "/v1/instances").await.expect("a response");
            let records: Vec<InstanceRecord> = response.value().expect("records");
            if let Some(record) = records.into_iter().find(&is_met) {
                return record;
            }
            smol::Timer::after(Duration::from_millis(20)).await;
        }
        panic!("no matching instance record in time");
    }

    async fn order(&self, order: &InstanceOrder) -> StatusCode {
        let mut client = HttpClient::new(self.platform.address());
        let response = client.call_with(Method::POST, "/v1/instances/i1/orders", order).await;
        response.expect("a response").status
    }
}

#[test]
fn start_is_answered_when_task_completes() {
    smol::block_on(async {
        let site = start_site(64).await;
        let reply = site.start(1, "hello").await.expect("a response");
        assert_eq!((reply.state, &reply.output[..]), (TaskState::Finished, &b"hello"[..]));
        assert_eq!(site.start(1, "hello").await, Some(reply));
        let other = start_request(2, TargetIncarnation(0), "");
        let response = site.client().call_with(Method::POST, "/v1/tasks", &other).await;
        let reply: TaskReply = response.expect("a response").value().expect("a reply");
        assert_eq!(reply.state, TaskState::Refused(RefusalReason::OtherRun));
        assert_eq!(site.effects().await, IndexMap::from([(task_id(1), 1)]));
    });
}

#[test]
fn task_continues_after_client_disconnects() {
    smol::block_on(async {
        let site = start_site(64).await;
        let start = start_request(1, site.incarnation(), r#"{"run_ms":300}"#);
        let mut client = site.client().with_timeout(Duration::from_millis(100));
        assert!(client.call_with(Method::POST, "/v1/tasks", &start).await.is_err());
        let reply = site.start(1, r#"{"run_ms":300}"#).await.expect("a response");
        assert_eq!(reply.state, TaskState::Finished);
        assert_eq!(site.effects().await[&task_id(1)], 1);
    });
}

#[test]
fn silent_mode_stalls_open_connections_only() {
    smol::block_on(async {
        let site = start_site(2).await;
        let mut old = site.client().with_timeout(Duration::from_millis(500));
        assert!(old.call(Method::GET, "/stand-in/effects").await.is_ok());
        site.target.set_mode(TargetMode::Silent);
        assert!(old.call(Method::GET, "/stand-in/effects").await.is_err());
        let reply = site.start(1, "").await.expect("a response");
        assert_eq!(reply.state, TaskState::Finished);
    });
}

#[test]
fn task_on_stalled_connection_takes_effect_once() {
    smol::block_on(async {
        let site = start_site(64).await;
        let start = start_request(1, site.incarnation(), r#"{"run_ms":400}"#);
        let mut caller = site.client().with_timeout(Duration::from_millis(1500));
        let call = caller.call_with(Method::POST, "/v1/tasks", &start);
        let stall = async {
            site.wait_until_started(1).await;
            site.target.set_mode(TargetMode::Silent);
        };
        let (response, ()) = futures_lite::future::zip(call, stall).await;
        assert!(response.is_err());
        let path = format!("/v1/tasks/{}", task_id(1));
        let reply = site.client().call(Method::GET, &path).await.expect("a response");
        assert_eq!(reply.value::<TaskReply>().expect("a reply").state, TaskState::Finished);
        assert_eq!(site.effects().await[&task_id(1)], 1);
    });
}

#[test]
fn connections_over_the_limit_are_closed() {
    smol::block_on(async {
        let site = start_site(2).await;
        let (mut first, mut second) = (site.client(), site.client());
        assert!(first.call(Method::GET, "/stand-in/effects").await.is_ok());
        assert!(second.call(Method::GET, "/stand-in/effects").await.is_ok());
        assert!(site.client().call(Method::GET, "/stand-in/effects").await.is_err());
        assert!(first.call(Method::GET, "/stand-in/effects").await.is_ok());
    });
}

#[test]
fn orders_drain_and_reboot_an_instance() {
    smol::block_on(async {
        let site = start_site(64).await;
        let first = site.wait_for_record(|record| record.state == ListedState::Live).await;
        assert_eq!((first.run, first.image.as_str()), (site.incarnation(), "one"));
        let order = |epoch, act| InstanceOrder { run: first.run, epoch: RowVersion(epoch), act };
        let drain = order(2, OrderAction::Drain);
        assert_eq!(site.order(&drain).await, StatusCode::NO_CONTENT);
        site.wait_for_record(|record| record.state == ListedState::Leaving).await;
        let refused = site.start(1, "").await.expect("a response");
        assert_eq!(refused.state, TaskState::Refused(RefusalReason::Leaving));
        assert_eq!(site.order(&order(1, OrderAction::Undrain)).await, StatusCode::CONFLICT);
        let reboot = order(3, OrderAction::Reboot { image: "two".to_owned() });
        assert_eq!(site.order(&reboot).await, StatusCode::NO_CONTENT);
        let second = site.wait_for_record(|record| record.image == "two").await;
        assert_eq!(second.state, ListedState::Live);
        assert_ne!(second.run, first.run);
        assert_eq!(site.order(&reboot).await, StatusCode::CONFLICT);
        let reply = site.start(2, "").await.expect("a response");
        assert_eq!(reply.state, TaskState::Finished);
    });
}

#[test]
fn killed_target_has_no_further_effects_and_is_listed_gone() {
    smol::block_on(async {
        let site = start_site(64).await;
        site.wait_for_record(|record| record.state == ListedState::Live).await;
        site.start(1, "").await.expect("a response");
        let kill = async {
            site.wait_until_started(2).await;
            site.target.kill().await;
        };
        let (interrupted, ()) =
            futures_lite::future::zip(site.start(2, r#"{"run_ms":5000}"#), kill).await;
        assert_eq!(interrupted, None);
        assert_eq!(site.start(3, "").await, None);
        site.wait_for_record(|record| record.state == ListedState::Gone).await;
        let state = site.target.state();
        let state = state.lock().expect("no panic");
        assert_eq!(*state.ledger().effects(), IndexMap::from([(task_id(1), 1)]));
        assert_eq!(state.ledger().starts().len(), 2);
    });
}

#[test]
fn stopping_target_answers_running_tasks() {
    smol::block_on(async {
        let site = start_site(64).await;
        let stop = async {
            site.wait_until_started(1).await;
            site.target.stop().await;
        };
        let call = site.start(1, r#"{"run_ms":400}"#);
        let (reply, ()) = futures_lite::future::zip(call, stop).await;
        assert_eq!(reply.expect("a response").state, TaskState::Finished);
    });
}
