//! Exit statuses, which let a script act on the outcome without parsing any text.

use bulrushlink_core::Code;

/// Section of the help overview that lists the exit statuses.
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

/// Outcome of a command; the discriminant is the exit status of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Accepted, running, completed or in force.
    Done = 0,
    /// The job ran and failed.
    Failed = 1,
    /// Invalid arguments or input; nothing was changed.
    BadInput = 2,
    /// The job was refused: this submission is not run.
    Refused = 3,
    /// The job was cancelled.
    Cancelled = 4,
    /// The outcome of the job is unknown.
    Unknown = 5,
    /// The release note was not accepted.
    NoteRefused = 6,
    /// The release note is accepted, but not in force on all daemons.
    Pending = 7,
    /// No answer came, or not the expected one.
    NoAnswer = 8,
}

impl Status {
    /// Returns the exit status of the process.
    pub const fn code(self) -> u8 {
        self as u8
    }

    /// Returns the exit status for the code of an answer or error.
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

    /// Returns the status with the larger number, for commands with several results.
    #[must_use]
    pub fn worse(self, other: Self) -> Self {
        if other.code() > self.code() { other } else { self }
    }
}
