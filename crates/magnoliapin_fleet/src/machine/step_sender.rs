//! The one transaction that is under way, and how a lost answer is resolved.

use magnoliapin_model::ClientToken;
use magnoliapin_model::Moment;
use magnoliapin_model::RowVersion;
use magnoliapin_wire::CallFailure;
use magnoliapin_wire::PlatformReply;
use magnoliapin_wire::PlatformRequest;
use magnoliapin_wire::TableRow;
use magnoliapin_wire::TableTransaction;
use magnoliapin_wire::TransactionResult;

use super::FleetCall;
use super::FleetTimes;
use crate::FleetStep;
use crate::StepWrites;

/// A step with its transaction.
#[derive(Clone, Debug)]
pub(super) struct SentStep {
    /// The step.
    pub(super) step: FleetStep,
    /// What it writes.
    pub(super) writes: StepWrites,
    /// The operator who asked for it, if any.
    pub(super) operator: Option<FleetCall>,
    transaction: TableTransaction,
    /// Whether a send may have been taken without an answer.
    in_doubt: bool,
    /// Whether the next call asks for the token rather than sends the transaction.
    resolves: bool,
}

/// How a step ended.
#[derive(Clone, Debug)]
pub(super) enum StepOutcome {
    /// It was committed with these versions.
    Committed(Vec<RowVersion>),
    /// It was not, as these rows have changed.
    Conflict(Vec<TableRow>),
    /// It never left.
    NotSent,
}

/// The one transaction that is under way.
#[derive(Debug, Default)]
pub(super) struct StepSender {
    current: Option<SentStep>,
    pending: Option<FleetCall>,
    next_at: Moment,
}

impl StepSender {
    /// Returns whether no step is under way.
    pub(super) fn is_free(&self) -> bool {
        self.current.is_none()
    }

    /// Returns whether the step under way may have been taken, as no answer has come yet.
    pub(super) fn may_be_taken(&self) -> bool {
        let is_in_doubt = self.current.as_ref().is_some_and(|current| current.in_doubt);
        is_in_doubt || self.pending.is_some()
    }

    /// Returns the operator whose step is under way.
    pub(super) fn operator(&self) -> Option<FleetCall> {
        self.current.as_ref()?.operator
    }

    /// Takes a step to carry out.
    pub(super) fn start(
        &mut self,
        step: FleetStep,
        writes: StepWrites,
        operator: Option<FleetCall>,
        token: ClientToken,
    ) {
        debug_assert!(self.is_free(), "one step at a time");
        let transaction = writes.to_transaction(token);
        let (in_doubt, resolves) = (false, false);
        self.current = Some(SentStep { step, writes, operator, transaction, in_doubt, resolves });
        self.next_at = Moment::START;
    }

    /// Forgets the operator of the step under way, who was answered already.
    pub(super) fn forget_operator(&mut self) {
        if let Some(current) = &mut self.current {
            current.operator = None;
        }
    }

    /// Returns whether an answer belongs to the step.
    pub(super) fn owns(&self, call: FleetCall) -> bool {
        self.pending == Some(call)
    }

    /// Returns the next call of the platform, if one is due.
    pub(super) fn next_request(&mut self, now: Moment, call: FleetCall) -> Option<PlatformRequest> {
        if self.pending.is_some() || now < self.next_at {
            return None;
        }
        let current = self.current.as_ref()?;
        self.pending = Some(call);
        Some(if current.resolves {
            PlatformRequest::Resolve(current.transaction.token)
        } else {
            PlatformRequest::Transact(current.transaction.clone())
        })
    }

    /// Takes an answer and returns the step with its outcome if that is known now.
    ///
    /// A transaction without an answer is asked for by its token; if the service has not seen the
    /// token, the same transaction is sent again, which cannot be taken twice.
    pub(super) fn take_reply(
        &mut self,
        now: Moment,
        times: &FleetTimes,
        reply: PlatformReply,
    ) -> Option<(SentStep, StepOutcome)> {
        self.pending = None;
        let current = self.current.as_mut()?;
        let result = match reply {
            PlatformReply::Transaction(result) | PlatformReply::Resolved(Some(result)) => result,
            PlatformReply::Resolved(None) => {
                current.resolves = false;
                return None;
            }
            PlatformReply::Failed(CallFailure::NotSent) if !current.in_doubt => {
                return self.finish(StepOutcome::NotSent);
            }
            _ => {
                current.in_doubt = true;
                current.resolves = true;
                self.next_at = now + times.resolve_interval;
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
