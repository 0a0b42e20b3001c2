//! State shared by the components of the machine while it handles one event.

use std::time::Duration;

use magnoliapin_model::ClientToken;
use magnoliapin_model::EntryId;
use magnoliapin_model::ErrorKind;
use magnoliapin_model::Moment;
use magnoliapin_model::WorkId;
use magnoliapin_wire::CallerAnswer;
use magnoliapin_wire::PeerMessage;
use magnoliapin_wire::PlatformRequest;
use magnoliapin_wire::RefusalView;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::CallId;
use crate::EntryAction;
use crate::PolicyCounts;
use crate::TimelineEvent;

/// Collects the actions of one event, assigns call identifiers and draws random numbers.
#[derive(Debug)]
pub(crate) struct Outbox {
    /// Time of the current event.
    pub(crate) now: Moment,
    /// Counters.
    pub(crate) counts: PolicyCounts,
    actions: Vec<EntryAction>,
    /// Action that ends this incarnation of the entry, emitted after all others.
    final_action: Option<EntryAction>,
    last_call: u64,
    random: Pcg64Mcg,
}

impl Outbox {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            now: Moment::START,
            counts: PolicyCounts::default(),
            actions: Vec::new(),
            final_action: None,
            last_call: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    pub(crate) fn next_call(&mut self) -> CallId {
        self.last_call += 1;
        CallId(self.last_call)
    }

    pub(crate) fn push(&mut self, action: EntryAction) {
        self.actions.push(action);
    }

    pub(crate) fn push_final(&mut self, action: EntryAction) {
        self.final_action = Some(action);
    }

    pub(crate) fn record(&mut self, event: TimelineEvent) {
        self.actions.push(EntryAction::Record(event));
    }

    pub(crate) fn answer(&mut self, call: CallId, answer: CallerAnswer) {
        if matches!(answer, CallerAnswer::Refused(_)) {
            self.counts.refusals += 1;
        }
        self.actions.push(EntryAction::Answer { call, answer });
    }

    pub(crate) fn refuse(&mut self, call: CallId, kind: ErrorKind, message: impl Into<String>) {
        self.answer(call, CallerAnswer::Refused(RefusalView::new(kind, message)));
    }

    pub(crate) fn call_platform(&mut self, request: PlatformRequest, timeout: Duration) -> CallId {
        let call = self.next_call();
        self.actions.push(EntryAction::Platform { call, request, timeout });
        call
    }

    pub(crate) fn send(
        &mut self,
        address: std::net::SocketAddr,
        to: Option<EntryId>,
        message: PeerMessage,
    ) {
        self.actions.push(EntryAction::SendPeer { address, to, message });
    }

    pub(crate) fn take_actions(&mut self, actions: &mut Vec<EntryAction>) {
        actions.append(&mut self.actions);
        actions.extend(self.final_action.take());
    }

    pub(crate) fn random_work_id(&mut self) -> WorkId {
        WorkId(self.random.random())
    }

    pub(crate) fn random_token(&mut self) -> ClientToken {
        ClientToken(self.random.random())
    }

    pub(crate) fn random_below(&mut self, bound: usize) -> usize {
        self.random.random_range(0..bound.max(1))
    }

    /// Returns a random duration up to `span`.
    pub(crate) fn random_span(&mut self, span: Duration) -> Duration {
        span.mul_f64(self.random.random())
    }

    /// Returns a random duration between 0.5 and 1.5 times `span`.
    pub(crate) fn jitter(&mut self, span: Duration) -> Duration {
        span.mul_f64(self.random.random_range(0.5..1.5))
    }
}
