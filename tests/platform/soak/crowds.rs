//! Crowds of callers that don't behave: they hold connections with requests that don't end, or don't read answers.

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

/// Size of a body, under the largest that the configuration allows.
const BODY_BYTES: usize = 65_000;
/// Requests that are sent at once without reading the answers.
const PIPELINED: usize = 500;
/// Time after which a connection counts as refused; a daemon may be suspended.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(20);

/// Connections of a crowd, closed on drop.
pub(crate) struct Crowd {
    _streams: Vec<TcpStream>,
}

impl Crowd {
    /// Opens a crowd of a random kind at a daemon, of more connections than the daemon allows at times.
    pub(crate) fn open(addr: &str, random: &mut fastrand::Rng) -> Self {
        let head = "POST /replay/0000000000000001 HTTP/1.1\r\nHost: jobs.example\r\n";
        let bytes = match random.u8(..6) {
            0 => String::new(),
            1 => head.to_string(),
            2 => {
                let body = " ".repeat(BODY_BYTES - 1);
                format!("{head}Content-Length: {BODY_BYTES}\r\n\r\n{body}")
            }
            3 => {
                let body = " ".repeat(BODY_BYTES - 1);
                format!("{head}Transfer-Encoding: chunked\r\n\r\n{BODY_BYTES:x}\r\n{body}")
            }
            4 => format!(
                "{head}Transfer-Encoding: chunked\r\n\r\n{}",
                "1\r\n \r\n".repeat(BODY_BYTES)
            ),
            _ => "GET /none HTTP/1.1\r\nHost: jobs.example\r\n\r\n".repeat(PIPELINED),
        };
        let addr = addr.parse().expect("an address");
        let connections = random.usize(20..300);
        println!("crowd of {connections} with {} bytes each at {addr}", bytes.len());
        let mut streams = Vec::new();
        for _ in 0..connections {
            let Ok(mut stream) = TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT) else { break };
            stream.set_nonblocking(true).expect("the stream can be non-blocking");
            // The daemon may refuse any of it, and what it doesn't read at once is left out.
            let _ = stream.write(bytes.as_bytes());
            streams.push(stream);
        }
        Self { _streams: streams }
    }
}
