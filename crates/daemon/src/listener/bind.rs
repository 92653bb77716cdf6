//! Binds the sockets of the HTTP listeners.

use bulrushlink_core::{Code, Error};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::time::Duration;
use tiny_http::Server;

/// Time after which the connection of a client that doesn't read its answer is closed.
const WRITE_TIMEOUT_MS: u64 = 5_000;

/// Binds a socket whose connections have a write timeout.
///
/// The library sets no timeouts and doesn't expose its connections. On Linux, connections inherit
/// the write timeout of the listening socket. The standard library sets timeouts on `TcpStream`
/// only, hence the conversion. A read timeout can't be set like this: it would end the library's
/// accept loop.
pub(crate) fn bind(addr: SocketAddr) -> Result<TcpListener, Error> {
    bind_with(addr, Duration::from_millis(WRITE_TIMEOUT_MS))
}

/// Binds a socket with the given write timeout.
pub(super) fn bind_with(addr: SocketAddr, timeout: Duration) -> Result<TcpListener, Error> {
    let unreachable = |e: std::io::Error| Error::new(Code::Unreachable, format!("{addr}: {e}"));
    let listener = TcpListener::bind(addr).map_err(unreachable)?;
    let socket = TcpStream::from(OwnedFd::from(listener));
    socket.set_write_timeout(Some(timeout)).map_err(unreachable)?;
    Ok(TcpListener::from(OwnedFd::from(socket)))
}

/// Opens the library's server on a bound socket.
pub(super) fn open_server(socket: &TcpListener) -> Result<Server, Error> {
    let unreachable = |text: String| Error::new(Code::Unreachable, text);
    let socket = socket.try_clone().map_err(|e| unreachable(e.to_string()))?;
    Server::from_listener(socket, None).map_err(|e| unreachable(e.to_string()))
}
