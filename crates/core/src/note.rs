//! A release note changes the desired state of the whole deployment in one step.
//!
//! The store holds the [`DesiredState`], never the notes. A [`ReleaseNote`] names the version it is
//! based on, so that two operators who race get one winner and one clear conflict.

mod fit;

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

use crate::error::{Code, Error};
use crate::ids::{DomainId, NoteVersion, RegionId, WorkspaceId};
use crate::job::Shape;
use crate::units::Span;

pub use fit::RackStock;

/// Whether work may start in a failure domain.
#[derive(Clone, Copy, Debug, Default, Display, FromStr, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Service {
    /// Work may start.
    #[default]
    #[display("in")]
    In,
    /// Nothing starts; what runs is moved or runs to its end.
    #[display("out")]
    Out,
}

/// A failure domain as operators declare it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DomainSpec {
    /// Name of the domain.
    pub id: DomainId,
    /// Region of the domain.
    pub region: RegionId,
    /// Whether work may start there.
    #[serde(default)]
    pub service: Service,
    /// Time for which a daemon that hears from nobody may go on starting work.
    #[serde(default = "DomainSpec::default_grace")]
    pub grace: Span,
}

impl DomainSpec {
    /// Default of [`Self::grace`].
    pub const GRACE: Span = Span::from_secs(60);

    const fn default_grace() -> Span {
        Self::GRACE
    }
}

/// A number of equal shapes that a workspace can always have, within one failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Guarantee {
    /// The guaranteed shape.
    pub shape: Shape,
    /// How many of it, all at the same time.
    pub count: u16,
    /// The domain that holds it; `None` spreads the count evenly over the domains in service.
    #[serde(default)]
    pub domain: Option<DomainId>,
}

/// A workspace as operators declare it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceSpec {
    /// Name of the workspace.
    pub id: WorkspaceId,
    /// Its guaranteed shapes.
    #[serde(default)]
    pub guarantees: Vec<Guarantee>,
    /// The most jobs that may wait, in each failure domain.
    #[serde(default = "WorkspaceSpec::default_queue")]
    pub queue: u32,
}

impl WorkspaceSpec {
    /// Default of [`Self::queue`].
    pub const QUEUE: u32 = 1000;

    const fn default_queue() -> u32 {
        Self::QUEUE
    }
}

/// What is in force: the sum of all accepted release notes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DesiredState {
    /// Number of notes accepted so far.
    pub version: NoteVersion,
    /// Sorted by id, without repeats.
    pub domains: Vec<DomainSpec>,
    /// Sorted by id, without repeats.
    pub workspaces: Vec<WorkspaceSpec>,
}

/// Domains and workspaces that a release note adds or changes, whole.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Entries {
    /// Failure domains.
    pub domains: Vec<DomainSpec>,
    /// Workspaces.
    pub workspaces: Vec<WorkspaceSpec>,
}

/// Names of domains and workspaces that a release note removes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Removals {
    /// Failure domains.
    pub domains: Vec<DomainId>,
    /// Workspaces.
    pub workspaces: Vec<WorkspaceId>,
}

/// One statement of what is added, changed and withdrawn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReleaseNote {
    /// Version that the note is based on; the note is accepted only while that is the head.
    pub base: NoteVersion,
    /// Unique name of this note, so that a lost answer can be settled by reading back.
    pub id: String,
    /// Must not exist before.
    #[serde(default)]
    pub added: Entries,
    /// Must exist before; replaced whole.
    #[serde(default)]
    pub changed: Entries,
    /// Must exist before.
    #[serde(default)]
    pub withdrawn: Removals,
}

/// One line of the difference between two desired states.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{sign} {path}: {text}")]
pub struct Change {
    /// `+`, `~` or `-`.
    pub sign: String,
    /// Path such as `/domains/cuenca`.
    pub path: String,
    /// What the entry is after the change, in one line.
    pub text: String,
}

/// What a release note means for one failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainShare {
    /// Version of the desired state that it comes from.
    pub version: NoteVersion,
    /// The domain.
    pub domain: DomainId,
    /// Whether work may start there.
    pub service: Service,
    /// The workspaces' shares, sorted by workspace.
    pub workspaces: Vec<WorkspaceShare>,
}

