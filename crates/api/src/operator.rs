//! What operators say and hear, on a listener of their own.
//!
//! Every request carries `Authorization: Bearer TOKEN`.
//!
//! - `POST /v1/note/check`, `POST /v1/note/diff` and `POST /v1/note` take a release note.
//! - `GET /v1/note` shows the desired state in force.
//! - `GET /v1/domains` shows the failure domains with their workers, and what is in force where.
//! - `POST /v1/drain` begins a graceful stop.
//! - `GET /v1/dump` shows the whole state of the process.
//! - `GET /metrics` shows the metrics.

use bulrushlink_core::{
    Change, Code, DaemonId, DesiredState, DomainId, Load, NoteVersion, RackId, ReleaseNote,
    Service, Span, WorkerId,
};
use serde::{Deserialize, Serialize};

/// A request of an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "call", rename_all = "snake_case")]
pub enum OperatorCall {
    /// Checks a release note against the head without applying it.
    Check(ReleaseNote),
    /// Lists what a release note would change.
    Diff(ReleaseNote),
    /// Applies a release note; answered at once with what is in force where.
    Apply(ReleaseNote),
    /// Shows the desired state.
    Show,
    /// Shows the failure domains.
    Domains,
    /// Begins a graceful stop.
    Drain,
    /// Shows the state of the process.
    Dump,
}

/// An answer to an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum OperatorAnswer {
    /// To `Check`.
    Check(CheckAnswer),
    /// To `Diff` and `Show`.
    Plan(PlanAnswer),
    /// To `Apply`.
    Apply(ApplyAnswer),
    /// To `Domains`.
    Domains(DomainsAnswer),
    /// To `Dump`.
    Dump(Dump),
    /// To `Drain`, and every error.
    Plain {
        /// The numbered code.
        code: Code,
        /// The reason, for people.
        reason: String,
        /// Path of the offending field.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        field: Option<String>,
        /// Time after which a new try makes sense.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        retry: Option<Span>,
    },
}

/// A check that passed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckAnswer {
    /// The numbered code.
    pub code: Code,
    /// The version that the note would get.
    pub would_be: NoteVersion,
    /// What the operator should know before applying it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub warning: Option<String>,
}

/// A desired state and what would change it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanAnswer {
    /// The numbered code.
    pub code: Code,
    /// The desired state, after the note if there is one.
    pub desired: DesiredState,
    /// What the note changes.
    pub changes: Vec<Change>,
}

/// The version that one daemon has in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its version; `None` when it has not been heard from.
    pub version: Option<NoteVersion>,
    /// Time since it was heard from.
    pub heard: Option<Span>,
}

/// What became of a release note.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyAnswer {
    /// [`Code::Done`] when it is accepted and in force, [`Code::NotePending`] while somebody may
    /// still act on an older version.
    pub code: Code,
    /// The version that the note got.
    pub version: NoteVersion,
    /// What is in force where.
    pub in_force: Vec<InForce>,
    /// Daemons that may still act on an older version.
    pub pending: Vec<DaemonId>,
    /// Time after which the pending ones surely start nothing on the older version.
    pub settled_in: Option<Span>,
    /// What the operator should know although the note is accepted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub warning: Option<String>,
}

/// One worker in the table of failure domains.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRow {
    /// The worker.
    pub id: WorkerId,
    /// Its rack.
    pub rack: RackId,
    /// `live`, `leaving`, `lost` or `quarantined`.
    pub state: String,
    /// Its accelerators.
    pub accelerators: u8,
    /// Those with a task, some time ago; `None` where this daemon doesn't hear of the worker.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub busy: Option<u8>,
}

/// One failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainRow {
    /// The domain.
    pub id: DomainId,
    /// In or out of service.
    pub service: Service,
    /// The daemon that places work there, as far as this daemon knows.
    pub placer: Option<DaemonId>,
    /// Load that the placer announced last.
    pub load: Load,
    /// The daemons there with the versions in force.
    pub daemons: Vec<InForce>,
    /// The workers there.
    pub workers: Vec<WorkerRow>,
}

/// All failure domains.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainsAnswer {
    /// The numbered code.
    pub code: Code,
    /// The version in force on the daemon that answers.
    pub version: NoteVersion,
    /// The domains, sorted by name.
    pub domains: Vec<DomainRow>,
}

/// The whole state of a process, one section for each of its duties.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Dump {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Time since its start.
    pub age: Span,
    /// The sections in the order of their names; each is the JSON form of that duty's state.
    pub sections: Vec<DumpSection>,
}

/// One duty's part of a dump.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DumpSection {
    /// Name of the duty.
    pub name: String,
    /// State of the duty.
    pub state: serde_json::Value,
}
