//! Tests of when the replies of all members prove that no newer configuration was accepted.

use std::net::Ipv4Addr;

use indexmap::IndexMap;
use magnoliapin_model::ConfigVersion;
use magnoliapin_model::EntryId;
use magnoliapin_model::Moment;
use magnoliapin_model::ZoneId;
use magnoliapin_wire::EntryState;
use magnoliapin_wire::EntryStatus;

use crate::peers::PeerRegistry;

const PEER: EntryId = EntryId(2);

fn status(apply_in_flight: bool) -> EntryStatus {
    let address = (Ipv4Addr::LOCALHOST, 1).into();
    EntryStatus {
        zone: ZoneId::default(),
        peer_address: address,
        caller_address: address,
        state: EntryState::Ready,
        config: ConfigVersion(7),
        head_age_us: None,
        apply_in_flight,
        member_count: 1,
        usage: Vec::new(),
    }
}

#[test]
fn reordered_datagram_does_not_hide_a_config_change_in_flight() {
    let mut peers = PeerRegistry::default();
    peers.apply_rows(IndexMap::new(), EntryId(1), Moment::START);
    for (stamp, in_flight) in [(10, false), (20, true)] {
        let stamp = Moment::from_millis(stamp);
        peers.apply_status(PEER, status(in_flight), stamp);
        peers.record_reply(PEER, stamp, &status(in_flight));
    }
    peers.apply_status(PEER, status(false), Moment::from_millis(21));
    assert_eq!(peers.no_change_as_of(ConfigVersion(7)), Some(Moment::from_millis(10)));
    assert_eq!(peers.no_change_as_of(ConfigVersion(6)), None, "the peer has a newer configuration");
}
