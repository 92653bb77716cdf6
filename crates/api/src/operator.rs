//! Requests of operators and the answers to them, on a listener of their own.
//!
//! Every request carries `Authorization: Bearer TOKEN`.
//!
//! - `POST /v1/note/check`, `POST /v1/note/diff` and `POST /v1/note` check a release note, list its
//!   changes, and apply it.
//! - `GET /v1/note` returns the desired state in force.
//! - `GET /v1/domains` returns the failure domains with their workers, and the version that each
//!   daemon has in force.
//! - `POST /v1/drain` starts a graceful stop.
//! - `GET /v1/dump` returns the state of the daemon, by component.
//! - `GET /metrics` returns the metrics.

use bulrushlink_core::{
    Change, Code, DaemonId, DesiredState, DomainId, Load, NoteVersion, RackId, ReleaseNote,
    Service, Span, WorkerId,
};
use serde::{Deserialize, Serialize};

/// A request of an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "call", rename_all = "snake_case")]
pub enum OperatorCall {
    /// Checks a release note against the latest version without applying it.
    Check(ReleaseNote),
    /// Lists what a release note would change.
    Diff(ReleaseNote),
    /// Applies a release note; answered at once with the version that each daemon has in force.
    Apply(ReleaseNote),
    /// Returns the desired state.
    Show,
    /// Returns the failure domains.
    Domains,
    /// Starts a graceful stop.
    Drain,
    /// Returns the state of the daemon, by component.
    Dump,
}

/// An answer to an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum OperatorAnswer {
    /// Answer to `Check`.
    Check(CheckAnswer),
    /// Answer to `Diff` and `Show`.
    Plan(PlanAnswer),
    /// Answer to `Apply`.
    Apply(ApplyAnswer),
    /// Answer to `Domains`.
    Domains(DomainsAnswer),
    /// Answer to `Dump`.
    Dump(Dump),
    /// Answer to `Drain`, and every error.
    Plain {
        /// Code of the outcome, sent as a number.
        code: Code,
        /// Human-readable reason.
        reason: String,
        /// Path of the invalid field.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        field: Option<String>,
        /// Time after which the request may be retried.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        retry: Option<Span>,
    },
}

/// Answer to a release note that passed its check.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckAnswer {
    /// Code of the outcome, sent as a number.
    pub code: Code,
    /// Version that the note would get.
    pub would_be: NoteVersion,
    /// Concern that the operator should know of before applying the note.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub warning: Option<String>,
}

/// A desired state and the changes that lead to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanAnswer {
    /// Code of the outcome, sent as a number.
    pub code: Code,
    /// Desired state, with the note applied if there is one.
    pub desired: DesiredState,
    /// Changes that the note makes; none without a note.
    pub changes: Vec<Change>,
}

/// The version that one daemon has in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Version in force there; `None` if the daemon has not been heard from.
    pub version: Option<NoteVersion>,
    /// Time since the daemon was last heard from.
    pub heard: Option<Span>,
}

/// Progress of a release note that was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyAnswer {
    /// [`Code::Done`] once the note is in force everywhere, [`Code::NotePending`] while a daemon
    /// may still act on an older version.
    pub code: Code,
    /// Version that the note got.
    pub version: NoteVersion,
    /// Version that each daemon has in force.
    pub in_force: Vec<InForce>,
    /// Daemons that may still act on an older version.
    pub pending: Vec<DaemonId>,
    /// Time after which the pending daemons are certain to start nothing under an older version.
    pub settled_in: Option<Span>,
    /// Concern that the operator should know of although the note was accepted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub warning: Option<String>,
}

/// One worker of a failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRow {
    /// The worker.
    pub id: WorkerId,
    /// Its rack.
    pub rack: RackId,
    /// `live`, `leaving` or `lost`.
    pub state: String,
    /// Number of its accelerators.
    pub accelerators: u8,
    /// Number of accelerators that ran a task when last observed; `None` if the answering
    /// daemon has no such report of the worker.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub busy: Option<u8>,
}

/// One failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainRow {
    /// The domain.
    pub id: DomainId,
    /// Whether the domain is in service.
    pub service: Service,
    /// Daemon that places jobs there, as far as the answering daemon knows.
    pub placer: Option<DaemonId>,
    /// Load that the placer announced last.
    pub load: Load,
    /// Daemons there with the versions that they have in force.
    pub daemons: Vec<InForce>,
    /// Workers there.
    pub workers: Vec<WorkerRow>,
}

/// All failure domains.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainsAnswer {
    /// Code of the outcome, sent as a number.
    pub code: Code,
    /// Version in force on the answering daemon.
    pub version: NoteVersion,
    /// The domains, sorted by name.
    pub domains: Vec<DomainRow>,
}

/// The whole state of a daemon, with one section for each of its components.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Dump {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Time since the daemon started.
    pub age: Span,
    /// Sections, sorted by name.
    pub sections: Vec<DumpSection>,
}

/// State of one component in a dump.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DumpSection {
    /// Name of the component.
    pub name: String,
    /// State of the component as JSON.
    pub state: serde_json::Value,
}
