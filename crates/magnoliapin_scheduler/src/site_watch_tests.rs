//! Tests of watching the operator's rows.

use std::time::Duration;

use magnoliapin_model::ConfigVersion;
use magnoliapin_model::Moment;
use magnoliapin_model::RowVersion;
use magnoliapin_site::CallFailure;
use magnoliapin_site::SiteChange;
use magnoliapin_site::SiteConfig;
use magnoliapin_site::StoreReply;
use magnoliapin_site::TeamName;
use magnoliapin_site::TeamRule;
use magnoliapin_site::TeamWeight;
use magnoliapin_site::ZoneName;

use super::SiteWatch;
use crate::outbox::Outbox;
use crate::watch::tests::site_bounds;
use crate::NodeAction;
use crate::NodeTimes;

fn site(version: u64, changes: Vec<SiteChange>) -> StoreReply {
    StoreReply::Site { changes, version: RowVersion(version) }
}

fn evacuated(zone: &str) -> SiteChange {
    SiteChange::ZoneEvacuated(ZoneName::new(zone))
}

/// Lets the watch make its next call and answers it a second later.
fn answer(watch: &mut SiteWatch, out: &mut Outbox, reply: &StoreReply) {
    out.now = out.now + Duration::from_secs(1);
    watch.poll(&NodeTimes::new(&site_bounds()), out);
    let mut actions = Vec::new();
    out.take_actions(&mut actions);
    let Some(NodeAction::Store { call, .. }) = actions.first() else { panic!("no call was made") };
    out.now = out.now + Duration::from_secs(1);
    assert!(watch.handle_reply(*call, reply, out).is_some());
}

fn zones(watch: &SiteWatch) -> Vec<&str> {
    watch.evacuated_zones().zones.iter().map(ZoneName::as_str).collect()
}

/// Guards against a zone that stays evacuated as the removal of its row was missed, and against zones that
/// return although only the history was lost.
#[test]
fn a_full_read_replaces_the_evacuated_zones() {
    let (mut watch, mut out) = (SiteWatch::new(), Outbox::new(1));
    answer(&mut watch, &mut out, &site(1, vec![evacuated("a"), evacuated("b")]));
    assert_eq!(zones(&watch), ["a", "b"]);
    answer(&mut watch, &mut out, &site(2, vec![SiteChange::ZoneRestored(ZoneName::new("b"))]));
    assert_eq!(zones(&watch), ["a"]);
    answer(&mut watch, &mut out, &StoreReply::HistoryLost);
    assert_eq!(zones(&watch), ["a"]);
    answer(&mut watch, &mut out, &site(9, vec![evacuated("c")]));
    assert_eq!(zones(&watch), ["c"]);
}

/// Guards against starts that rely on a reply that does not show the operator's rows.
#[test]
fn only_replies_that_show_the_rows_count_as_knowledge() {
    let (mut watch, mut out) = (SiteWatch::new(), Outbox::new(1));
    assert_eq!(watch.evacuated_zones().known_at, None);
    answer(&mut watch, &mut out, &site(1, Vec::new()));
    let known_at = watch.evacuated_zones().known_at;
    assert_eq!(known_at, Some(Moment::START + Duration::from_secs(1)));
    answer(&mut watch, &mut out, &StoreReply::Failed(CallFailure::Unknown));
    answer(&mut watch, &mut out, &StoreReply::HistoryLost);
    assert_eq!(watch.evacuated_zones().known_at, known_at);
    answer(&mut watch, &mut out, &site(1, Vec::new()));
    assert!(watch.evacuated_zones().known_at > known_at);
}

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
