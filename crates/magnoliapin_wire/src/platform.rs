//! Messages of the platform's service: its table, its object store and its instance list.
//!
//! The service speaks JSON over HTTP:
//!
//! | call | request | answer |
//! |---|---|---|
//! | `POST /v1/table/transactions` | [`TableTransaction`] | [`TransactionResult`] |
//! | `POST /v1/table/reads` | [`TableRead`] | list of [`TableRow`] |
//! | `GET /v1/table/tokens/{token}` | | [`TransactionResult`] or `null` |
//! | `GET /v1/instances` | | list of [`InstanceRecord`] |
//! | `POST /v1/instances/{id}/orders` | [`InstanceOrder`] | |
//! | `PUT`, `GET`, `DELETE /v1/objects/{name}` | bytes | bytes |

use std::net::SocketAddr;

use magnoliapin_model::plain_data;
use magnoliapin_model::ClientToken;
use magnoliapin_model::InstanceId;
use magnoliapin_model::PoolId;
use magnoliapin_model::RackId;
use magnoliapin_model::RowVersion;
use magnoliapin_model::SlotCount;
use magnoliapin_model::TargetRun;
use magnoliapin_model::ZoneId;

plain_data! {
    /// One row of the table.
    pub struct TableRow {
        /// Key of the row.
        pub key: String,
        /// Version, raised at each write; 0 if the row does not exist.
        pub version: RowVersion,
        /// Value; empty if the row does not exist.
        pub value: String,
    }

    /// A condition that must hold for a transaction to commit.
    pub struct RowGuard {
        /// Key of the row.
        pub key: String,
        /// Version that the row must have; 0 if it must not exist.
        pub version: RowVersion,
    }

    /// One write of a transaction.
    pub struct RowWrite {
        /// Key of the row.
        pub key: String,
        /// New value; none deletes the row.
        pub value: Option<String>,
    }

    /// Writes that commit together if all guards hold.
    #[derive(Default)]
    pub struct TableTransaction {
        /// Recognises the transaction when it is sent or asked for again.
        pub token: ClientToken,
        /// Conditions; all must hold.
        pub guards: Vec<RowGuard>,
        /// Writes.
        pub writes: Vec<RowWrite>,
    }

    /// What became of a transaction.
    #[serde(rename_all = "snake_case")]
    pub enum TransactionResult {
        /// The writes are in force. Holds the new version of each written row, in order.
        Committed(Vec<RowVersion>),
        /// Nothing was written. Holds the rows as they are of every guard that did not hold.
        Conflict(Vec<TableRow>),
    }

    /// What to read; each read sees one state of the whole table.
    #[serde(rename_all = "snake_case")]
    pub enum TableRead {
        /// The rows with these keys; missing rows are left out.
        Keys(Vec<String>),
        /// Rows whose key starts with the prefix, in order of their keys.
        Prefix {
            /// Start of the keys.
            prefix: String,
            /// Only keys behind this one; empty for all.
            after: String,
            /// At most this many rows.
            limit: u32,
        },
    }

    /// One instance in the platform's lagging list.
    pub struct InstanceRecord {
        /// The instance.
        pub instance: InstanceId,
        /// Its availability zone.
        pub zone: ZoneId,
        /// Its rack.
        pub rack: RackId,
        /// Pool that the instance was made for; the table's `instance/` row overrules it.
        pub pool: Option<PoolId>,
        /// Address of its executor.
        pub address: SocketAddr,
        /// Current run of its executor.
        pub run: TargetRun,
        /// Slots of its executor.
        pub slots: SlotCount,
        /// Image that it runs.
        pub image: String,
        /// State that the platform last heard of.
        pub state: ListedState,
    }

    /// State of an instance in the list.
    #[derive(Copy, Eq, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum ListedState {
        /// In service.
        Live,
        /// About to go away.
        Leaving,
        /// Gone for good: nothing runs on it any more.
        Gone,
    }

    /// An order to the platform about one instance.
    ///
    /// A sender may have been paused for long, so an order is bound to what the sender knew: an
    /// instance in another run refuses it, and so does one that took an order with a higher epoch.
    pub struct InstanceOrder {
        /// Run of the instance's executor that the order is meant for.
        pub run: TargetRun,
        /// Version of the instance's row that the order follows from.
        pub epoch: RowVersion,
        /// What to do.
        pub act: OrderAct,
    }

    /// What an order asks for.
    #[serde(rename_all = "snake_case")]
    pub enum OrderAct {
        /// Takes no new work and finishes what runs; the target then says that it is leaving.
        Drain,
        /// Takes new work again.
        Undrain,
        /// Restarts the instance with an image; it takes work again once it is up.
        Reboot {
            /// The image.
            image: String,
        },
    }

    /// Any call of the platform's service.
    #[serde(rename_all = "snake_case")]
    pub enum PlatformRequest {
        /// Commits a transaction.
        Transact(TableTransaction),
        /// Reads rows.
        Read(TableRead),
        /// Asks what became of a transaction.
        Resolve(ClientToken),
        /// Reads the instance list.
        Instances,
        /// Orders something for an instance.
        Order(InstanceId, InstanceOrder),
    }

    /// The service's answer, or why there is none.
    #[serde(rename_all = "snake_case")]
    pub enum PlatformReply {
        /// Answer to a transaction.
        Transaction(TransactionResult),
        /// Answer to a read.
        Rows(Vec<TableRow>),
        /// Answer to a question about a token; none if the service never saw it.
        Resolved(Option<TransactionResult>),
        /// Answer with the instance list.
        Instances(Vec<InstanceRecord>),
        /// The order was taken.
        Ordered,
        /// There is no answer.
        Failed(CallFailure),
    }

    /// Why a call has no answer.
    #[derive(Copy, Eq, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum CallFailure {
        /// Nothing was sent, or the other side said that it did nothing.
        NotSent,
        /// The call may have been carried out.
        Unknown,
    }
}
