//! Errors that carry a numeric code for scripts and a text for people.
//!
//! The numbers are part of the public interface: `docs/errors.md` lists them, and none is reused.

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
    /// The job has not started; it is stored durably, or its caller waits on an open request.
    Accepted = 100, "accepted";
    /// The job is running.
    Running = 101, "running";
    /// The job completed; the answer carries its result.
    Completed = 102, "completed";
    /// The job ran and failed.
    Failed = 103, "failed";
    /// The job was cancelled.
    Cancelled = 104, "cancelled";
    /// Whether the job completed can't be determined; it is not started again.
    OutcomeUnknown = 105, "outcome unknown";
    /// An operator's request was carried out.
    Done = 110, "done";

    /// Refused, not run: the workspace's queue is full.
    QueueFull = 200, "queue full";
    /// Refused, not run: the daemon is over its limits.
    Overloaded = 201, "overloaded";
    /// Refused, not run: the store can't persist the job at the moment.
    StoreUnavailable = 202, "store unavailable";
    /// Refused, not run: no failure domain in service can take the job.
    NoDomain = 203, "no failure domain in service";
    /// Refused, not run: this daemon has not read any release note yet.
    NoNote = 204, "no release note in force";
    /// Refused, not run: no part of the hardware is large enough for the shape.
    NeverFits = 205, "shape can never fit";
    /// Refused, not run: the workspace is not in the release note in force.
    UnknownWorkspace = 206, "unknown workspace";
    /// Refused, not run: the daemon is stopping and no peer could take over the job.
    Stopping = 207, "daemon is stopping";
    /// Refused, not run: the job was queued for longer than its limit.
    WaitedTooLong = 208, "waited too long";
    /// Refused, not run: the deadline can't be met any more.
    DeadlinePassed = 209, "deadline passed before the start";

    /// The body is not the expected JSON.
    Malformed = 300, "malformed body";
    /// A field is unknown, missing, out of range or of the wrong form.
    FieldInvalid = 301, "invalid field";
    /// The body or a header is larger than the limit.
    TooLarge = 302, "too large";
    /// The path or method does not exist.
    NoSuchPath = 303, "no such path";
    /// The request id was used before with another body.
    RequestConflict = 304, "request identifier was used with another body";
    /// No job has this key.
    NoSuchJob = 305, "no such job";
    /// The credentials are missing or wrong.
    Unauthorised = 306, "unauthorised";

    /// Another release note was accepted first; the answer gives the head version.
    NoteConflict = 400, "release note conflicts with the head";
    /// The release note contradicts itself or the state it is based on.
    NoteInvalid = 401, "invalid release note";
    /// The guarantees don't fit the healthy hardware.
    NoteUnfit = 402, "guarantees do not fit the hardware";
    /// The release note is stored, but not yet in force everywhere.
    NotePending = 403, "release note pending";

    /// The settings can't be read or are invalid.
    SettingsInvalid = 500, "invalid settings";
    /// An address can't be bound or reached.
    Unreachable = 501, "unreachable";
    /// A peer's message failed authentication or decoding.
    PeerRejected = 502, "peer message rejected";
    /// The response violates the protocol.
    BadAnswer = 503, "unexpected answer";
    /// No response arrived in time; whether the request took effect is unknown.
    TimedOut = 504, "timed out";
    /// The command line is invalid.
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
        let index = Self::ALL.binary_search_by_key(&number, |code| code.number());
        index
            .map(|i| Self::ALL[i])
            .map_err(|_| Error::new(Self::FieldInvalid, format!("{number} is not a code")))
    }
}

/// An error with a code, an optional path to the offending field, and a text.
#[derive(Clone, Debug, Display, StdError, PartialEq, Eq, Serialize, Deserialize)]
#[display("E{}: {code}{}: {text}", code.number(), Self::path_suffix(field))]
pub struct Error {
    code: Code,
    field: Option<String>,
    text: String,
}

impl Error {
    /// Creates an error that concerns no single field.
    pub fn new(code: Code, text: impl Into<String>) -> Self {
        Self { code, field: None, text: text.into() }
    }

    /// Creates an error about the field at `path`, such as `/guarantees/2/count`.
    pub fn at(code: Code, path: impl Into<String>, text: impl Into<String>) -> Self {
        Self { code, field: Some(path.into()), text: text.into() }
    }

    /// Returns the error with `prefix` before its path, for a field nested in a larger document.
    #[must_use]
    pub fn with_prefix(mut self, prefix: &str) -> Self {
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

    /// Returns the text alone, without code and path.
    pub fn text(&self) -> &str {
        &self.text
    }

    fn path_suffix(field: &Option<String>) -> String {
        field.as_ref().map(|path| format!(" at {path}")).unwrap_or_default()
    }
}
