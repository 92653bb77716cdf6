//! Parses JSON from outside the process; an error names the path of the invalid field.
//!
//! `serde_json` reports only the line and column of an error. The path is found by scanning the
//! text up to that position. That costs a second pass, but only over invalid input, and needs no
//! other deserializer.

use bulrushlink_core::{Code, Error};
use serde::de::DeserializeOwned;
use serde_json::error::Category;

#[cfg(test)]
mod tests;

/// Parses a JSON text.
///
/// # Errors
///
/// [`Code::Malformed`] if the text isn't JSON, and [`Code::FieldInvalid`] with the path of the
/// field, such as `/shape/tasks`, if it is JSON that doesn't match `T`.
pub fn from_json<T: DeserializeOwned>(text: &str) -> Result<T, Error> {
    serde_json::from_str(text).map_err(|error| classify(text, &error))
}

fn classify(text: &str, error: &serde_json::Error) -> Error {
    let full = error.to_string();
    let message = full.split(" at line ").next().unwrap_or(&full);
    // `serde_json` embeds the whole text of an `Error` of this project, such as that of an invalid
    // identifier; its code is removed, since the error returned here carries the same one.
    let own_prefix = format!("E{}: {}: ", Code::FieldInvalid.number(), Code::FieldInvalid);
    let message = message.strip_prefix(&own_prefix).unwrap_or(message);
    if error.classify() != Category::Data {
        return Error::new(Code::Malformed, full);
    }
    let mut path = path_at(text, offset(text, error.line(), error.column()));
    if let Some(field) = quoted_after(message, "missing field ") {
        path = format!("{path}/{field}");
    }
    Error::at(Code::FieldInvalid, if path.is_empty() { "/".to_string() } else { path }, message)
}

fn quoted_after<'a>(message: &'a str, start: &str) -> Option<&'a str> {
    message.strip_prefix(start)?.strip_prefix('`')?.split('`').next()
}

/// Returns the byte offset of a position. `line` and `column` begin at 1, and the column counts
/// bytes.
fn offset(text: &str, line: usize, column: usize) -> usize {
    let before: usize = text.split_inclusive('\n').take(line.saturating_sub(1)).map(str::len).sum();
    (before + column).min(text.len())
}

/// An enclosing object or array during the scan.
enum Level {
    /// `in_value` is true between the colon after `key` and the next comma.
    Object {
        key: String,
        in_value: bool,
    },
    Array {
        index: usize,
    },
}

/// Returns the path of the value that contains byte `end`. The text must be valid JSON up to there.
fn path_at(text: &str, end: usize) -> String {
    let bytes = text.as_bytes();
    let mut levels: Vec<Level> = Vec::new();
    let mut at = 0;
    while at < end {
        match bytes[at] {
            b'"' => {
                let close = string_end(bytes, at);
                if let Some(Level::Object { key, in_value: false }) = levels.last_mut() {
                    *key = text.get(at + 1..close).unwrap_or_default().to_string();
                }
                at = close;
            }
            b'{' => levels.push(Level::Object { key: String::new(), in_value: false }),
            b'[' => levels.push(Level::Array { index: 0 }),
            b'}' | b']' => {
                levels.pop();
            }
            b':' => {
                if let Some(Level::Object { in_value, .. }) = levels.last_mut() {
                    *in_value = true;
                }
            }
            // A comma right before `end` still belongs to the value before it.
            b',' if at + 1 < end => match levels.last_mut() {
                Some(Level::Object { in_value, .. }) => *in_value = false,
                Some(Level::Array { index }) => *index += 1,
                None => {}
            },
            _ => {}
        }
        at += 1;
    }
    levels.iter().map(Level::segment).collect()
}

/// Returns the position of the closing quote of the string that begins at `start`.
fn string_end(bytes: &[u8], start: usize) -> usize {
    let mut at = start + 1;
    while at < bytes.len() && bytes[at] != b'"' {
        at += if bytes[at] == b'\\' { 2 } else { 1 };
    }
    at.min(bytes.len())
}

impl Level {
    fn segment(&self) -> String {
        match self {
            Self::Object { key, .. } if key.is_empty() => String::new(),
            Self::Object { key, .. } => format!("/{key}"),
            Self::Array { index } => format!("/{index}"),
        }
    }
}
