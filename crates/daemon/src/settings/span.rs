//! Deserializes time spans: text such as `8s`, or a number of milliseconds.

use bulrushlink_core::Span;
use serde::Deserializer;
use serde::de::{Error, Visitor};

struct SpanVisitor;

impl Visitor<'_> for SpanVisitor {
    type Value = Span;

    fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("a time such as \"8s\", or a number of milliseconds")
    }

    fn visit_u64<E: Error>(self, millis: u64) -> Result<Span, E> {
        Ok(Span(millis))
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<Span, E> {
        text.parse().map_err(|error: bulrushlink_core::Error| E::custom(error.text()))
    }
}

/// Deserializes a span from either form.
pub(super) fn read<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Span, D::Error> {
    deserializer.deserialize_any(SpanVisitor)
}
