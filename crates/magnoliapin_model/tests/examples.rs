//! Checks the example documents in the project's examples directory.

use magnoliapin_model::ConfigDocument;
use magnoliapin_model::KeyHash;
use magnoliapin_model::QueueId;

const GLOWTOWN: &str = include_str!("../../../examples/glowtown.toml");
const KYUSHU: &str = include_str!("../../../examples/kyushu.toml");

fn parse(text: &str) -> ConfigDocument {
    ConfigDocument::parse(text).unwrap_or_else(|errors| panic!("{errors:#?}"))
}

fn check_sizes(document: &ConfigDocument) {
    assert_eq!(document.pools.len(), 5);
    assert_eq!(document.pools.values().filter(|pool| pool.spare).count(), 1);
    assert!(document.pools.values().all(|pool| (8..=12).contains(&pool.instances)));
    assert_eq!(document.teams.len(), 6);
    assert_eq!(document.queues.len(), 5);
    assert_eq!(document.queues.values().filter(|queue| queue.open).count(), 1);
}

fn check_secrets(site: &str, document: &ConfigDocument) {
    for (team, section) in &document.teams {
        let secret = KeyHash::new(&format!("{site}-example-{team}"));
        assert_eq!(document.team_of_key(&secret).map(|(owner, _)| owner), Some(*team));
        assert_eq!(section.keys.len(), 1);
    }
}

fn is_idempotent(document: &ConfigDocument, queue: &str) -> bool {
    document.queues[&QueueId::new(queue).expect("valid name")].idempotent
}

#[test]
fn glowtown_weights_favor_buffer_and_share() {
    let document = parse(GLOWTOWN);
    check_sizes(&document);
    check_secrets("glowtown", &document);
    let weights = &document.weights;
    assert!(weights.buffer.min(weights.share) > weights.moves.max(weights.rollout));
    assert!(!is_idempotent(&document, "payment"));
}

#[test]
fn kyushu_weights_favor_moves_and_rollout() {
    let document = parse(KYUSHU);
    check_sizes(&document);
    check_secrets("kyushu", &document);
    let weights = &document.weights;
    assert!(weights.moves.min(weights.rollout) > weights.buffer.max(weights.share));
    assert!(!is_idempotent(&document, "remittance"));
}
