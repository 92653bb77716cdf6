//! The operators' configuration: queues, workspaces and limits.

use bulrushlink_core::{Span, WorkspaceId};
use serde::{Deserialize, Serialize};
use std::borrow::Cow;

use crate::ids::Rev;

/// A queue of jobs: the host and path at which callers reach it, and the rules for its jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Unique name.
    pub name: String,
    /// Host that callers address, in lower case.
    pub host: String,
    /// Path prefix; a job's identifier follows it.
    pub prefix: String,
    /// Endpoint whose workers run the tasks.
    pub endpoint: String,
    /// Priority; 0 is the highest and may preempt others.
    pub priority: u32,
    /// Number of failed runs of a task or gang after which its job fails.
    pub attempts: u32,
    /// Allowed duration of a job, as a multiple of the estimate of its longest chain of steps.
    pub stretch: f64,
    /// Constant that is added to the allowed duration.
    pub target: Span,
    /// Callers need no key.
    pub anonymous: bool,
    /// An external service must approve placements, which isn't supported.
    pub advised: bool,
}

/// A tenant, identified by its API keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// Unique name.
    pub name: WorkspaceId,
    /// API keys of its callers.
    pub keys: Vec<String>,
    /// Number of accelerators guaranteed to its jobs of priority 0.
    pub guaranteed: u64,
}

/// Limits on the callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub head: usize,
    /// Maximum size of a request body, in bytes.
    pub body: usize,
    /// Longest time until a request head has arrived whole.
    pub head_time: Span,
    /// Longest time that an idle connection stays open.
    pub idle_time: Span,
}

/// One version of the operators' configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Catalog {
    /// Number of the version, which only increases.
    pub version: u64,
    /// Store revision at which this version was written.
    pub rev: Rev,
    /// Size of the stored value, in bytes.
    pub size: u64,
    /// Sorted by name.
    pub queues: Vec<Queue>,
    /// Sorted by name.
    pub workspaces: Vec<Workspace>,
    /// Limits on requests.
    pub limits: Limits,
}

/// Why a request is denied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// No queue has this host and path.
    NoQueue,
    /// The key is missing or unknown.
    NoKey,
}

/// The queue and workspace of an allowed request.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant<'a> {
    /// The queue with the longest matching prefix.
    pub queue: &'a Queue,
    /// The workspace of the key, if a known key was sent.
    pub workspace: Option<&'a Workspace>,
    /// The part of the path after the queue's prefix.
    pub path_rest: Cow<'a, str>,
}

impl Catalog {
    /// Returns the queue with this name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        let found = self.queues.binary_search_by(|q| q.name.as_str().cmp(name));
        found.ok().map(|i| &self.queues[i])
    }

    /// Returns the workspace with this name.
    pub fn workspace(&self, name: &WorkspaceId) -> Option<&Workspace> {
        let found = self.workspaces.binary_search_by(|w| w.name.cmp(name));
        found.ok().map(|i| &self.workspaces[i])
    }

    /// Finds the queue with the longest prefix that matches a host and path, and checks the key.
    ///
    /// # Errors
    ///
    /// The reason why the request is denied.
    pub fn authorize<'a>(
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
        Ok(Grant { queue, workspace, path_rest: Cow::Borrowed(&path[queue.prefix.len()..]) })
    }
}
