//! The operators' configuration: queues, workspaces and limits.

use bulrushlink_core::{Span, WorkspaceId};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;

use crate::ids::Rev;
use crate::model::Resources;

/// Largest weight of a workspace, far above any sensible one; it keeps sums of weights exact.
const WEIGHT_MAX: f64 = 1e6;

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
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Unique name.
    pub name: WorkspaceId,
    /// API keys of its callers.
    pub keys: Vec<String>,
    /// Number of accelerators guaranteed to its jobs of priority 0.
    pub guaranteed: u64,
    /// Its weight and ceiling; `None` if the configuration has invalid ones, so that those of the
    /// configuration before stay in force.
    pub allotment: Option<Allotment>,
}

/// Capacity that a workspace is entitled to and limited to.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Allotment {
    /// Its share relative to the other workspaces when the workers are full, more than 0; `None` if the
    /// configuration gives none.
    pub weight: Option<f64>,
    /// What its runs may occupy over all workers.
    pub ceiling: Ceiling,
}

/// The most of each resource that a workspace may occupy over all workers; 0 means no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ceiling(pub Resources);

/// Why a weight or a ceiling is invalid.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
pub enum BadAllotment {
    /// The weight is not a positive number, or absurdly large.
    #[display("weight {_0} isn't a number above 0 and up to {WEIGHT_MAX}")]
    Weight(f64),
    /// The ceiling doesn't hold what is guaranteed.
    #[display("a ceiling of {ceiling} accelerators doesn't hold the {guaranteed} guaranteed ones")]
    UnderGuarantee {
        /// The ceiling in accelerators.
        ceiling: u64,
        /// The guaranteed accelerators.
        guaranteed: u64,
    },
}

impl Allotment {
    /// Checks the weight and the ceiling of a workspace with a guarantee of some accelerators.
    ///
    /// # Errors
    ///
    /// The first rule that they violate.
    pub fn check(&self, guaranteed: u64) -> Result<(), BadAllotment> {
        if let Some(weight) = self.weight
            && !(weight > 0.0 && weight <= WEIGHT_MAX)
        {
            return Err(BadAllotment::Weight(weight));
        }
        let ceiling = self.ceiling.0.accelerators;
        if ceiling > 0 && ceiling < guaranteed {
            return Err(BadAllotment::UnderGuarantee { ceiling, guaranteed });
        }
        Ok(())
    }
}

impl Ceiling {
    /// Returns what may be added to an amount in use, or `None` while that is over the ceiling in at
    /// least one resource: then nothing may be added, not even of other resources.
    pub fn room(&self, used: &Resources) -> Option<Resources> {
        let left = |limit: u64, used: u64| match limit {
            0 => Some(u64::MAX),
            _ => limit.checked_sub(used),
        };
        Some(Resources {
            cpu: left(self.0.cpu, used.cpu)?,
            memory: left(self.0.memory, used.memory)?,
            accelerators: left(self.0.accelerators, used.accelerators)?,
        })
    }
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

    /// Gives workspaces with an invalid weight or ceiling those of the configuration before.
    pub(crate) fn inherit_allotments(&mut self, before: Option<&Self>) {
        for workspace in self.workspaces.iter_mut().filter(|w| w.allotment.is_none()) {
            let known = before.and_then(|b| b.workspace(&workspace.name));
            workspace.allotment = Some(known.and_then(|w| w.allotment).unwrap_or_default());
        }
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