/// A workspace's part in one failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceShare {
    /// The workspace.
    pub id: WorkspaceId,
    /// Guaranteed shapes in this domain with their counts; no count is zero.
    pub guarantees: Vec<(Shape, u16)>,
    /// The most jobs that may wait in this domain.
    pub queue: u32,
}

impl DesiredState {
    /// Returns the domain of that name.
    pub fn domain(&self, id: &DomainId) -> Option<&DomainSpec> {
        self.domains.binary_search_by(|d| d.id.cmp(id)).ok().map(|i| &self.domains[i])
    }

    /// Returns the workspace of that name.
    pub fn workspace(&self, id: &WorkspaceId) -> Option<&WorkspaceSpec> {
        self.workspaces.binary_search_by(|w| w.id.cmp(id)).ok().map(|i| &self.workspaces[i])
    }

    /// Returns the state after `note`.
    ///
    /// # Errors
    ///
    /// [`Code::NoteConflict`] when the note is based on another version, and [`Code::NoteInvalid`]
    /// or [`Code::FieldInvalid`] with the path of the entry that contradicts the state.
    pub fn try_apply(&self, note: &ReleaseNote) -> Result<Self, Error> {
        if note.base != self.version {
            let text = format!("based on {}, head is {}", note.base, self.version);
            return Err(Error::at(Code::NoteConflict, "/base", text));
        }
        let mut next = self.clone();
        next.version = self.version.next();
        next.withdraw(&note.withdrawn)?;
        next.change(&note.changed)?;
        next.add(&note.added)?;
        next.check()?;
        Ok(next)
    }

    fn add(&mut self, added: &Entries) -> Result<(), Error> {
        for (i, spec) in added.domains.iter().enumerate() {
            insert(&mut self.domains, spec, |d| &d.id)
                .map_err(|error| error.under(&format!("/added/domains/{i}")))?;
        }
        for (i, spec) in added.workspaces.iter().enumerate() {
            insert(&mut self.workspaces, spec, |w| &w.id)
                .map_err(|error| error.under(&format!("/added/workspaces/{i}")))?;
        }
        Ok(())
    }

    fn change(&mut self, changed: &Entries) -> Result<(), Error> {
        for (i, spec) in changed.domains.iter().enumerate() {
            replace(&mut self.domains, spec, |d| &d.id)
                .map_err(|error| error.under(&format!("/changed/domains/{i}")))?;
        }
        for (i, spec) in changed.workspaces.iter().enumerate() {
            replace(&mut self.workspaces, spec, |w| &w.id)
                .map_err(|error| error.under(&format!("/changed/workspaces/{i}")))?;
        }
        Ok(())
    }

    fn withdraw(&mut self, withdrawn: &Removals) -> Result<(), Error> {
        for (i, id) in withdrawn.domains.iter().enumerate() {
            remove(&mut self.domains, id, |d| &d.id)
                .map_err(|error| error.under(&format!("/withdrawn/domains/{i}")))?;
        }
        for (i, id) in withdrawn.workspaces.iter().enumerate() {
            remove(&mut self.workspaces, id, |w| &w.id)
                .map_err(|error| error.under(&format!("/withdrawn/workspaces/{i}")))?;
        }
        Ok(())
    }

    fn check(&self) -> Result<(), Error> {
        for workspace in &self.workspaces {
            for (i, guarantee) in workspace.guarantees.iter().enumerate() {
                let path = format!("/workspaces/{}/guarantees/{i}", workspace.id);
                self.check_guarantee(guarantee).map_err(|error| error.under(&path))?;
            }
        }
        Ok(())
    }

    fn check_guarantee(&self, guarantee: &Guarantee) -> Result<(), Error> {
        guarantee.shape.check().map_err(|error| error.under("/shape"))?;
        if guarantee.count == 0 {
            return Err(Error::at(Code::FieldInvalid, "/count", "must be at least 1"));
        }
        match &guarantee.domain {
            Some(id) if self.domain(id).is_none() => {
                let text = format!("there is no failure domain {id}");
                Err(Error::at(Code::NoteInvalid, "/domain", text))
            }
            _ => Ok(()),
        }
    }

