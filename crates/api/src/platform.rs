//! The platform's key-value service and its list of hosts.
//!
//! The store is reached by `POST /kv` with a [`StoreRequest`] and answers a [`StoreReply`]; the
//! list by `GET /hosts`, which answers a [`HostList`], and by `GET /hosts?after=REVISION`, which
//! may answer with just what has changed since. A list that doesn't know that question answers it
//! as the first one.

use bulrushlink_core::{DomainId, RackId, RegionId, Span, WorkerId};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The store's counter of changes; every change of any key gets a larger one.
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

/// The condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expect {
    /// The key must not exist.
    Absent,
    /// The key's last change must be this one.
    At(Revision),
}

/// One call to the store; each counts against its rate, a waiting watch too.
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
        /// Beginning of the keys.
        prefix: String,
        /// Key after which to go on; empty for the first page.
        after: String,
        /// The most records of a page.
        limit: u32,
    },
    /// Writes one key if the condition holds, with a lease if `lease` says so.
    Put {
        /// The key.
        key: String,
        /// The value, at most a megabyte.
        value: String,
        /// The condition.
        expect: Expect,
        /// Time after which the key goes away unless it is kept alive.
        lease: Option<Span>,
    },
    /// Starts the lease of a key anew.
    KeepAlive {
        /// The key.
        key: String,
        /// The change that set the key.
        at: Revision,
    },
    /// Removes one key if its last change is `at`.
    Delete {
        /// The key.
        key: String,
        /// The change that set the key.
        at: Revision,
    },
    /// Waits until the key has changed after `after`, or `wait` is over; then as `Get`.
    Watch {
        /// The key.
        key: String,
        /// The last change that the caller knows.
        after: Revision,
        /// The longest time to wait.
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
    /// The last change of the key.
    pub at: Revision,
}

/// The store's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "reply", rename_all = "snake_case")]
pub enum StoreReply {
    /// To `Get` and `Watch`: the record, if the key exists.
    Found {
        /// The record.
        record: Option<Record>,
    },
    /// To `List`: one page; `more` tells whether another one follows.
    Page {
        /// The records in order.
        records: Vec<Record>,
        /// Whether more follow.
        more: bool,
    },
    /// To `Put`, `KeepAlive` and `Delete`: done.
    Done {
        /// The change that did it.
        at: Revision,
    },
    /// To `Put`, `KeepAlive` and `Delete`: the condition doesn't hold; nothing was changed.
    Conflict {
        /// The record as it is, if the key exists.
        record: Option<Record>,
    },
    /// The rate is exceeded; nothing was changed.
    Limited {
        /// Time to come back.
        retry: Span,
    },
}

/// Why there is no answer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EdgeFault {
    /// The connection couldn't be made: the call certainly had no effect.
    #[display("unreachable")]
    Unreachable,
    /// No answer came: the call may have its effect, now or later.
    #[display("silent")]
    Silent,
}

/// A host of the platform that runs tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The worker.
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
    /// The most tasks at the same time.
    pub slots: u16,
    /// Whether the host is about to leave.
    pub leaving: bool,
}

/// All hosts that the platform knows of, some time ago, or what has changed among them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// All hosts; with `since`, those that came or changed after it. Sorted by worker.
    pub hosts: Vec<Host>,
    /// Names this list for a later question; `None` from a platform that tells no changes. Never
    /// used again for another list.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub at: Option<Revision>,
    /// The earlier list that the changes build on; `None` for a whole list.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub since: Option<Revision>,
    /// Hosts of the earlier list that are gone; none in a whole list.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub gone: Vec<WorkerId>,
    /// Number of hosts of the whole list, by which a reader of changes finds that it missed some.
    #[serde(default)]
    pub count: usize,
}

impl HostList {
    /// Returns a whole list that can't be asked for changes.
    pub fn whole(hosts: Vec<Host>) -> Self {
        Self { count: hosts.len(), hosts, ..Self::default() }
    }
}
