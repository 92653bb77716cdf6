//! A loopback proxy that injects network faults between two processes.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Interval at which a waiting thread reads the link state again.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Largest number of bytes forwarded at a time.
const CHUNK_BYTES: usize = 16 * 1024;

/// Rate of the narrowest links of the deployments, 10 Mbit/s, in bytes a second.
pub(crate) const NARROW_RATE: u64 = 1_250_000;

/// State of the network link that the proxy emulates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkState {
    /// Data is forwarded at once.
    Open,
    /// Each chunk is delayed by so many milliseconds.
    Slow(u64),
    /// All connections together carry so many bytes a second.
    Narrow(u64),
    /// Open connections are closed, and so are new ones.
    Reset,
    /// Data to the server is held until the state changes, then forwarded.
    BlockedToServer,
    /// Data from the server is held until the state changes, then forwarded.
    BlockedFromServer,
}

struct Shared {
    server: SocketAddr,
    link: Mutex<LinkState>,
    /// Held while a chunk is on a narrow link.
    sending: Mutex<()>,
    /// Bytes that the server has sent.
    sent: AtomicU64,
    /// Connections opened in an earlier generation never forward data again.
    generation: AtomicU64,
    stopped: AtomicBool,
}

/// A running proxy.
pub(crate) struct Proxy {
    state: Arc<Shared>,
    addr: SocketAddr,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.state.stopped.store(true, Ordering::SeqCst);
    }
}

impl Shared {
    fn link(&self) -> LinkState {
        *self.link.lock().expect("the lock is not poisoned")
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    fn generation(&self) -> u64 {
        self.generation.load(Ordering::SeqCst)
    }
}

impl Proxy {
    /// Opens a proxy on a port that the operating system chooses.
    pub(crate) fn open(server: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let addr = listener.local_addr().expect("a bound listener has an address");
        listener.set_nonblocking(true).expect("the listener can be non-blocking");
        let state = Arc::new(Shared {
            server,
            link: Mutex::new(LinkState::Open),
            sending: Mutex::new(()),
            sent: AtomicU64::new(0),
            generation: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
        });
        let shared = state.clone();
        std::thread::spawn(move || accept(&listener, &shared));
        Self { state, addr }
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the state of the link, for open and new connections.
    pub(crate) fn set(&self, link: LinkState) {
        *self.state.link.lock().expect("the lock is not poisoned") = link;
    }

    /// Returns the number of bytes that the server has sent through the proxy.
    pub(crate) fn sent(&self) -> u64 {
        self.state.sent.load(Ordering::SeqCst)
    }

    /// Stops forwarding on all open connections without closing them; new ones work.
    pub(crate) fn silence_open(&self) {
        self.state.generation.fetch_add(1, Ordering::SeqCst);
    }
}

fn accept(listener: &TcpListener, state: &Arc<Shared>) {
    while !state.is_stopped() {
        let client = match listener.accept() {
            Ok((client, _)) => client,
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                std::thread::sleep(POLL_INTERVAL);
                continue;
            }
            Err(error) => panic!("the proxy cannot accept connections: {error}"),
        };
        if state.link() == LinkState::Reset {
            continue;
        }
        // If the server is unreachable, the client's connection closes as with `Reset`.
        let Ok(server) = TcpStream::connect(state.server) else { continue };
        let generation = state.generation();
        let pairs = [(&client, &server, true), (&server, &client, false)];
        for (from, to, to_server) in pairs {
            let (from, to) = (from.try_clone(), to.try_clone());
            let (Ok(from), Ok(to)) = (from, to) else { continue };
            let state = state.clone();
            std::thread::spawn(move || forward(&state, from, to, to_server, generation));
        }
    }
}

/// Forwards data in one direction until a side closes or the link is reset.
fn forward(
    state: &Shared,
    mut from: TcpStream,
    mut to: TcpStream,
    to_server: bool,
    generation: u64,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    from.set_read_timeout(Some(POLL_INTERVAL)).expect("a read timeout can be set");
    from.set_nonblocking(false).expect("the stream can be blocking");
    while !state.is_stopped() && state.link() != LinkState::Reset {
        let length = match from.read(&mut chunk) {
            Ok(0) => break,
            Ok(length) => length,
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => continue,
            Err(_) => break,
        };
        match state.link() {
            LinkState::Slow(millis) => std::thread::sleep(Duration::from_millis(millis)),
            LinkState::Narrow(rate) => {
                let _turn = state.sending.lock().expect("the lock is not poisoned");
                std::thread::sleep(Duration::from_secs_f64(length as f64 / rate as f64));
            }
            _ => {}
        }
        if !to_server {
            state.sent.fetch_add(length as u64, Ordering::SeqCst);
        }
        let blocked = || match state.link() {
            LinkState::BlockedToServer => to_server,
            LinkState::BlockedFromServer => !to_server,
            _ => state.generation() > generation,
        };
        while blocked() && !state.is_stopped() {
            std::thread::sleep(POLL_INTERVAL);
        }
        if to.write_all(&chunk[..length]).is_err() {
            break;
        }
    }
    // Closes both directions, as a reset does; an error only means that a peer has closed already.
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
