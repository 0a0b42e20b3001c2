//! Tests of the operator's rows as a node applies them.

use magnoliapin_model::ConfigVersion;
use magnoliapin_site::SiteConfig;
use magnoliapin_site::TeamName;
use magnoliapin_site::TeamRule;
use magnoliapin_site::TeamWeight;

use super::SiteWatch;

/// An invalid weight must neither hold up the rest of the configuration nor reset a team's share.
#[test]
fn an_invalid_weight_keeps_the_last_valid_one() {
    let mut watch = SiteWatch::new();
    for (version, weight) in [(1, TeamWeight::new(0.4)), (2, TeamWeight::new(-1.0))] {
        let team = |name: &str, weight| TeamRule {
            name: TeamName::new(name),
            weight,
            ..TeamRule::default()
        };
        let config = SiteConfig {
            version: ConfigVersion(version),
            teams: vec![team("known", weight), team("other", TeamWeight::new(f64::NAN))],
            ..SiteConfig::default()
        };
        assert!(watch.apply_config(config));
        let teams = &watch.config.as_ref().expect("a configuration was applied").teams;
        assert_eq!(teams[0].weight, TeamWeight::new(0.4));
        assert_eq!(teams[1].weight, Some(TeamWeight::default()));
    }
}
