//! Exit statuses that a script can act on without reading any text.

use bulrushlink_core::Code;

/// The part of the overview that lists the exit statuses.
pub(crate) const HELP: &str = "
Exit status:
  0  done: accepted, running, completed, or in force
  1  the job ran and failed
  2  wrong usage or bad input; nothing was changed
  3  refused: this submission is not run; the answer says when to come back
  4  the job was cancelled
  5  the outcome of the job is unknown
  6  the release note was not accepted
  7  the release note is accepted, but pending somewhere
  8  no answer, or not the expected one";

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Accepted, running, completed or in force.
    Done = 0,
    /// The job ran and failed.
    Failed = 1,
    /// Wrong usage or bad input.
    BadInput = 2,
    /// Refused, not run.
    Refused = 3,
    /// Cancelled.
    Cancelled = 4,
    /// Outcome unknown.
    Unknown = 5,
    /// The release note was not accepted.
    NoteRefused = 6,
    /// The release note is pending somewhere.
    Pending = 7,
    /// No answer, or not the expected one.
    NoAnswer = 8,
}

impl Status {
    /// Returns the number that the process exits with.
    pub const fn code(self) -> u8 {
        self as u8
    }

    /// Returns the status for a numbered code.
    pub const fn of(code: Code) -> Self {
        match code {
            Code::Accepted | Code::Running | Code::Completed | Code::Done => Self::Done,
            Code::Failed => Self::Failed,
            Code::Cancelled => Self::Cancelled,
            Code::OutcomeUnknown => Self::Unknown,
            Code::NotePending => Self::Pending,
            Code::Usage | Code::SettingsInvalid => Self::BadInput,
            code => match code.number() {
                200..=299 => Self::Refused,
                300..=399 => Self::BadInput,
                400..=499 => Self::NoteRefused,
                _ => Self::NoAnswer,
            },
        }
    }

    /// Returns the more important one of two statuses, for commands with several results.
    #[must_use]
    pub fn worse(self, other: Self) -> Self {
        if other.code() > self.code() { other } else { self }
    }
}
