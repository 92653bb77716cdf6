//! Limits on the request line and the headers.
//!
//! The library reads the whole head before it delivers a request, so this check can't save that
//! memory; it only keeps an oversized head from being processed further.

use bulrushlink_core::{Code, Error};
use tiny_http::Request;

/// The longest URL.
const URL_MAX_BYTES: usize = 2 * 1024;
/// The most headers.
const HEADERS_MAX: usize = 64;
/// The largest total size of all headers.
const HEADERS_MAX_BYTES: usize = 16 * 1024;

/// Refuses a request whose URL or headers exceed a limit.
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
