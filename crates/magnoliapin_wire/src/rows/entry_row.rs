//! Row of an entry.

use std::net::SocketAddr;

use magnoliapin_model::plain_data;
use magnoliapin_model::EntryId;
use magnoliapin_model::ZoneId;

use crate::rows::RowValue;

plain_data! {
    /// One entry. It is alive as long as `renewals` keeps increasing.
    #[derive(Eq)]
    pub struct EntryRow {
        /// Its availability zone.
        pub zone: ZoneId,
        /// Its address for callers and operators.
        pub caller_address: SocketAddr,
        /// Its address for peers' datagrams.
        pub peer_address: SocketAddr,
        /// Number of times it has renewed its lease.
        pub renewals: u64,
        /// Whether it has completed a planned stop.
        #[serde(default)]
        pub stopped: bool,
        /// Entry that takes over its work, once it was declared lost.
        #[serde(default)]
        pub heir: Option<EntryId>,
    }
}

impl RowValue for EntryRow {
    const KIND: &'static str = "entry";
}
