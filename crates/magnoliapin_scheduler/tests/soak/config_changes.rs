//! An operator who changes the configuration while the store fails now and then, and the checks that
//! nodes apply the changes in time, and know when they may have missed some.

use std::time::Duration;

use magnoliapin_model::ConfigVersion;
use magnoliapin_model::Moment;
use magnoliapin_scheduler::ClientId;
use magnoliapin_scheduler::NodeEvent;
use magnoliapin_scheduler::NodeMachine;
use magnoliapin_site::ClientAction;
use magnoliapin_site::ClientReply;
use magnoliapin_site::ClientRequest;
use magnoliapin_site::QueueRule;
use rand::Rng;

use crate::faults::FaultChange;
use crate::faults::StoreMode;
use crate::site;
use crate::world::Event;
use crate::world::World;

/// Time after which a confirmed configuration must be in force on nodes in touch.
const CONFIG_TIME: Duration = Duration::from_secs(2);
/// Time after which a change must be known to every node that claims to know its configuration: two
/// waits of a watch, the slack for its reply, and a tick.
const CLAIM_TIME: Duration = Duration::from_millis(2_720);
/// Number of cuts of single nodes from the store.
const NODE_CUTS: usize = 3;
/// First identifier of the clients that probe the configuration.
const FIRST_PROBE_CLIENT: u64 = 1 << 40;
/// Time between two checks of all nodes.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which the operator repeats a change that the store has not confirmed.
const CHANGE_RETRY_INTERVAL: Duration = Duration::from_millis(125);
/// When the configuration changes and the store fails for the first and for the last time.
const CHANGES_MS: std::ops::Range<u64> = 4_000..40_000;

impl World {
    /// Schedules outages of the store, each of one mode, one after the other, and cuts of single nodes
    /// from it.
    pub(crate) fn schedule_store_outages(&mut self) {
        for _ in 0..NODE_CUTS {
            let node = self.random.random_range(0..site::NODES);
            let at = self.random.random_range(CHANGES_MS);
            let duration = self.random.random_range(300..9_000);
            self.schedule_fault(at, FaultChange::CutNodeFromStore(node, true));
            self.schedule_fault(at + duration, FaultChange::CutNodeFromStore(node, false));
        }
        let mut at = CHANGES_MS.start;
        while at < CHANGES_MS.end {
            at += self.random.random_range(500..5_000);
            let mode = match self.random.random_range(0..4) {
                0 => StoreMode::Rejecting,
                1 => StoreMode::Slow,
                _ => StoreMode::Unresponsive,
            };
            self.schedule_fault(at, FaultChange::Store(mode));
            if mode == StoreMode::Unresponsive {
                self.schedule_fault(at, FaultChange::LosePendingWatches);
            }
            at += self.random.random_range(300..7_000);
            self.schedule_fault(at, FaultChange::Store(StoreMode::Up));
        }
    }

    /// Schedules changes of the configuration, and checks of the nodes.
    pub(crate) fn schedule_config_changes(&mut self) {
        let mut at = CHANGES_MS.start;
        while at < CHANGES_MS.end {
            at += self.random.random_range(200..2_500);
            self.schedule_after(Duration::from_millis(at), Event::ConfigChange);
        }
        self.schedule_after(Duration::from_millis(CHANGES_MS.start), Event::CheckConfigs);
    }

    /// Changes the configuration, or tries again later if the store does not answer the operator.
    pub(crate) fn change_config(&mut self) {
        if matches!(self.faults.store, StoreMode::Unresponsive | StoreMode::Rejecting) {
            return self.schedule_after(CHANGE_RETRY_INTERVAL, Event::ConfigChange);
        }
        let version = self.config_changes.len() as u64 + 2;
        self.config_changes.push((self.now, ConfigVersion(version)));
        let mut config = site::config(version, self.has_fleet());
        let path_prefix = version_path(ConfigVersion(version));
        config.queues.push(QueueRule { path_prefix, is_public: true, ..config.queues[0].clone() });
        self.store.set_config(config);
        self.reply_to_watches();
    }

