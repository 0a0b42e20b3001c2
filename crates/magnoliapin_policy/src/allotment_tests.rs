//! Tests of how an entry obtains quota slices.

use magnoliapin_model::EntryId;
use magnoliapin_model::Moment;
use magnoliapin_model::RowVersion;
use magnoliapin_model::SlotCount;
use magnoliapin_model::TeamId;
use magnoliapin_wire::rows::AllotmentRow;
use magnoliapin_wire::rows::RowKey;

use crate::allotment::AllotmentRegistry;
use crate::allotment::TeamDemand;
use crate::outbox::Outbox;

const OWN: EntryId = EntryId(1);
const PEER: EntryId = EntryId(2);
const LIMIT: SlotCount = SlotCount(8);

#[test]
fn new_team_gets_its_first_slice_without_a_scan() {
    let team = TeamId::new("guides").unwrap();
    let demand =
        TeamDemand { waiting: 1, others: Vec::new(), entries: 2, former_members: Vec::new() };
    let mut out = Outbox::new(1);
    out.now = Moment::from_millis(1_000);
    let mut allotments = AllotmentRegistry::default();

    let (change, _) = allotments.plan(team, OWN, LIMIT, &demand, &mut out).expect("a first change");
    let guard = change.guards.iter().find(|guard| guard.key == RowKey::Allotment(team).to_string());
    assert_eq!(guard.expect("the row is guarded").version, RowVersion(0));

    let mut current = AllotmentRow { limit: LIMIT, ..AllotmentRow::default() };
    current.parts.insert(PEER, 4);
    allotments.handle_conflict(team, Some((RowVersion(5), current)), &mut out);
    out.now = Moment::from_millis(2_000);
    let (change, _) =
        allotments.plan(team, OWN, LIMIT, &demand, &mut out).expect("a second change");
    let guard = change.guards.iter().find(|guard| guard.key == RowKey::Allotment(team).to_string());
    assert_eq!(guard.expect("the row is guarded").version, RowVersion(5));
    assert_eq!(
        allotments.quota(team).slice(OWN),
        0,
        "no slots are held before the change is committed"
    );
}
