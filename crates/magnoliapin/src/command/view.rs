//! Tables of pools and instances: `pools`, `instances`.

use hyper::Method;
use magnoliapin_wire::CallerAnswer;
use magnoliapin_wire::InstanceView;
use magnoliapin_wire::PoolView;

use crate::client::EntryCall;
use crate::command::unexpected_answer;
use crate::command::CommandContext;
use crate::command::CommandResult;

/// Shows the pools with their unavailable instances and availability budgets.
///
/// # Errors
///
/// Returns a [`CommandError`](crate::command_error::CommandError) if no entry responds.
pub(crate) async fn pools(context: &CommandContext) -> CommandResult {
    let call = EntryCall::new(Method::GET, "/v1/pools");
    let CallerAnswer::Pools { pools } = context.call_for_answer(call).await? else {
        return Err(unexpected_answer());
    };
    context.print(&pools, |pools| pools_text(pools))
}

/// Shows the instances.
///
/// # Errors
///
/// Returns a [`CommandError`](crate::command_error::CommandError) if no entry responds.
pub(crate) async fn instances(context: &CommandContext) -> CommandResult {
    let call = EntryCall::new(Method::GET, "/v1/instances");
    let CallerAnswer::Instances { mut instances } = context.call_for_answer(call).await? else {
        return Err(unexpected_answer());
    };
    instances.sort_by_key(|instance| instance.instance);
    context.print(&instances, |instances| instances_text(instances))
}

/// Returns the pools as a table.
pub(crate) fn pools_text(pools: &[PoolView]) -> String {
    let mut text = format!(
        "{:40} {:>9} {:>11} {:>6} {:>6}\n",
        "pool", "instances", "unavailable", "budget", "slots"
    );
    for pool in pools {
        text.push_str(&format!(
            "{:40} {:>9} {:>11} {:>6} {:>6}\n",
            pool.pool, pool.instances, pool.unavailable, pool.max_unavailable, pool.slots
        ));
    }
    text
}

fn instances_text(instances: &[InstanceView]) -> String {
    let mut text =
        format!("{:24} {:16} {:12} {:12} {:10}\n", "instance", "pool", "zone", "rack", "state");
    for instance in instances {
        let pool = instance.pool.map(|pool| pool.to_string()).unwrap_or_default();
        text.push_str(&format!(
            "{:24} {:16} {:12} {:12} {:10}\n",
            instance.instance, pool, instance.zone, instance.rack, instance.state
        ));
    }
    text
}
