//! Routes requests to queues, and keys to teams.

use indexmap::IndexMap;
use magnoliapin_site::QueueRule;
use magnoliapin_site::SiteConfig;
use magnoliapin_site::TeamName;

/// Queues by host and path prefix, and teams by key.
#[derive(Clone, Debug, Default)]
pub(crate) struct RouteTable {
    /// Queues of each host, the longest prefix first.
    hosts: IndexMap<String, Vec<QueueRule>>,
    keys: IndexMap<String, TeamName>,
}

impl RouteTable {
    /// Builds the table from a configuration.
    pub(crate) fn new(config: &SiteConfig) -> Self {
        let mut hosts: IndexMap<String, Vec<QueueRule>> = IndexMap::new();
        for queue in &config.queues {
            hosts.entry(queue.host.clone()).or_default().push(queue.clone());
        }
        for queues in hosts.values_mut() {
            queues.sort_by_key(|queue| std::cmp::Reverse(queue.path_prefix.len()));
        }
        let mut keys = IndexMap::new();
        for team in &config.teams {
            keys.extend(team.keys.iter().map(|key| (key.clone(), team.name.clone())));
        }
        Self { hosts, keys }
    }

    /// Returns the queue with the longest matching prefix of `path`, and the rest of the path.
    pub(crate) fn find<'t, 'p>(
        &'t self,
        host: &str,
        path: &'p str,
    ) -> Option<(&'t QueueRule, &'p str)> {
        let queues = self.hosts.get(host)?;
        queues.iter().find_map(|queue| {
            let rest = path.strip_prefix(queue.path_prefix.as_str())?;
            Some((queue, rest))
        })
    }

    /// Returns the team that a key belongs to.
    pub(crate) fn team(&self, key: &str) -> Option<&TeamName> {
        self.keys.get(key)
    }
}
