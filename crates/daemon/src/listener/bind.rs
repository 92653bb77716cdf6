//! Sockets of the HTTP listeners.

use bulrushlink_core::{Code, Error};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::time::Duration;
use tiny_http::Server;

/// Time after which a client that doesn't read its answer is given up, in milliseconds.
const WRITE_TIMEOUT_MS: u64 = 5_000;

/// Binds a socket whose connections give up on clients that don't read.
///
/// The library sets no time-out and doesn't give us its connections. On Linux they inherit the
/// write time-out of the listening socket, which the standard library sets through its other
/// socket type. A read time-out can't be set that way: it would end the library's accept loop.
pub(crate) fn bind(addr: SocketAddr) -> Result<TcpListener, Error> {
    bind_with(addr, Duration::from_millis(WRITE_TIMEOUT_MS))
}

/// Binds a socket with another write time-out.
pub(super) fn bind_with(addr: SocketAddr, timeout: Duration) -> Result<TcpListener, Error> {
    let fault = |e: std::io::Error| Error::new(Code::Unreachable, format!("{addr}: {e}"));
    let listener = TcpListener::bind(addr).map_err(fault)?;
    let socket = TcpStream::from(OwnedFd::from(listener));
    socket.set_write_timeout(Some(timeout)).map_err(fault)?;
    Ok(TcpListener::from(OwnedFd::from(socket)))
}

/// Opens the library's server on a bound socket.
pub(super) fn open_server(socket: &TcpListener) -> Result<Server, Error> {
    let fault = |text: String| Error::new(Code::Unreachable, text);
    let socket = socket.try_clone().map_err(|e| fault(e.to_string()))?;
    Server::from_listener(socket, None).map_err(|e| fault(e.to_string()))
}
