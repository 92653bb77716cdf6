//! Release notes, each of which changes the desired state of the whole deployment atomically.
//!
//! The store holds the [`DesiredState`], never the notes. A [`ReleaseNote`] names the version it is
//! based on, so that of two concurrent notes one is accepted and the other gets a clear conflict.

mod fit;

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

use crate::error::{Code, Error};
use crate::ids::{DomainId, NoteVersion, RegionId, WorkspaceId};
use crate::job::Shape;
use crate::units::Span;

pub use fit::RackCapacity;

/// Whether work may start in a failure domain.
#[derive(Clone, Copy, Debug, Default, Display, FromStr, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Service {
    /// Work may start.
    #[default]
    #[display("in")]
    In,
    /// Nothing starts; running work is moved elsewhere or completes.
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
    /// Time for which a daemon may keep starting work after its last contact with the store or a
    /// majority of the daemons.
    #[serde(default = "DomainSpec::default_grace")]
    pub grace: Span,
}

impl DomainSpec {
    /// Default of [`Self::grace`].
    pub const DEFAULT_GRACE: Span = Span::from_secs(60);

    const fn default_grace() -> Span {
        Self::DEFAULT_GRACE
    }
}

/// A number of identical shapes, each within one failure domain, that a workspace can always get.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Guarantee {
    /// The guaranteed shape.
    pub shape: Shape,
    /// Number of shapes that are available at the same time.
    pub count: u16,
    /// Domain that provides the shapes; `None` spreads the count evenly over the domains in
    /// service.
    #[serde(default)]
    pub domain: Option<DomainId>,
}

/// A workspace as operators declare it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceSpec {
    /// Name of the workspace.
    pub id: WorkspaceId,
    /// Shapes guaranteed to the workspace.
    #[serde(default)]
    pub guarantees: Vec<Guarantee>,
    /// Maximum number of waiting jobs in each failure domain.
    #[serde(default = "WorkspaceSpec::default_queue")]
    pub queue: u32,
}

impl WorkspaceSpec {
    /// Default of [`Self::queue`].
    pub const DEFAULT_QUEUE: u32 = 1000;

    const fn default_queue() -> u32 {
        Self::DEFAULT_QUEUE
    }
}

/// The state in force: the result of all accepted release notes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DesiredState {
    /// Number of notes accepted so far.
    pub version: NoteVersion,
    /// Sorted by id, without repeats.
    pub domains: Vec<DomainSpec>,
    /// Sorted by id, without repeats.
    pub workspaces: Vec<WorkspaceSpec>,
}

/// Complete declarations of the domains and workspaces that a release note adds or changes.
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

/// A set of changes to the desired state, accepted or refused as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReleaseNote {
    /// Version that the note is based on; the note is accepted only while that is the head, the
    /// latest version accepted.
    pub base: NoteVersion,
    /// Unique identifier of the note, by which a sender that got no answer can read back whether
    /// this note was accepted.
    pub id: String,
    /// Entries to add, applied last; none of them may exist already.
    #[serde(default)]
    pub added: Entries,
    /// Entries to replace as a whole, applied after the removals; all of them must exist.
    #[serde(default)]
    pub changed: Entries,
    /// Entries to remove, applied first; all of them must exist.
    #[serde(default)]
    pub withdrawn: Removals,
}

/// One entry that differs between two desired states.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{sign} {path}: {text}")]
pub struct Change {
    /// `+` for an added entry, `~` for a changed one, `-` for a removed one.
    pub sign: String,
    /// Path such as `/domains/cuenca`.
    pub path: String,
    /// The entry as JSON: its new value, or the old one if it is removed.
    pub text: String,
}

/// The part of the desired state that concerns one failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainShare {
    /// Version of the desired state that the share is taken from.
    pub version: NoteVersion,
    /// The domain.
    pub domain: DomainId,
    /// Whether work may start there.
    pub service: Service,
    /// The workspaces' shares, sorted by workspace.
    pub workspaces: Vec<WorkspaceShare>,
}

/// The guarantees and queue limit of a workspace in one failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceShare {
    /// The workspace.
    pub id: WorkspaceId,
    /// Guaranteed shapes in this domain and their counts, which are never zero.
    pub guarantees: Vec<(Shape, u16)>,
    /// Maximum number of waiting jobs in this domain.
    pub queue: u32,
}

impl DesiredState {
    /// Returns the domain with this identifier.
    pub fn domain(&self, id: &DomainId) -> Option<&DomainSpec> {
        self.domains.binary_search_by(|d| d.id.cmp(id)).ok().map(|i| &self.domains[i])
    }

    /// Returns the workspace with this identifier.
    pub fn workspace(&self, id: &WorkspaceId) -> Option<&WorkspaceSpec> {
        self.workspaces.binary_search_by(|w| w.id.cmp(id)).ok().map(|i| &self.workspaces[i])
    }

