//! Time limits and intervals of the fleet's state machine.

use std::time::Duration;

/// Time limits and intervals of the fleet's state machine.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// The planner lease expires when its row has not changed for this long.
    pub lease_duration: Duration,
    /// Time between two renewals, or two reads of another entry's lease.
    pub lease_interval: Duration,
    /// Time between two reads of an entry that plans or has findings to record.
    pub plan_interval: Duration,
    /// Shortest time between two reads, used when an operator request needs newer rows.
    pub min_read_interval: Duration,
    /// Time between two reads of an entry that only follows the rows.
    pub standby_read_interval: Duration,
    /// Time-out of a platform call.
    pub platform_timeout: Duration,
    /// Time before the outcome of an unanswered transaction is queried.
    pub resolve_delay: Duration,
    /// Time before the same order is sent to an instance again.
    pub order_resend_interval: Duration,
    /// Time before the same reboot order, or the same order for a failed instance, is sent again.
    pub reboot_resend_interval: Duration,
    /// An operator request is answered after at most this long, even if its outcome is unknown.
    pub operator_timeout: Duration,
    /// Time for which a finding about an instance is valid.
    pub finding_ttl: Duration,
    /// Maximum number of rows in the reply to one read call.
    pub page_rows: u32,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            lease_duration: Duration::from_secs(10),
            lease_interval: Duration::from_secs(2),
            plan_interval: Duration::from_secs(2),
            standby_read_interval: Duration::from_secs(5),
            min_read_interval: Duration::from_millis(100),
            platform_timeout: Duration::from_secs(2),
            resolve_delay: Duration::from_millis(500),
            order_resend_interval: Duration::from_secs(2),
            reboot_resend_interval: Duration::from_secs(20),
            operator_timeout: Duration::from_secs(8),
            finding_ttl: Duration::from_secs(15),
            page_rows: 500,
        }
    }
}
