//! Configuration documents of a given size.

use std::fmt::Write;

use magnoliapin_model::KeyHash;

/// Size of a configuration document.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DocumentSize {
    /// Number of pools.
    pub(crate) pools: usize,
    /// Number of teams.
    pub(crate) teams: usize,
    /// Number of queues; a document has at least one for each pool.
    pub(crate) queues: usize,
    /// Instances of each pool; a document sets at least 2.
    pub(crate) pool_instances: usize,
    /// Limit of each team, in slots.
    pub(crate) limit: u32,
}

/// Returns the hash of a team's key.
pub(crate) fn key_of(team: usize) -> KeyHash {
    KeyHash::new(&format!("secret-{team}"))
}

/// Returns the text of a document. Team 0 is the operator.
pub(crate) fn document_text(size: DocumentSize) -> String {
    let mut text = String::new();
    for pool in 0..size.pools {
        let instances = size.pool_instances.max(2);
        let _ = writeln!(text, "[pools.p{pool}]\ninstances = {instances}\nmax_unavailable = 1\n");
    }
    for team in 0..size.teams {
        let (limit, operator) = (size.limit, team == 0);
        let _ = writeln!(text, "[teams.t{team}]\nlimit = {limit}\noperator = {operator}");
        let _ = writeln!(text, "[teams.t{team}.keys]\nfirst = \"{}\"\n", key_of(team));
    }
    for queue in 0..size.queues.max(size.pools) {
        let pool = queue % size.pools;
        let _ = writeln!(text, "[queues.q{queue}]\npool = \"p{pool}\"\nidempotent = true");
        let _ = writeln!(text, "timeout_ms = 60000\nmax_waiting = 100000\n");
    }
    text
}
