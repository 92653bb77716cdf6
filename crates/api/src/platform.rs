//! The platform's key-value service and its list of hosts.
//!
//! `POST /kv` with a [`StoreRequest`] calls the store and returns a [`StoreReply`]. `GET /hosts`
//! returns a [`HostList`]; `GET /hosts?after=REVISION` may return only what has changed since that
//! revision. A platform without support for changes answers it like `GET /hosts`.

use bulrushlink_core::{DomainId, RackId, RegionId, Span, WorkerId};
use derive_more::Display;
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::value::RawValue;
use std::net::SocketAddr;

/// Revision of the store: a counter that grows with every change of any key.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
pub struct Revision(pub u64);

/// Condition of a write (compare-and-swap).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expect {
    /// The key must not exist.
    Absent,
    /// The key's latest revision must be this one.
    At(Revision),
}

/// One call to the store. Each counts against the rate limit; a watch counts once, however long it
/// waits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "snake_case")]
pub enum StoreRequest {
    /// Reads one key.
    Get {
        /// The key.
        key: String,
    },
    /// Reads up to `limit` keys that begin with `prefix` and come after `after`, in order.
    List {
        /// Prefix of the keys.
        prefix: String,
        /// Last key of the previous page; empty for the first page.
        after: String,
        /// Largest number of records in the page.
        limit: u32,
    },
    /// Writes one key if the condition holds, under a lease if `lease` is set.
    Put {
        /// The key.
        key: String,
        /// The value, at most 1 MiB.
        value: String,
        /// The condition.
        expect: Expect,
        /// Duration of the lease: the key is removed after it unless kept alive.
        lease: Option<Span>,
    },
    /// Renews the lease of a key for its full duration.
    KeepAlive {
        /// The key.
        key: String,
        /// Revision of the change that set the key.
        at: Revision,
    },
    /// Removes one key if its latest revision is `at`.
    Delete {
        /// The key.
        key: String,
        /// Revision of the change that set the key.
        at: Revision,
    },
    /// Waits until the key has a revision later than `after`, or until `wait` is over; then replies
    /// as `Get`.
    Watch {
        /// The key.
        key: String,
        /// Latest revision of the key that the client knows.
        after: Revision,
        /// Longest time to wait.
        wait: Span,
    },
}

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The key.
    pub key: String,
    /// The value.
    pub value: String,
    /// Revision of the key's latest change.
    pub at: Revision,
}

/// The store's reply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "reply", rename_all = "snake_case")]
pub enum StoreReply {
    /// Reply to `Get` and `Watch`: the record, if the key exists.
    Found {
        /// The record.
        record: Option<Record>,
    },
    /// Reply to `List`: one page.
    Page {
        /// The records, sorted by key.
        records: Vec<Record>,
        /// Whether another page follows.
        more: bool,
    },
    /// Reply to `Put`, `KeepAlive` and `Delete`: the call took effect.
    Done {
        /// Revision of the change; for `KeepAlive` the unchanged revision of the key.
        at: Revision,
    },
    /// Reply to `Put`, `KeepAlive` and `Delete`: the condition doesn't hold; nothing was changed.
    Conflict {
        /// The current record, if the key exists.
        record: Option<Record>,
    },
    /// The rate limit is exceeded; nothing was changed.
    Limited {
        /// Time after which to retry.
        retry: Span,
    },
}

/// Why a call to an edge has no reply.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EdgeFault {
    /// The connection couldn't be opened: the call certainly had no effect.
    #[display("unreachable")]
    Unreachable,
    /// No reply came: the call may have taken effect, or may do so later.
    #[display("silent")]
    Silent,
}

/// A host of the platform that runs tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Worker that runs on the host.
    pub id: WorkerId,
    /// Region of the worker.
    pub region: RegionId,
    /// Failure domain of the worker.
    pub domain: DomainId,
    /// Rack of the worker.
    pub rack: RackId,
    /// Address of the worker's own HTTP service.
    pub addr: SocketAddr,
    /// Number of accelerators, at most 64.
    pub accelerators: u8,
    /// Largest number of tasks at the same time.
    pub slots: u16,
    /// Whether the host is about to leave the platform.
    pub leaving: bool,
}

/// All hosts of the platform, or the changes since an earlier list. The list lags behind the actual
/// hosts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// All hosts, or with `since` those added or changed after it; sorted by worker. Those that can't
    /// be read are left out, as another writer may have added them.
    #[serde(deserialize_with = "readable_hosts")]
    pub hosts: Vec<Host>,
    /// Revision of this list, for a later query for changes; `None` from a platform that reports no
    /// changes. A revision is never reused for another list.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub at: Option<Revision>,
    /// Revision of the list that the changes apply to; `None` for a full list.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub since: Option<Revision>,
    /// Hosts of the earlier list that were removed; empty in a full list.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub gone: Vec<WorkerId>,
    /// Number of hosts in the full list, by which a reader of changes detects that it missed some.
    #[serde(default)]
    pub count: usize,
}

/// Decodes the hosts one by one.
fn readable_hosts<'de, D: Deserializer<'de>>(list: D) -> Result<Vec<Host>, D::Error> {
    // Each is taken as text first: a deeply nested value, or a number out of range, would otherwise
    // make the whole list invalid.
    let hosts = Vec::<Box<RawValue>>::deserialize(list)?;
    Ok(hosts.iter().filter_map(|host| serde_json::from_str(host.get()).ok()).collect())
}

impl HostList {
    /// Creates a full list without a revision, so that no changes can be requested after it.
    pub fn full(hosts: Vec<Host>) -> Self {
        Self { count: hosts.len(), hosts, ..Self::default() }
    }
}
