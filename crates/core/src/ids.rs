//! Identifier newtypes, which keep a worker's identifier from being passed as a workspace's.
//!
//! All textual identifiers follow one rule, checked on construction and on deserialization:
//! 1 to 64 characters out of `a-z`, `A-Z`, `0-9`, `-`, `_` and `.`, the first one a letter or a
//! digit. Such identifiers need no escaping in URLs, store keys and logs.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::str::FromStr;

use crate::error::{Code, Error};

/// Maximum length of an identifier, in characters.
pub const ID_MAX_CHARS: usize = 64;

fn validate_id(kind: &'static str, text: &str) -> Result<(), Error> {
    let first_ok = text.chars().next().is_some_and(|c| c.is_ascii_alphanumeric());
    let rest_ok = text.chars().all(|c| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.'));
    if first_ok && rest_ok && text.len() <= ID_MAX_CHARS {
        return Ok(());
    }
    Err(Error::new(Code::FieldInvalid, format!("{text:?} is not a valid {kind} identifier")))
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Returns the identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                validate_id($kind, text)?;
                Ok(Self(text.to_string()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = Error;

            fn try_from(text: String) -> Result<Self, Error> {
                validate_id($kind, &text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.0
            }
        }
    };
}

text_id!(
    /// Identifier of a workspace: a tenant with its own guarantees and queue.
    WorkspaceId,
    "workspace"
);
text_id!(
    /// Identifier that a caller gives to one request, unique within the workspace.
    RequestId,
    "request"
);
text_id!(
    /// Identifier of a failure domain: a set of hosts that can be partitioned off, lost or taken
    /// out of service together.
    DomainId,
    "failure domain"
);
text_id!(
    /// Identifier of a region: a group of failure domains that are close to each other.
    RegionId,
    "region"
);
text_id!(
    /// Identifier of a rack: a group of workers that are adjacent to each other.
    RackId,
    "rack"
);
text_id!(
    /// Identifier of a worker: a host with accelerators that runs tasks.
    WorkerId,
    "worker"
);
text_id!(
    /// Identifier of a `bulrushlinkd` process.
    DaemonId,
    "daemon"
);
text_id!(
    /// Identifier of a class of similar jobs, such as `roster` or `proof-check`; run times are
    /// estimated per kind.
    KindId,
    "kind"
);

/// Unique key of a job: its workspace and the caller's request id.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{workspace}/{request}")]
pub struct JobKey {
    /// Workspace that the job is accounted to.
    pub workspace: WorkspaceId,
    /// Request id chosen by the caller.
    pub request: RequestId,
}

impl FromStr for JobKey {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let (workspace, request) = text
            .split_once('/')
            .ok_or_else(|| Error::new(Code::FieldInvalid, format!("{text:?} is not a job key")))?;
        Ok(Self { workspace: workspace.parse()?, request: request.parse()? })
    }
}

/// Number of a start of a job; the first start is attempt 1.
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
pub struct Attempt(pub u32);

impl Attempt {
    /// Returns the attempt that follows this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Version of the desired state, incremented by every accepted release note.
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
pub struct NoteVersion(pub u64);

impl NoteVersion {
    /// Returns the version that follows this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
