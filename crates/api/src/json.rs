//! JSON from outside, with the path of the field that is wrong.
//!
//! `serde_json` tells the line and column at which it gave up; the path is found by following the
//! text up to there. That costs a second pass over a text that is refused anyway, and needs no
//! other deserialiser.

use bulrushlink_core::{Code, Error};
use serde::de::DeserializeOwned;
use serde_json::error::Category;

#[cfg(test)]
mod tests;

/// Reads a JSON text.
///
/// # Errors
///
/// [`Code::Malformed`] when the text isn't JSON, and [`Code::FieldInvalid`] with the path of the
/// field, such as `/shape/tasks`, when it is JSON of another form.
pub fn from_json<T: DeserializeOwned>(text: &str) -> Result<T, Error> {
    serde_json::from_str(text).map_err(|error| classify(text, &error))
}

fn classify(text: &str, error: &serde_json::Error) -> Error {
    let full = error.to_string();
    let message = full.split(" at line ").next().unwrap_or(&full);
    // The text of an error of ours, such as a wrong identifier, comes back as a whole.
    let ours = format!("E{}: {}: ", Code::FieldInvalid.number(), Code::FieldInvalid);
    let message = message.strip_prefix(&ours).unwrap_or(message);
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

/// Both `line` and `column` begin at 1, and the column counts bytes.
fn offset(text: &str, line: usize, column: usize) -> usize {
    let before: usize = text.split_inclusive('\n').take(line.saturating_sub(1)).map(str::len).sum();
    (before + column).min(text.len())
}

enum Level {
    Object { key: String, value: bool },
    Array { index: usize },
}

/// Returns the path of the value that the text is within at byte `end`. The text is JSON up to
/// there.
fn path_at(text: &str, end: usize) -> String {
    let bytes = text.as_bytes();
    let mut levels: Vec<Level> = Vec::new();
    let mut at = 0;
    while at < end {
        match bytes[at] {
            b'"' => {
                let close = string_end(bytes, at);
                if let Some(Level::Object { key, value: false }) = levels.last_mut() {
                    *key = text.get(at + 1..close).unwrap_or_default().to_string();
                }
                at = close;
            }
            b'{' => levels.push(Level::Object { key: String::new(), value: false }),
            b'[' => levels.push(Level::Array { index: 0 }),
            b'}' | b']' => {
                levels.pop();
            }
            b':' => {
                if let Some(Level::Object { value, .. }) = levels.last_mut() {
                    *value = true;
                }
            }
            // A comma right at the end still belongs to the value before it.
            b',' if at + 1 < end => match levels.last_mut() {
                Some(Level::Object { value, .. }) => *value = false,
                Some(Level::Array { index }) => *index += 1,
                None => {}
            },
            _ => {}
        }
        at += 1;
    }
    levels.iter().map(Level::step).collect()
}

/// Returns the place of the quote that ends the string that begins at `start`.
fn string_end(bytes: &[u8], start: usize) -> usize {
    let mut at = start + 1;
    while at < bytes.len() && bytes[at] != b'"' {
        at += if bytes[at] == b'\\' { 2 } else { 1 };
    }
    at.min(bytes.len())
}

impl Level {
    fn step(&self) -> String {
        match self {
            Self::Object { key, .. } if key.is_empty() => String::new(),
            Self::Object { key, .. } => format!("/{key}"),
            Self::Array { index } => format!("/{index}"),
        }
    }
}
