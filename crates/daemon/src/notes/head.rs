//! The head as the store holds it.

use bulrushlink_api::Record;
use bulrushlink_core::{Code, DesiredState, Error, NoteVersion, ReleaseNote, Span};
use serde::{Deserialize, Serialize};

use crate::hash::rank;

/// Accepted notes that a head remembers by their names.
const ACCEPTED_MAX: usize = 32;

/// An accepted note.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The version that it got.
    pub version: NoteVersion,
    /// Its name.
    pub id: String,
    /// Hash of its content, which tells two notes of one name apart.
    pub digest: u64,
}

/// The desired state with what settles the doubts about how it came about.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// What is in force.
    pub state: DesiredState,
    /// The latest accepted notes, sorted by version; the last one made this state. They tell an
    /// operator whose answer was lost whether the note was accepted.
    pub accepted: Vec<Accepted>,
    /// The longest grace of any older version that some daemon may still have.
    pub lapse: Span,
}

impl Head {
    /// Returns the head after `note`; `settled` tells whether no daemon can act on a version
    /// below this one any more.
    ///
    /// # Errors
    ///
    /// As of [`DesiredState::try_apply`].
    pub(super) fn try_apply(&self, note: &ReleaseNote, settled: bool) -> Result<Self, Error> {
        let state = self.state.try_apply(note)?;
        let older = if settled { Span::ZERO } else { self.lapse };
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

    /// Returns the version that `note` got, if it was accepted.
    ///
    /// # Errors
    ///
    /// [`Code::NoteInvalid`] when another note of the same name was accepted.
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

    pub(super) fn text(&self) -> String {
        serde_json::to_string(self).expect("a head always serialises")
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
    let text = serde_json::to_string(note).expect("a release note always serialises");
    rank(&note.id, &text)
}

fn longest_grace(state: &DesiredState) -> Span {
    state.domains.iter().map(|spec| spec.grace).max().unwrap_or_default()
}
