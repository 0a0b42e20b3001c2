//! How parts of a team's allotment come to an entry.

use magnoliapin_model::EntryId;
use magnoliapin_model::Moment;
use magnoliapin_model::RowVersion;
use magnoliapin_model::SlotCount;
use magnoliapin_model::TeamId;
use magnoliapin_wire::rows::AllotmentRow;
use magnoliapin_wire::rows::RowKey;

use crate::allotment::AllotmentBook;
use crate::allotment::TeamDemand;
use crate::outbox::Outbox;

const OWN: EntryId = EntryId(1);
const OTHER: EntryId = EntryId(2);
const LIMIT: SlotCount = SlotCount(8);

#[test]
fn a_new_team_gets_its_first_part_without_a_scan() {
    let team = TeamId::new("guides").unwrap();
    let demand = TeamDemand { waiting: 1, others: Vec::new(), entries: 2, unlisted: Vec::new() };
    let mut out = Outbox::new(1);
    out.now = Moment::from_millis(1_000);
    let mut book = AllotmentBook::default();

    let (change, _) = book.plan(team, OWN, LIMIT, &demand, &mut out).expect("a first change");
    let guard = change.guards.iter().find(|guard| guard.key == RowKey::Allotment(team).to_string());
    assert_eq!(guard.expect("the row is guarded").version, RowVersion(0));

    let mut current = AllotmentRow { limit: LIMIT, ..AllotmentRow::default() };
    current.parts.insert(OTHER, 4);
    book.take_conflict(team, Some((RowVersion(5), current)), &mut out);
    out.now = Moment::from_millis(2_000);
    let (change, _) = book.plan(team, OWN, LIMIT, &demand, &mut out).expect("a second change");
    let guard = change.guards.iter().find(|guard| guard.key == RowKey::Allotment(team).to_string());
    assert_eq!(guard.expect("the row is guarded").version, RowVersion(5));
    assert_eq!(book.part(team).part(OWN), 0, "nothing is held before it is committed");
}