    /// Returns the state that results from applying `note`.
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
        next.check_guarantees()?;
        Ok(next)
    }

    fn add(&mut self, added: &Entries) -> Result<(), Error> {
        for (i, spec) in added.domains.iter().enumerate() {
            insert(&mut self.domains, spec, |d| &d.id)
                .map_err(|error| error.with_prefix(&format!("/added/domains/{i}")))?;
        }
        for (i, spec) in added.workspaces.iter().enumerate() {
            insert(&mut self.workspaces, spec, |w| &w.id)
                .map_err(|error| error.with_prefix(&format!("/added/workspaces/{i}")))?;
        }
        Ok(())
    }

    fn change(&mut self, changed: &Entries) -> Result<(), Error> {
        for (i, spec) in changed.domains.iter().enumerate() {
            replace(&mut self.domains, spec, |d| &d.id)
                .map_err(|error| error.with_prefix(&format!("/changed/domains/{i}")))?;
        }
        for (i, spec) in changed.workspaces.iter().enumerate() {
            replace(&mut self.workspaces, spec, |w| &w.id)
                .map_err(|error| error.with_prefix(&format!("/changed/workspaces/{i}")))?;
        }
        Ok(())
    }

    fn withdraw(&mut self, withdrawn: &Removals) -> Result<(), Error> {
        for (i, id) in withdrawn.domains.iter().enumerate() {
            remove(&mut self.domains, id, |d| &d.id)
                .map_err(|error| error.with_prefix(&format!("/withdrawn/domains/{i}")))?;
        }
        for (i, id) in withdrawn.workspaces.iter().enumerate() {
            remove(&mut self.workspaces, id, |w| &w.id)
                .map_err(|error| error.with_prefix(&format!("/withdrawn/workspaces/{i}")))?;
        }
        Ok(())
    }

    fn check_guarantees(&self) -> Result<(), Error> {
        for workspace in &self.workspaces {
            for (i, guarantee) in workspace.guarantees.iter().enumerate() {
                let path = format!("/workspaces/{}/guarantees/{i}", workspace.id);
                self.check_guarantee(guarantee).map_err(|error| error.with_prefix(&path))?;
            }
        }
        Ok(())
    }

    fn check_guarantee(&self, guarantee: &Guarantee) -> Result<(), Error> {
        guarantee.shape.check().map_err(|error| error.with_prefix("/shape"))?;
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

    /// Returns the share of one domain. It depends on nothing but the state, so that each domain
    /// can enforce its share without asking another one.
    ///
    /// A count without a domain is spread evenly over the domains in service; the remainder goes to
    /// the first ones by identifier, one each.
    pub fn share(&self, domain: &DomainId) -> Option<DomainShare> {
        let spec = self.domain(domain)?;
        let in_service: Vec<_> =
            self.domains.iter().filter(|d| d.service == Service::In).map(|d| &d.id).collect();
        let index = in_service.iter().position(|id| *id == domain);
        let workspaces =
            self.workspaces.iter().map(|w| w.share(domain, index, in_service.len())).collect();
        Some(DomainShare {
            version: self.version,
            domain: domain.clone(),
            service: spec.service,
            workspaces,
        })
    }

    /// Lists the changes from `self` to `next`: first the domains, then the workspaces. Of each,
    /// the added and changed entries come first, then the removed ones, both in order of
    /// identifier.
    pub fn diff(&self, next: &Self) -> Vec<Change> {
        let mut changes = Vec::new();
        diff_entries(&mut changes, "/domains", &self.domains, &next.domains, |d| &d.id);
        diff_entries(&mut changes, "/workspaces", &self.workspaces, &next.workspaces, |w| &w.id);
        changes
    }
}

impl WorkspaceSpec {
    fn share(&self, domain: &DomainId, index: Option<usize>, in_service: usize) -> WorkspaceShare {
        let mut guarantees = Vec::new();
        for guarantee in &self.guarantees {
            let count = match (&guarantee.domain, index) {
                (Some(id), Some(_)) if id == domain => guarantee.count,
                (None, Some(index)) => even_share(guarantee.count, index, in_service),
                _ => 0,
            };
            if count > 0 {
                guarantees.push((guarantee.shape, count));
            }
        }
        WorkspaceShare { id: self.id.clone(), guarantees, queue: self.queue }
    }
}

fn even_share(count: u16, index: usize, domains: usize) -> u16 {
    let domains = domains as u16;
    count / domains + u16::from((index as u16) < count % domains)
}

fn insert<T: Clone, K: Ord + ToString>(
    list: &mut Vec<T>,
    entry: &T,
    key: impl Fn(&T) -> &K,
) -> Result<(), Error> {
    match list.binary_search_by(|item| key(item).cmp(key(entry))) {
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
    match list.binary_search_by(|item| key(item).cmp(key(entry))) {
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
    match list.binary_search_by(|item| key(item).cmp(id)) {
        Ok(i) => {
            list.remove(i);
            Ok(())
        }
        Err(_) => Err(Error::new(Code::NoteInvalid, format!("there is no {}", id.to_string()))),
    }
}

fn diff_entries<T: PartialEq + Serialize, K: Ord + ToString>(
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
            text: serde_json::to_string(entry).expect("specs serialize to JSON without errors"),
        });
    };
    for entry in new {
        match old.binary_search_by(|item| key(item).cmp(key(entry))) {
            Err(_) => push("+", entry),
            Ok(i) if old[i] != *entry => push("~", entry),
            Ok(_) => {}
        }
    }
    for entry in old {
        if new.binary_search_by(|item| key(item).cmp(key(entry))).is_err() {
            push("-", entry);
        }
    }
}
