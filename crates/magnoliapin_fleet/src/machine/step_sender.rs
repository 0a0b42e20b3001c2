//! Sends one step's transaction at a time and resolves it if the reply is lost.

use magnoliapin_model::ClientToken;
use magnoliapin_model::Moment;
use magnoliapin_model::RowVersion;
use magnoliapin_wire::CallFailure;
use magnoliapin_wire::PlatformReply;
use magnoliapin_wire::PlatformRequest;
use magnoliapin_wire::TableRow;
use magnoliapin_wire::TableTransaction;
use magnoliapin_wire::TransactionResult;

use super::FleetCallId;
use super::FleetSettings;
use crate::FleetStep;
use crate::StepWrites;

/// A step with its transaction.
#[derive(Clone, Debug)]
pub(super) struct SentStep {
    /// The step.
    pub(super) step: FleetStep,
    /// Its writes.
    pub(super) writes: StepWrites,
    /// Call of the operator who requested it, if any.
    pub(super) operator: Option<FleetCallId>,
    transaction: TableTransaction,
    /// Whether an unanswered send may have committed.
    in_doubt: bool,
    /// Whether the next call queries the outcome by token instead of sending the transaction.
    needs_resolve: bool,
}

/// Outcome of a step.
#[derive(Clone, Debug)]
pub(super) enum StepOutcome {
    /// It was committed, with the new versions of the written rows.
    Committed(Vec<RowVersion>),
    /// It was not committed because these rows had changed.
    Conflict(Vec<TableRow>),
    /// Its transaction was not sent, or the platform reported that it did nothing.
    NotSent,
}

/// The transaction in flight, if any.
#[derive(Debug, Default)]
pub(super) struct StepSender {
    current: Option<SentStep>,
    pending: Option<FleetCallId>,
    next_request_at: Moment,
}

impl StepSender {
    /// Returns whether no step is in flight.
    pub(super) fn is_idle(&self) -> bool {
        self.current.is_none()
    }

    /// Returns whether the step in flight may have committed although no reply has confirmed it.
    pub(super) fn may_have_committed(&self) -> bool {
        let is_in_doubt = self.current.as_ref().is_some_and(|current| current.in_doubt);
        is_in_doubt || self.pending.is_some()
    }

    /// Returns the operator call whose step is in flight.
    pub(super) fn operator(&self) -> Option<FleetCallId> {
        self.current.as_ref()?.operator
    }

    /// Starts a step.
    pub(super) fn start(
        &mut self,
        step: FleetStep,
        writes: StepWrites,
        operator: Option<FleetCallId>,
        token: ClientToken,
    ) {
        debug_assert!(self.is_idle(), "a step is already in flight");
        let transaction = writes.to_transaction(token);
        let (in_doubt, needs_resolve) = (false, false);
        self.current =
            Some(SentStep { step, writes, operator, transaction, in_doubt, needs_resolve });
        self.next_request_at = Moment::START;
    }

    /// Clears the operator of the step in flight, whose request is refused before the outcome is
    /// known.
    pub(super) fn clear_operator(&mut self) {
        if let Some(current) = &mut self.current {
            current.operator = None;
        }
    }

    /// Returns whether `call` is the pending call of the step.
    pub(super) fn owns(&self, call: FleetCallId) -> bool {
        self.pending == Some(call)
    }

    /// Returns the next platform request, if one is due.
    pub(super) fn next_request(
        &mut self,
        now: Moment,
        call: FleetCallId,
    ) -> Option<PlatformRequest> {
        if self.pending.is_some() || now < self.next_request_at {
            return None;
        }
        let current = self.current.as_ref()?;
        self.pending = Some(call);
        Some(if current.needs_resolve {
            PlatformRequest::Resolve(current.transaction.token)
        } else {
            PlatformRequest::Transact(current.transaction.clone())
        })
    }

    /// Handles a reply and returns the step with its outcome once that is known.
    ///
    /// The outcome of an unanswered transaction is queried by its token. If the platform has not
    /// seen the token, the same transaction is sent again; its token prevents it from committing
    /// twice.
    pub(super) fn handle_reply(
        &mut self,
        now: Moment,
        settings: &FleetSettings,
        reply: PlatformReply,
    ) -> Option<(SentStep, StepOutcome)> {
        self.pending = None;
        let current = self.current.as_mut()?;
        let result = match reply {
            PlatformReply::Transaction(result) | PlatformReply::Resolved(Some(result)) => result,
            PlatformReply::Resolved(None) => {
                current.needs_resolve = false;
                return None;
            }
            PlatformReply::Failed(CallFailure::NotSent) if !current.in_doubt => {
                return self.finish(StepOutcome::NotSent);
            }
            _ => {
                current.in_doubt = true;
                current.needs_resolve = true;
                self.next_request_at = now + settings.resolve_delay;
                return None;
            }
        };
        self.finish(match result {
            TransactionResult::Committed(versions) => StepOutcome::Committed(versions),
            TransactionResult::Conflict(rows) => StepOutcome::Conflict(rows),
        })
    }

    fn finish(&mut self, outcome: StepOutcome) -> Option<(SentStep, StepOutcome)> {
        self.current.take().map(|step| (step, outcome))
    }
}
