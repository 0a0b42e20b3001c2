//! Time bounds of the fleet's machine.

use std::time::Duration;

/// Time bounds of the fleet's machine.
#[derive(Clone, Debug)]
pub struct FleetTimes {
    /// The planner's lease lapses when its counter has not changed for this long.
    pub lease: Duration,
    /// Time between two renewals, or two looks at another's lease.
    pub lease_interval: Duration,
    /// Time between two plans.
    pub plan_interval: Duration,
    /// Least time between two reads of the rows.
    pub read_interval: Duration,
    /// Time between two reads of an entry that does not plan and only follows the rows.
    pub follow_interval: Duration,
    /// Time after which a call of the platform has failed.
    pub platform_timeout: Duration,
    /// Time until a transaction without an answer is asked for.
    pub resolve_interval: Duration,
    /// Least time between two equal orders for one instance.
    pub order_interval: Duration,
    /// Least time between two orders to restart one instance.
    pub reboot_interval: Duration,
    /// An operator is answered after this long, whatever is known then.
    pub operator_deadline: Duration,
    /// What was found out about an instance counts for this long.
    pub finding_span: Duration,
    /// Rows of one read.
    pub page_rows: u32,
}

impl Default for FleetTimes {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(10),
            lease_interval: Duration::from_secs(2),
            plan_interval: Duration::from_secs(2),
            follow_interval: Duration::from_secs(5),
            read_interval: Duration::from_millis(100),
            platform_timeout: Duration::from_secs(2),
            resolve_interval: Duration::from_millis(500),
            order_interval: Duration::from_secs(2),
            reboot_interval: Duration::from_secs(20),
            operator_deadline: Duration::from_secs(8),
            finding_span: Duration::from_secs(15),
            page_rows: 500,
        }
    }
}
