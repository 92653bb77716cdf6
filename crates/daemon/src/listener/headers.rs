//! Bounds of the request line and the headers.
//!
//! The library reads them whole before it hands a request on, so that this check comes after
//! their memory was spent; it keeps them from going any further.

use bulrushlink_core::{Code, Error};
use tiny_http::Request;

/// The longest URL, in bytes.
const URL_MAX_BYTES: usize = 2 * 1024;
/// The most headers.
const HEADERS_MAX: usize = 64;
/// The most bytes of all headers together.
const HEADERS_MAX_BYTES: usize = 16 * 1024;

/// Refuses a request whose URL or headers are over their bounds.
pub(super) fn check(request: &Request) -> Result<(), Error> {
    if request.url().len() > URL_MAX_BYTES {
        return Err(Error::new(Code::TooLarge, format!("the URL is over {URL_MAX_BYTES} bytes")));
    }
    let headers = request.headers();
    let sizes = headers.iter().map(|h| h.field.as_str().as_str().len() + h.value.len());
    if headers.len() > HEADERS_MAX || sizes.sum::<usize>() > HEADERS_MAX_BYTES {
        let text = format!("over {HEADERS_MAX} headers or {HEADERS_MAX_BYTES} bytes of them");
        return Err(Error::new(Code::TooLarge, text));
    }
    Ok(())
}