    /// Asks a node for the queues of a recent and of a dropped version, whether the node is in touch or
    /// not: it must know when it may have missed a change.
    fn probe_configs(&mut self) {
        let node = self.random.random_range(0..site::NODES);
        let current = self.config_changes.iter().rposition(|(at, _)| self.is_known_by_now(*at));
        let is_able =
            self.nodes[node].machine.is_some() && self.now >= self.nodes[node].paused_until;
        let Some(current) = current.filter(|_| is_able) else { return };
        let dropped = current.checked_sub(1).map(|dropped| self.config_changes[dropped].1);
        // A later version drops the queue again.
        let is_last = current + 1 == self.config_changes.len();
        let current = is_last.then_some(self.config_changes[current].1);
        for (version, is_dropped) in [(current, false), (dropped, true)] {
            let Some(version) = version else { continue };
            let request = ClientRequest {
                host: site::HOST.to_owned(),
                path: version_path(version),
                key: None,
                timeout: None,
                action: ClientAction::Read,
            };
            self.last_id += 1;
            let client = ClientId(FIRST_PROBE_CLIENT + self.last_id);
            self.config_probes.insert(client, (node, version, is_dropped));
            let incarnation = self.nodes[node].incarnation;
            self.deliver_to_node(node, incarnation, NodeEvent::Client(client, Box::new(request)));
        }
    }

    /// Returns whether each node that claims to know its configuration must know a change confirmed then.
    fn is_known_by_now(&self, confirmed_at: Moment) -> bool {
        self.now.since(confirmed_at) > CLAIM_TIME
    }

    /// Checks the reply to a probe of the configuration. Returns whether it was one.
    pub(crate) fn check_config_probe(&mut self, client: ClientId, reply: &ClientReply) -> bool {
        let Some((node, version, is_dropped)) = self.config_probes.remove(&client) else {
            return false;
        };
        let is_outdated = match reply {
            ClientReply::UnknownQueue => !is_dropped,
            ClientReply::WaitingJobs(_) => is_dropped,
            _ => false,
        };
        if is_outdated {
            let text = format!(
                "node {node} answers {reply:?} for the queue of version {version}, which is dropped: \
                 {is_dropped}"
            );
            self.checker.report_violation(self.now, &text);
        }
        true
    }

    /// Checks that a node which says that it is ready knows the configuration.
    fn check_readiness(&mut self) {
        let due = self.config_changes.iter().rfind(|(at, _)| self.is_known_by_now(*at));
        let Some((_, due)) = due.copied() else { return };
        let outdated = self.nodes.iter().position(|node| {
            let machine = node.machine.as_ref().filter(|_| self.now >= node.paused_until);
            machine.is_some_and(|machine| machine.is_ready() && machine.config_version() < due)
        });
        if let Some(node) = outdated {
            let text = format!("node {node} is ready, but without version {due}");
            self.checker.report_violation(self.now, &text);
        }
    }

    /// Checks that each node in touch uses a configuration that is recent enough.
    pub(crate) fn check_configs(&mut self) {
        let due = self.config_changes.iter().rfind(|(at, _)| self.now.since(*at) > CONFIG_TIME);
        if let Some((confirmed_at, due)) = due.copied() {
            let version_of =
                |node: usize| self.nodes[node].machine.as_ref().map(NodeMachine::config_version);
            let late = (0..site::NODES).find(|node| {
                self.is_in_touch(*node) && version_of(*node).is_some_and(|version| version < due)
            });
            if let Some(node) = late {
                let text = format!(
                    "node {node} uses version {:?} of the configuration; version {due} was \
                     confirmed {} ms ago",
                    version_of(node),
                    self.now.since(confirmed_at).as_millis()
                );
                self.checker.report_violation(self.now, &text);
            }
        }
        self.check_readiness();
        self.probe_configs();
        self.schedule_after(CHECK_INTERVAL, Event::CheckConfigs);
    }
}

/// Returns the path of a queue that only one version of the configuration has.
fn version_path(version: ConfigVersion) -> String {
    format!("/version-{version}/")
}
