//! The operators' configuration: queues, workspaces and limits.

use bulrushlink_core::{Span, WorkspaceId};
use serde::{Deserialize, Serialize};
use std::borrow::Cow;

use crate::ids::Rev;

/// A queue of jobs: where callers reach it and how its jobs are treated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Unique name.
    pub name: String,
    /// Host that callers name, in lower case.
    pub host: String,
    /// Start of the path; a job's identifier follows it.
    pub prefix: String,
    /// Endpoint whose workers run the tasks.
    pub endpoint: String,
    /// 0 goes first and may preempt others.
    pub priority: u32,
    /// Failed runs of a task, or of a gang, after which its job has failed.
    pub attempts: u32,
    /// Allowed length of a job, as a multiple of its longest chain of work.
    pub stretch: f64,
    /// Added to the allowed length.
    pub target: Span,
    /// Callers need no key.
    pub anonymous: bool,
    /// Placement has to be allowed by an outside service, which isn't supported.
    pub advised: bool,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// Unique name.
    pub name: WorkspaceId,
    /// Keys that callers prove themselves with.
    pub keys: Vec<String>,
    /// Accelerators that jobs of priority 0 can always have.
    pub guaranteed: u64,
}

/// Bounds on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a request in bytes.
    pub head: usize,
    /// Largest body in bytes.
    pub body: usize,
    /// Time for a whole head to arrive.
    pub head_time: Span,
    /// Time that an idle connection stays open.
    pub idle_time: Span,
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Catalog {
    /// Number of the version; it only rises.
    pub version: u64,
    /// Revision of the store that holds this version.
    pub rev: Rev,
    /// Sorted by name.
    pub queues: Vec<Queue>,
    /// Sorted by name.
    pub workspaces: Vec<Workspace>,
    /// Bounds on requests.
    pub limits: Limits,
}

/// Why a caller can't be served under a catalog.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// No queue has this host and path.
    NoQueue,
    /// The key is missing or belongs to nobody.
    NoKey,
}

/// A call that a catalog allows.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant<'a> {
    /// The queue.
    pub queue: &'a Queue,
    /// The workspace that the key belongs to, if there is one.
    pub workspace: Option<&'a Workspace>,
    /// What follows the prefix of the queue in the path.
    pub rest: Cow<'a, str>,
}

impl Catalog {
    /// Returns the queue of this name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        let found = self.queues.binary_search_by(|q| q.name.as_str().cmp(name));
        found.ok().map(|i| &self.queues[i])
    }

    /// Returns the workspace of this name.
    pub fn workspace(&self, name: &WorkspaceId) -> Option<&Workspace> {
        let found = self.workspaces.binary_search_by(|w| w.name.cmp(name));
        found.ok().map(|i| &self.workspaces[i])
    }

    /// Finds the queue for a host and path by the longest prefix, and checks the key.
    ///
    /// # Errors
    ///
    /// What is missing.
    pub fn grant<'a>(
        &'a self,
        host: &str,
        path: &'a str,
        key: Option<&str>,
    ) -> Result<Grant<'a>, Denial> {
        let fits = |q: &&Queue| q.host == host && path.starts_with(&q.prefix);
        let queue = self.queues.iter().filter(fits).max_by_key(|q| q.prefix.len());
        let queue = queue.ok_or(Denial::NoQueue)?;
        let owner = |key: &str| self.workspaces.iter().find(|w| w.keys.iter().any(|k| k == key));
        let workspace = key.and_then(owner);
        if workspace.is_none() && !queue.anonymous {
            return Err(Denial::NoKey);
        }
        Ok(Grant { queue, workspace, rest: Cow::Borrowed(&path[queue.prefix.len()..]) })
    }
}
