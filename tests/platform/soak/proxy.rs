//! A loopback proxy that misbehaves: it stands for the network between two processes.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time after which a waiting thread looks at the mood again.
const LOOK: Duration = Duration::from_millis(10);
/// Bytes passed on at a time.
const CHUNK: usize = 16 * 1024;

/// How the network behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mood {
    /// Bytes pass at once.
    Clear,
    /// Each piece of data is late by so many milliseconds.
    Slow(u64),
    /// Connections are reset, new ones too.
    Reset,
    /// Nothing passes to the server until the mood changes; then it does.
    CutTo,
    /// Nothing comes back from the server until the mood changes; then it does.
    CutFrom,
}

struct State {
    server: SocketAddr,
    mood: Mutex<Mood>,
    /// Connections opened before this generation are silent for good.
    generation: AtomicU64,
    stopped: AtomicBool,
}

/// A running proxy.
pub(crate) struct Proxy {
    state: Arc<State>,
    addr: SocketAddr,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.state.stopped.store(true, Ordering::SeqCst);
    }
}

impl State {
    fn mood(&self) -> Mood {
        *self.mood.lock().expect("no holder panics")
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    fn generation(&self) -> u64 {
        self.generation.load(Ordering::SeqCst)
    }
}

impl Proxy {
    /// Opens a proxy on a port that the system picks.
    pub(crate) fn open(server: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let addr = listener.local_addr().expect("a bound listener has an address");
        listener.set_nonblocking(true).expect("a listener can be non-blocking");
        let state = Arc::new(State {
            server,
            mood: Mutex::new(Mood::Clear),
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

    /// Changes the behaviour from now on.
    pub(crate) fn set(&self, mood: Mood) {
        *self.state.mood.lock().expect("no holder panics") = mood;
    }

    /// Lets all present connections fall silent for good; new ones work.
    pub(crate) fn silence(&self) {
        self.state.generation.fetch_add(1, Ordering::SeqCst);
    }
}

fn accept(listener: &TcpListener, state: &Arc<State>) {
    while !state.is_stopped() {
        let client = match listener.accept() {
            Ok((client, _)) => client,
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                std::thread::sleep(LOOK);
                continue;
            }
            Err(error) => panic!("the proxy can't accept: {error}"),
        };
        if state.mood() == Mood::Reset {
            continue;
        }
        // A server that can't be reached looks like a reset to the client.
        let Ok(server) = TcpStream::connect(state.server) else { continue };
        let generation = state.generation();
        let pairs = [(&client, &server, true), (&server, &client, false)];
        for (from, to, forth) in pairs {
            let (from, to) = (from.try_clone(), to.try_clone());
            let (Ok(from), Ok(to)) = (from, to) else { continue };
            let state = state.clone();
            std::thread::spawn(move || pass(&state, from, to, forth, generation));
        }
    }
}

/// Passes bytes on until one side ends.
fn pass(state: &State, mut from: TcpStream, mut to: TcpStream, forth: bool, generation: u64) {
    let mut chunk = vec![0; CHUNK];
    from.set_read_timeout(Some(LOOK)).expect("a time-out can be set");
    from.set_nonblocking(false).expect("a stream can block");
    while !state.is_stopped() && state.mood() != Mood::Reset {
        let length = match from.read(&mut chunk) {
            Ok(0) => break,
            Ok(length) => length,
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => continue,
            Err(_) => break,
        };
        if let Mood::Slow(millis) = state.mood() {
            std::thread::sleep(Duration::from_millis(millis));
        }
        let held = || match state.mood() {
            Mood::CutTo => forth,
            Mood::CutFrom => !forth,
            _ => state.generation() > generation,
        };
        while held() && !state.is_stopped() {
            std::thread::sleep(LOOK);
        }
        if to.write_all(&chunk[..length]).is_err() {
            break;
        }
    }
    // Both directions end, as with a reset; the peer may be gone already.
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
