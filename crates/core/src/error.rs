//! One error type with a numbered code, so that scripts can act on a number and people on a text.
//!
//! The numbers are part of the interface: they are listed in `docs/errors.md` and never reused.

use derive_more::{Display, Error as StdError};
use serde::{Deserialize, Serialize};

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $text:literal;)*) => {
        /// A numbered result code.
        #[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "u16", into = "u16")]
        pub enum Code {
            $($(#[$doc])* #[display($text)] $name = $number,)*
        }

        impl Code {
            /// Every code, in ascending order.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Returns the code's number.
            pub const fn number(self) -> u16 {
                self as u16
            }
        }
    };
}

codes! {
    /// The job is durable, or held by a waiting caller, and has not started.
    Accepted = 100, "accepted";
    /// The job is running.
    Running = 101, "running";
    /// The job has completed and its result is attached.
    Completed = 102, "completed";
    /// The job ran and failed.
    Failed = 103, "failed";
    /// The job was cancelled.
    Cancelled = 104, "cancelled";
    /// Nothing can settle whether the job ran to its end; it will not be started again.
    OutcomeUnknown = 105, "outcome unknown";
    /// An operator's request was carried out.
    Done = 110, "done";

    /// Refused, not run: the workspace's queue is full.
    QueueFull = 200, "queue full";
    /// Refused, not run: the daemon is over its limits.
    Overloaded = 201, "overloaded";
    /// Refused, not run: the store can't make the job durable now.
    StoreUnavailable = 202, "store unavailable";
    /// Refused, not run: no failure domain in service can take the job.
    NoDomain = 203, "no failure domain in service";
    /// Refused, not run: this daemon has not learned any release note yet.
    NoNote = 204, "no release note in force";
    /// Refused, not run: no part of the hardware can ever hold the shape.
    NeverFits = 205, "shape can never fit";
    /// Refused, not run: the workspace is not in the release note in force.
    UnknownWorkspace = 206, "unknown workspace";
    /// Refused, not run: the daemon is stopping and no peer could take the job.
    Stopping = 207, "daemon is stopping";
    /// Refused, not run: the job waited longer than its limit.
    WaitedTooLong = 208, "waited too long";
    /// Refused, not run: the deadline can't be met any more.
    DeadlinePassed = 209, "deadline passed before the start";

    /// The body is not the expected JSON.
    Malformed = 300, "malformed body";
    /// A field is unknown, missing, out of range or of the wrong form.
    FieldInvalid = 301, "invalid field";
    /// The body or a header is larger than the limit.
    TooLarge = 302, "too large";
    /// There is no such path or method.
    NoSuchPath = 303, "no such path";
    /// The request identifier was used before with another body.
    RequestConflict = 304, "request identifier was used with another body";
    /// There is no such job.
    NoSuchJob = 305, "no such job";
    /// The credentials are missing or wrong.
    Unauthorised = 306, "unauthorised";

    /// Another release note won; the answer names the head version.
    NoteConflict = 400, "release note conflicts with the head";
    /// The release note contradicts itself or the state it is based on.
    NoteInvalid = 401, "invalid release note";
    /// The guarantees don't fit the healthy hardware.
    NoteUnfit = 402, "guarantees do not fit the hardware";
    /// The release note is written, but not yet in force everywhere.
    NotePending = 403, "release note pending";

    /// The settings can't be used.
    SettingsInvalid = 500, "invalid settings";
    /// An address can't be bound or reached.
    Unreachable = 501, "unreachable";
    /// A peer's message failed authentication or decoding.
    PeerRejected = 502, "peer message rejected";
    /// The other side answered in a way that its protocol doesn't allow.
    BadAnswer = 503, "unexpected answer";
    /// The other side didn't answer in time; the effect is not known.
    TimedOut = 504, "timed out";
    /// The command line is wrong.
    Usage = 505, "wrong usage";
}

impl From<Code> for u16 {
    fn from(code: Code) -> Self {
        code.number()
    }
}

impl TryFrom<u16> for Code {
    type Error = Error;

    fn try_from(number: u16) -> Result<Self, Error> {
        let found = Self::ALL.binary_search_by_key(&number, |code| code.number());
        found
            .map(|i| Self::ALL[i])
            .map_err(|_| Error::new(Self::FieldInvalid, format!("{number} is not a code")))
    }
}

/// An error with a code, an optional path to the offending field, and a text.
#[derive(Clone, Debug, Display, StdError, PartialEq, Eq, Serialize, Deserialize)]
#[display("E{}: {code}{}: {text}", code.number(), Self::path_text(field))]
pub struct Error {
    code: Code,
    field: Option<String>,
    text: String,
}

impl Error {
    /// Makes an error without a field.
    pub fn new(code: Code, text: impl Into<String>) -> Self {
        Self { code, field: None, text: text.into() }
    }

    /// Makes an error about the field at `path`, such as `/guarantees/2/count`.
    pub fn at(code: Code, path: impl Into<String>, text: impl Into<String>) -> Self {
        Self { code, field: Some(path.into()), text: text.into() }
    }

    /// Returns the same error under `prefix`, for a field within a larger document.
    #[must_use]
    pub fn under(mut self, prefix: &str) -> Self {
        self.field = Some(format!("{prefix}{}", self.field.unwrap_or_default()));
        self
    }

    /// Returns the numbered code.
    pub const fn code(&self) -> Code {
        self.code
    }

    /// Returns the path to the offending field.
    pub fn field(&self) -> Option<&str> {
        self.field.as_deref()
    }

    /// Returns the text without code and field.
    pub fn text(&self) -> &str {
        &self.text
    }

    fn path_text(field: &Option<String>) -> String {
        field.as_ref().map(|path| format!(" at {path}")).unwrap_or_default()
    }
}
