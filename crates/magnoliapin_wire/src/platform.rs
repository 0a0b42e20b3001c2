//! Messages of the platform's service: its table, its object store and its instance list.
//!
//! The service speaks JSON over HTTP:
//!
//! | call | request | response |
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
use magnoliapin_model::TargetIncarnation;
use magnoliapin_model::ZoneId;

plain_data! {
    /// One row of the table.
    pub struct TableRow {
        /// Key of the row.
        pub key: String,
        /// Version, incremented by each write; 0 if the row does not exist.
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
        /// New value; `None` deletes the row.
        pub value: Option<String>,
    }

    /// Writes that commit together if all guards hold.
    #[derive(Default)]
    pub struct TableTransaction {
        /// Identifies the transaction when it is retried or its outcome is queried.
        pub token: ClientToken,
        /// Conditions; all must hold.
        pub guards: Vec<RowGuard>,
        /// Writes.
        pub writes: Vec<RowWrite>,
    }

    /// Outcome of a transaction.
    #[serde(rename_all = "snake_case")]
    pub enum TransactionResult {
        /// The writes were committed. Contains the new version of each written row, in order.
        Committed(Vec<RowVersion>),
        /// Nothing was written. Contains the current row of every guard that failed.
        Conflict(Vec<TableRow>),
    }

    /// A read of several rows from one consistent snapshot of the table.
    #[serde(rename_all = "snake_case")]
    pub enum TableRead {
        /// Rows with these keys; missing rows are omitted.
        Keys(Vec<String>),
        /// Rows whose key starts with the prefix, in order of their keys.
        Prefix {
            /// Prefix of the keys.
            prefix: String,
            /// Exclusive lower bound of the keys; empty for all.
            after: String,
            /// Maximum number of rows.
            limit: u32,
        },
    }

    /// One instance in the platform's instance list, which may be out of date.
    pub struct InstanceRecord {
        /// The instance.
        pub instance: InstanceId,
        /// Its availability zone.
        pub zone: ZoneId,
        /// Its rack.
        pub rack: RackId,
        /// Pool for which the instance was created; the table's `instance/` row takes precedence.
        pub pool: Option<PoolId>,
        /// Address of its executor.
        pub address: SocketAddr,
        /// Current incarnation of its executor.
        pub run: TargetIncarnation,
        /// Number of slots of its executor.
        pub slots: SlotCount,
        /// Image that it runs.
        pub image: String,
        /// Last state reported to the platform.
        pub state: ListedState,
    }

    /// State of an instance in the list.
    #[derive(Copy, Eq, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum ListedState {
        /// In service.
        Live,
        /// About to be removed.
        Leaving,
        /// Permanently removed: nothing runs on it any more.
        Gone,
    }

    /// An order to the platform about one instance.
    ///
    /// A sender may have been paused for a long time, so an order states the incarnation and the
    /// epoch that it is based on: an instance refuses it in any other incarnation, or after an
    /// order with a higher epoch.
    pub struct InstanceOrder {
        /// Incarnation of the instance's executor for which the order is intended.
        pub run: TargetIncarnation,
        /// Version of the instance's row on which the order is based.
        pub epoch: RowVersion,
        /// Action that the instance must carry out.
        pub act: OrderAction,
    }

    /// Action of an order.
    #[serde(rename_all = "snake_case")]
    pub enum OrderAction {
        /// Stops accepting work and finishes running work; the target reports itself as leaving.
        Drain,
        /// Accepts new work again.
        Undrain,
        /// Restarts the instance with an image; it accepts work again once it has started.
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
        /// Queries the outcome of a transaction.
        Resolve(ClientToken),
        /// Reads the instance list.
        Instances,
        /// Sends an order to an instance.
        Order(InstanceId, InstanceOrder),
    }

    /// Reply of the service, or why there is none.
    #[serde(rename_all = "snake_case")]
    pub enum PlatformReply {
        /// Outcome of a transaction.
        Transaction(TransactionResult),
        /// Rows of a read.
        Rows(Vec<TableRow>),
        /// Outcome of the transaction with a token; `None` if the service never received it.
        Resolved(Option<TransactionResult>),
        /// The instance list.
        Instances(Vec<InstanceRecord>),
        /// The order was accepted.
        Ordered,
        /// The call failed without a reply.
        Failed(CallFailure),
    }

    /// Why a call has no reply.
    #[derive(Copy, Eq, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum CallFailure {
        /// Nothing was sent, or the receiver reported that it did nothing.
        NotSent,
        /// The call may have been carried out.
        Unknown,
    }
}
