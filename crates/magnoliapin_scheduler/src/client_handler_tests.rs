//! Tests of requests whose store calls are late or have no reply.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_model::ByteSize;
use magnoliapin_model::RowVersion;
use magnoliapin_site::CallFailure;
use magnoliapin_site::ClientAction;
use magnoliapin_site::ClientReply;
use magnoliapin_site::ClientRequest;
use magnoliapin_site::JobId;
use magnoliapin_site::JobSpec;
use magnoliapin_site::PoolName;
use magnoliapin_site::QueueName;
use magnoliapin_site::QueueRule;
use magnoliapin_site::RefusalReason;
use magnoliapin_site::RowId;
use magnoliapin_site::SiteConfig;
use magnoliapin_site::StepSpec;
use magnoliapin_site::StoreReply;
use magnoliapin_site::StoreRequest;
use magnoliapin_site::StoreRow;

use super::ClientHandler;
use crate::outbox::Outbox;
use crate::rows;
use crate::watch::tests::store_limits;
use crate::CallId;
use crate::ClientId;
use crate::NodeAction;

const JOB: JobId = JobId(7);

/// A node without a leader, and a store that carries out its calls one by one.
struct HandlerFixture {
    handler: ClientHandler,
    out: Outbox,
    rows: IndexMap<(String, String), StoreRow>,
    version: u64,
    calls: VecDeque<(CallId, StoreRequest)>,
    replies: Vec<(ClientId, ClientReply)>,
    clients: u64,
}

impl HandlerFixture {
    fn new() -> Self {
        let queue = QueueRule {
            name: QueueName::new("queue"),
            host: "host".to_owned(),
            path_prefix: "/queue/".to_owned(),
            pool: PoolName::new("pool"),
            priority: 0,
            max_attempts: 1,
            stretch_factor: 1.0,
            target_latency: Duration::ZERO,
            is_public: true,
            advice: None,
        };
        let mut handler = ClientHandler::new(1, store_limits(), ByteSize(1 << 30));
        handler.set_config(&SiteConfig { queues: vec![queue], ..SiteConfig::default() });
        Self {
            handler,
            out: Outbox::new(1),
            rows: IndexMap::new(),
            version: 0,
            calls: VecDeque::new(),
            replies: Vec::new(),
            clients: 0,
        }
    }

    fn submission() -> ClientAction {
        let step = StepSpec { tasks: 1, ..StepSpec::default() };
        ClientAction::Submit(Ok(Box::new(JobSpec { steps: vec![step], ..JobSpec::default() })))
    }

    /// Sends a request. Its store calls wait until they are answered.
    fn send(&mut self, action: ClientAction) -> ClientId {
        self.clients += 1;
        let client = ClientId(self.clients);
        let path = format!("/queue/{JOB}");
        let request =
            ClientRequest { host: "host".to_owned(), path, key: None, timeout: None, action };
        self.handler.handle_request(client, request, true, &mut self.out);
        self.collect();
        client
    }

    fn collect(&mut self) {
        let mut actions = Vec::new();
        self.out.take_actions(&mut actions);
        for action in actions {
            match action {
                NodeAction::Store { call, request, .. } => self.calls.push_back((call, request)),
                NodeAction::ReplyToClient(client, reply) => self.replies.push((client, reply)),
                _ => {}
            }
        }
    }

    fn reply(&mut self, call: CallId, reply: &StoreReply) {
        self.handler.handle_store_reply(call, reply, &mut self.out);
        self.out.now = self.out.now + Duration::from_millis(50);
        self.handler.tick(&mut self.out);
        self.collect();
    }

    /// Carries out a call.
    fn perform(&mut self, request: &StoreRequest) -> StoreReply {
        match request {
            StoreRequest::Commit(transaction) => {
                let key = |row: &RowId| (row.table.to_owned(), row.key.clone());
                let found: Vec<StoreRow> = transaction
                    .expected
                    .iter()
                    .filter_map(|(row, _)| self.rows.get(&key(row)).cloned())
                    .collect();
                let has_version = |row: &RowId, version: RowVersion| {
                    self.rows.get(&key(row)).map_or(RowVersion(0), |row| row.version) == version
                };
                if !transaction.expected.iter().all(|(row, version)| has_version(row, *version)) {
                    return StoreReply::Conflict(found);
                }
                self.version += 1;
                let version = RowVersion(self.version);
                for (row, value) in &transaction.writes {
                    let stored = StoreRow {
                        table: row.table.to_owned(),
                        partition: row.partition.clone(),
                        key: row.key.clone(),
                        version,
                        value: Some(value.clone()),
                    };
                    self.rows.insert(key(row), stored);
                }
                StoreReply::Committed(version)
            }
            StoreRequest::Read(range) => {
                let row = self.rows.get(&(range.table.to_owned(), range.from.clone()));
                let rows = row.into_iter().cloned().collect();
                StoreReply::Rows { rows, has_more: false, version: RowVersion(self.version) }
            }
            _ => StoreReply::Failed(CallFailure::NotDone),
        }
    }

