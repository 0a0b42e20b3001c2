//! Renewal of task leases at the targets.

use magnoliapin_wire::LeaseGrant;
use magnoliapin_wire::TargetReply;
use magnoliapin_wire::TargetRequest;

use crate::CallId;
use crate::EntryAction;
use crate::EntryMachine;

impl EntryMachine {
    /// Renews the leases of the tasks that this entry holds, with one call per target.
    pub(crate) fn renew_task_leases(&mut self) {
        let now = self.out.now;
        if self.membership.next_task_renewal > now {
            return;
        }
        self.membership.next_task_renewal = now + self.times.renew_interval;
        let lease_ms = u64::try_from(self.times.task_lease.as_millis()).unwrap_or(u64::MAX);
        let targets = self.tasks.targets();
        for target in targets {
            let call = self.out.next_call();
            self.membership.renewal_calls.insert(call, target.instance);
            let grant = LeaseGrant { lease_ms };
            self.out.push(EntryAction::Target {
                call,
                instance: target.instance,
                address: target.address,
                request: TargetRequest::Renew(self.identity.entry, grant),
                timeout: self.times.renew_interval,
                new_connection: false,
                send_before: now + self.times.renew_interval,
            });
        }
    }

    /// Handles the reply to a renewal if `call` is one. Returns whether it was.
    pub(crate) fn handle_task_renewal_reply(&mut self, call: CallId, reply: &TargetReply) -> bool {
        let Some(instance) = self.membership.renewal_calls.swap_remove(&call) else { return false };
        if let TargetReply::Entry(tasks) = reply {
            self.targets.record_free_slots(instance, tasks.free_slots, self.out.now);
            self.tasks.handle_renewal(tasks, self.out.now, &self.times);
        }
        true
    }
}
