//! Bodies of messages, decoded as they arrive.
//!
//! Each byte is looked at once, and only the body itself is kept: parsing again at each read takes time in
//! proportion to the square of a body, and the framing of small chunks is larger than the body.

use crate::parse::{Bounds, Malformed};

/// Smallest buffer of a body in bytes; larger ones double.
const BUFFER_MIN: usize = 1_024;

/// What comes next in a chunked body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Chunk {
    /// The size of a chunk, of which the digits so far make this number; `None` before the first one.
    Size(Option<usize>),
    /// The rest of the line after the size, which is ignored.
    Extension(usize),
    /// The line feed after the size.
    SizeEnd(usize),
    /// This many bytes of data.
    Data(usize),
    /// The line end after the data: whether its carriage return has come.
    DataEnd(bool),
    /// A line of the trailers, with its length so far without the line end. An empty one ends the body.
    Trailer(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    /// The body has this many bytes in all.
    Sized(usize),
    Chunked(Chunk),
}

/// The part of a body that has arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct BodyDecoder {
    framing: Framing,
    body: Vec<u8>,
    /// Bytes of the framing so far.
    overhead: usize,
}

/// Outcome of decoding the next bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Progress {
    /// Bytes that belong to this body.
    pub(crate) used: usize,
    /// Whether the body is complete.
    pub(crate) complete: bool,
}

impl BodyDecoder {
    /// Returns the decoder of a body with a known length.
    ///
    /// # Errors
    ///
    /// [`Malformed::BodyTooLarge`] if the length exceeds the bounds.
    pub(crate) fn sized(length: usize, bounds: &Bounds) -> Result<Self, Malformed> {
        if length > bounds.body {
            return Err(Malformed::BodyTooLarge);
        }
        Ok(Self { framing: Framing::Sized(length), body: Vec::new(), overhead: 0 })
    }

    /// Returns the decoder of a chunked body.
    pub(crate) fn chunked() -> Self {
        let framing = Framing::Chunked(Chunk::Size(None));
        Self { framing, body: Vec::new(), overhead: 0 }
    }

    /// Returns the memory that the body takes, in bytes.
    pub(crate) fn memory(&self) -> usize {
        self.body.capacity()
    }

    /// Returns false if so many bytes can't hold the whole body.
    pub(crate) fn may_complete(&self, bytes: usize) -> bool {
        !matches!(self.framing, Framing::Sized(length) if bytes < length)
    }

    pub(crate) fn into_body(self) -> Vec<u8> {
        self.body
    }

    /// Decodes the bytes that follow those of earlier calls.
    ///
    /// # Errors
    ///
    /// If the body is malformed, or exceeds the bounds.
    pub(crate) fn feed(&mut self, bytes: &[u8], bounds: &Bounds) -> Result<Progress, Malformed> {
        let mut used = 0;
        loop {
            let rest = &bytes[used..];
            let chunk = match self.framing {
                Framing::Sized(length) => {
                    let missing = length.saturating_sub(self.body.len());
                    used += self.append(rest, missing, length);
                    return Ok(Progress { used, complete: self.body.len() >= length });
                }
                Framing::Chunked(chunk) => chunk,
            };
            let Some(first) = rest.first() else { return Ok(Progress { used, complete: false }) };
            let next = if let Chunk::Data(left) = chunk {
                let length = self.append(rest, left, bounds.body);
                used += length;
                match left - length {
                    0 => Chunk::DataEnd(false),
                    left => Chunk::Data(left),
                }
            } else {
                used += 1;
                self.overhead += 1;
                if self.overhead > bounds.framing {
                    return Err(Malformed::FramingTooLarge);
                }
                match self.step(chunk, *first, bounds)? {
                    Some(next) => next,
                    None => return Ok(Progress { used, complete: true }),
                }
            };
            self.framing = Framing::Chunked(next);
        }
    }

    /// Appends at most `most` bytes of `rest` to a body of at most `limit` bytes; returns their number.
    fn append(&mut self, rest: &[u8], most: usize, limit: usize) -> usize {
        let bytes = &rest[..most.min(rest.len())];
        let length = self.body.len() + bytes.len();
        if length > self.body.capacity() {
            // Doubles up to the limit, so that a body never takes twice its largest size.
            let capacity = self.body.capacity().saturating_mul(2).max(BUFFER_MIN).min(limit);
            self.body.reserve_exact(capacity.max(length) - self.body.len());
        }
        self.body.extend_from_slice(bytes);
        bytes.len()
    }

    /// Returns what follows one byte of the framing; `None` after the last byte of the body.
    fn step(&self, chunk: Chunk, byte: u8, bounds: &Bounds) -> Result<Option<Chunk>, Malformed> {
        let invalid = || Malformed::Syntax("invalid chunk".to_string());
        let next = match (chunk, byte) {
            (Chunk::Size(size), byte) if byte.is_ascii_hexdigit() => {
                let digit = char::from(byte).to_digit(16).ok_or_else(invalid)? as usize;
                let size = size.unwrap_or(0).checked_mul(16).and_then(|s| s.checked_add(digit));
                // A chunk is rejected by its announced size, before its data arrives.
                let room = bounds.body.saturating_sub(self.body.len());
                let size = size.filter(|s| *s <= room).ok_or(Malformed::BodyTooLarge)?;
                Chunk::Size(Some(size))
            }
            (Chunk::Size(Some(size)), b';' | b' ' | b'\t') => Chunk::Extension(size),
            (Chunk::Size(Some(size)) | Chunk::Extension(size), b'\r') => Chunk::SizeEnd(size),
            (Chunk::Extension(size), byte) if byte != b'\n' => Chunk::Extension(size),
            (Chunk::SizeEnd(0), b'\n') => Chunk::Trailer(0),
            (Chunk::SizeEnd(size), b'\n') => Chunk::Data(size),
            (Chunk::DataEnd(false), b'\r') => Chunk::DataEnd(true),
            (Chunk::DataEnd(true), b'\n') => Chunk::Size(None),
            (Chunk::Trailer(length), b'\r') => Chunk::Trailer(length),
            (Chunk::Trailer(0), b'\n') => return Ok(None),
            (Chunk::Trailer(_), b'\n') => Chunk::Trailer(0),
            (Chunk::Trailer(length), _) => Chunk::Trailer(length.saturating_add(1)),
            _ => return Err(invalid()),
        };
        Ok(Some(next))
    }
}