    /// Answers the calls that wait, and those that follow from the answers. Returns the reply to a client.
    fn finish(&mut self, client: ClientId) -> ClientReply {
        while let Some((call, request)) = self.calls.pop_front() {
            let reply = self.perform(&request);
            self.reply(call, &reply);
        }
        let reply = self.replies.iter().find(|(replied, _)| *replied == client);
        reply.expect("the client has a reply").1.clone()
    }

    fn has_job(&self) -> bool {
        self.rows.contains_key(&(rows::INTAKE.to_owned(), JOB.to_string()))
    }
}

/// Guards against a job that runs although its cancellation was acknowledged (review/14): the write of the
/// job has no reply yet, is carried out after the cancellation, and is repeated.
#[test]
fn jobs_cancelled_before_they_are_stored_never_are() {
    let mut site = HandlerFixture::new();
    let submitter = site.send(HandlerFixture::submission());
    let (call, late_write) = site.calls.pop_front().expect("the job is written");
    let canceller = site.send(ClientAction::Cancel);
    assert_eq!(site.finish(canceller), ClientReply::UnknownJob);
    assert!(matches!(site.perform(&late_write), StoreReply::Conflict(_)));
    site.reply(call, &StoreReply::Failed(CallFailure::Unknown));
    let reply = site.finish(submitter);
    let is_refused = matches!(reply, ClientReply::Refused { reason: RefusalReason::Cancelled, .. });
    assert!(is_refused, "{reply:?}");
    assert!(!site.has_job());
    // It does not exist for anybody, also once the cancellation is repeated.
    for action in [ClientAction::Read, ClientAction::Cancel] {
        let client = site.send(action);
        assert_eq!(site.finish(client), ClientReply::UnknownJob);
    }
}

/// The job is stored before the cancellation, which then takes effect, also if its own write has no reply.
#[test]
fn jobs_stored_during_their_cancellation_are_cancelled() {
    for is_reply_lost in [false, true] {
        let mut site = HandlerFixture::new();
        site.send(HandlerFixture::submission());
        let (call, late_write) = site.calls.pop_front().expect("the job is written");
        let canceller = site.send(ClientAction::Cancel);
        // The reads find neither the job nor an outcome.
        for _ in 0..2 {
            let (call, read) = site.calls.pop_front().expect("a row is read");
            let reply = site.perform(&read);
            site.reply(call, &reply);
        }
        let reply = site.perform(&late_write);
        site.reply(call, &reply);
        if is_reply_lost {
            let (call, request) = site.calls.pop_front().expect("the outcome is written");
            site.perform(&request);
            site.reply(call, &StoreReply::Failed(CallFailure::Unknown));
        }
        assert_eq!(site.finish(canceller), ClientReply::Cancelled);
        assert!(site.has_job());
        let cancel = (rows::INTAKE.to_owned(), format!("{JOB}{}", rows::CANCEL_SUFFIX));
        assert!(site.rows.contains_key(&cancel));
    }
}

/// Guards against a cancellation that is answered as if the job were stored, because the write that
/// withdraws it was carried out without a reply.
#[test]
fn lost_replies_to_cancellations_of_unknown_jobs_change_nothing() {
    let mut site = HandlerFixture::new();
    let canceller = site.send(ClientAction::Cancel);
    for _ in 0..2 {
        let (call, read) = site.calls.pop_front().expect("a row is read");
        let reply = site.perform(&read);
        site.reply(call, &reply);
    }
    let (call, request) = site.calls.pop_front().expect("the outcome is written");
    assert!(matches!(site.perform(&request), StoreReply::Committed(_)));
    site.reply(call, &StoreReply::Failed(CallFailure::Unknown));
    assert_eq!(site.finish(canceller), ClientReply::UnknownJob);
}
