//! The head: the record of the desired state in the store.

use bulrushlink_api::Record;
use bulrushlink_core::{Code, DesiredState, Error, NoteVersion, ReleaseNote, Span};
use serde::{Deserialize, Serialize};

use crate::hash::rank;

/// Maximum number of accepted notes that a head lists.
const ACCEPTED_MAX: usize = 32;

/// An accepted release note.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Version of the desired state that it produced.
    pub version: NoteVersion,
    /// The note's id, chosen by its author.
    pub id: String,
    /// Hash of its content, which distinguishes two notes of the same id.
    pub digest: u64,
}

/// The desired state, with the notes that led to it and the bound that its rollout needs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The desired state in force.
    pub state: DesiredState,
    /// The latest accepted notes, sorted by version; the last one produced `state`. They show
    /// whether a note was accepted although the reply to its write was lost.
    pub accepted: Vec<Accepted>,
    /// The longest grace of the versions that may still be in use: this one, and older ones that a
    /// daemon may still have in force.
    pub lapse: Span,
}

impl Head {
    /// Returns the head that results from `note`. `done` means that no daemon can act on a version
    /// below that of this head any more.
    ///
    /// # Errors
    ///
    /// The errors of [`DesiredState::try_apply`].
    pub(super) fn try_apply(&self, note: &ReleaseNote, done: bool) -> Result<Self, Error> {
        let state = self.state.try_apply(note)?;
        let older = if done { Span::ZERO } else { self.lapse };
        let lapse = older.max(longest_grace(&self.state)).max(longest_grace(&state));
        let mut accepted = self.accepted.clone();
        accepted.push(Accepted {
            version: state.version,
            id: note.id.clone(),
            digest: digest(note),
        });
        let surplus = accepted.len().saturating_sub(ACCEPTED_MAX);
        accepted.drain(..surplus);
        Ok(Self { state, accepted, lapse })
    }

    /// Returns the version that `note` produced, or `None` if it is not among the accepted notes.
    ///
    /// # Errors
    ///
    /// [`Code::NoteInvalid`] if a different note of the same id was accepted.
    pub(super) fn find(&self, note: &ReleaseNote) -> Result<Option<NoteVersion>, Error> {
        let Some(found) = self.accepted.iter().rfind(|a| a.id == note.id) else {
            return Ok(None);
        };
        if found.digest == digest(note) {
            return Ok(Some(found.version));
        }
        let text = format!("another note of this name made version {}", found.version);
        Err(Error::at(Code::NoteInvalid, "/id", text))
    }

    pub(super) fn json(&self) -> String {
        serde_json::to_string(self).expect("head could not be encoded as JSON")
    }
}

impl TryFrom<&Record> for Head {
    type Error = Error;

    fn try_from(record: &Record) -> Result<Self, Error> {
        serde_json::from_str(&record.value)
            .map_err(|error| Error::new(Code::BadAnswer, error.to_string()))
    }
}

fn digest(note: &ReleaseNote) -> u64 {
    let text = serde_json::to_string(note).expect("release note could not be encoded as JSON");
    rank(&note.id, &text)
}

fn longest_grace(state: &DesiredState) -> Span {
    state.domains.iter().map(|spec| spec.grace).max().unwrap_or_default()
}