    /// Returns what the state means for one domain; a pure function, so that each domain can
    /// enforce its share without asking anyone.
    ///
    /// A count without a domain is spread over the domains in service, the first ones by name
    /// taking the remainder.
    pub fn share(&self, domain: &DomainId) -> Option<DomainShare> {
        let spec = self.domain(domain)?;
        let active: Vec<_> =
            self.domains.iter().filter(|d| d.service == Service::In).map(|d| &d.id).collect();
        let rank = active.iter().position(|id| *id == domain);
        let workspaces =
            self.workspaces.iter().map(|w| w.share(domain, rank, active.len())).collect();
        Some(DomainShare {
            version: self.version,
            domain: domain.clone(),
            service: spec.service,
            workspaces,
        })
    }

    /// Lists what turns `self` into `next`, in the order added, changed, withdrawn of each part.
    pub fn diff(&self, next: &Self) -> Vec<Change> {
        let mut changes = Vec::new();
        diff_part(&mut changes, "/domains", &self.domains, &next.domains, |d| &d.id);
        diff_part(&mut changes, "/workspaces", &self.workspaces, &next.workspaces, |w| &w.id);
        changes
    }
}

impl WorkspaceSpec {
    fn share(&self, domain: &DomainId, rank: Option<usize>, active: usize) -> WorkspaceShare {
        let mut guarantees = Vec::new();
        for guarantee in &self.guarantees {
            let count = match (&guarantee.domain, rank) {
                (Some(id), Some(_)) if id == domain => guarantee.count,
                (None, Some(rank)) => even_part(guarantee.count, rank, active),
                _ => 0,
            };
            if count > 0 {
                guarantees.push((guarantee.shape, count));
            }
        }
        WorkspaceShare { id: self.id.clone(), guarantees, queue: self.queue }
    }
}

fn even_part(count: u16, rank: usize, parts: usize) -> u16 {
    let parts = parts as u16;
    count / parts + u16::from((rank as u16) < count % parts)
}

fn insert<T: Clone, K: Ord + ToString>(
    list: &mut Vec<T>,
    entry: &T,
    key: impl Fn(&T) -> &K,
) -> Result<(), Error> {
    match list.binary_search_by(|probe| key(probe).cmp(key(entry))) {
        Ok(_) => {
            let text = format!("{} exists already", key(entry).to_string());
            Err(Error::at(Code::NoteInvalid, "/id", text))
        }
        Err(i) => {
            list.insert(i, entry.clone());
            Ok(())
        }
    }
}

fn replace<T: Clone, K: Ord + ToString>(
    list: &mut [T],
    entry: &T,
    key: impl Fn(&T) -> &K,
) -> Result<(), Error> {
    match list.binary_search_by(|probe| key(probe).cmp(key(entry))) {
        Ok(i) => {
            list[i] = entry.clone();
            Ok(())
        }
        Err(_) => {
            let text = format!("there is no {}", key(entry).to_string());
            Err(Error::at(Code::NoteInvalid, "/id", text))
        }
    }
}

fn remove<T, K: Ord + ToString>(
    list: &mut Vec<T>,
    id: &K,
    key: impl Fn(&T) -> &K,
) -> Result<(), Error> {
    match list.binary_search_by(|probe| key(probe).cmp(id)) {
        Ok(i) => {
            list.remove(i);
            Ok(())
        }
        Err(_) => Err(Error::new(Code::NoteInvalid, format!("there is no {}", id.to_string()))),
    }
}

fn diff_part<T: PartialEq + Serialize, K: Ord + ToString>(
    changes: &mut Vec<Change>,
    path: &str,
    old: &[T],
    new: &[T],
    key: impl Fn(&T) -> &K,
) {
    let mut push = |sign: &str, entry: &T| {
        changes.push(Change {
            sign: sign.to_string(),
            path: format!("{path}/{}", key(entry).to_string()),
            text: serde_json::to_string(entry).expect("entries always serialise"),
        });
    };
    for entry in new {
        match old.binary_search_by(|probe| key(probe).cmp(key(entry))) {
            Err(_) => push("+", entry),
            Ok(i) if old[i] != *entry => push("~", entry),
            Ok(_) => {}
        }
    }
    for entry in old {
        if new.binary_search_by(|probe| key(probe).cmp(key(entry))).is_err() {
            push("-", entry);
        }
    }
}
