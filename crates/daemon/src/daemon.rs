//! Runs a daemon: its event loop, sockets, signals and graceful stop.

use bulrushlink_core::{Code, Error};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use stakker::sync::{Channel, ChannelGuard};
use stakker::{ActorOwn, Stakker, actor, actor_new, call, fwd_to, ret_nop, ret_shutdown};
use stakker_mio::MioPoll;
use stakker_mio::mio::{Events, Poll};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{Sender, channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::calls::CallResults;
use crate::edge::Input;
use crate::edges::Edges;
use crate::listener::{bind, bound_addr};
use crate::node::Node;
use crate::peer_link::{POLL_PRIORITY, PeerSockets};
use crate::runtime::NodeActor;
use crate::settings::Settings;
use bulrushlink_telemetry::{Sink, open_log};

#[cfg(test)]
mod tests;

/// The longest sleep of the event loop, in milliseconds.
const POLL_WAIT_MAX_MS: u64 = 1_000;
/// The most I/O events taken from the operating system per poll.
const POLL_EVENTS_MAX: usize = 1_024;

/// All sockets that a daemon listens on.
pub(crate) struct Sockets {
    pub(crate) callers: TcpListener,
    pub(crate) operators: TcpListener,
    pub(crate) peers: PeerSockets,
}

/// Channels through which other threads stop a running daemon, gracefully or at once.
#[derive(Clone)]
struct Control {
    inputs: Channel<Input>,
    kills: Channel<()>,
}

/// Handle to a daemon that runs in a thread of its own.
pub struct Daemon {
    callers: SocketAddr,
    operators: SocketAddr,
    control: Control,
    thread: JoinHandle<Result<(), Error>>,
}

impl Sockets {
    fn bind(settings: &Settings) -> Result<Self, Error> {
        let member = settings.member(&settings.daemon);
        let peers = member
            .expect("own daemon missing from members although the settings were checked")
            .addr;
        let fault = |e| Error::new(Code::Unreachable, format!("{peers}: {e}"));
        Ok(Self {
            callers: bind(settings.callers)?,
            operators: bind(settings.operators)?,
            peers: PeerSockets::bind(peers).map_err(fault)?,
        })
    }
}

impl Daemon {
    /// Starts a daemon in a thread of its own, and returns once its sockets are open.
    ///
    /// # Errors
    ///
    /// [`Code::SettingsInvalid`] if the settings are invalid, and [`Code::Unreachable`] if an
    /// address can't be bound or the thread or its event loop can't be started.
    pub fn spawn(mut settings: Settings) -> Result<Self, Error> {
        settings.check()?;
        settings.members.sort_by(|a, b| a.id.cmp(&b.id));
        let sockets = Sockets::bind(&settings)?;
        let callers = bound_addr(&sockets.callers)?;
        let operators = bound_addr(&sockets.operators)?;
        let (sender, receiver) = channel();
        let name = settings.daemon.to_string();
        let thread = std::thread::Builder::new()
            .name(name)
            .spawn(move || run_loop(settings, sockets, &sender))
            .map_err(|e| Error::new(Code::Unreachable, e.to_string()))?;
        let Ok(control) = receiver.recv() else {
            let result = thread.join().unwrap_or_else(|e| std::panic::resume_unwind(e));
            return Err(result.err().unwrap_or_else(|| Error::new(Code::Unreachable, "no start")));
        };
        Ok(Self { callers, operators, control, thread })
    }

    /// Runs a daemon until SIGTERM or SIGINT, then stops it gracefully.
    ///
    /// # Errors
    ///
    /// As [`Self::spawn`].
    pub fn run(settings: Settings) -> Result<(), Error> {
        open_log(&settings.log, &settings.daemon, Sink::Stderr)?;
        let signals = Signals::new([SIGTERM, SIGINT]);
        let mut signals = signals.map_err(|e| Error::new(Code::Unreachable, e.to_string()))?;
        let daemon = Self::spawn(settings)?;
        let inputs = daemon.control.inputs.clone();
        std::thread::spawn(move || {
            for signal in signals.forever() {
                log::info!("received signal {signal}; stopping gracefully");
                inputs.send(Input::Stop);
            }
        });
        daemon.join()
    }

    /// Returns the address of the listener for callers.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the address of the listener for operators.
    pub fn operators(&self) -> SocketAddr {
        self.operators
    }

    /// Stops gracefully: waiting requests are answered, and jobs that the daemon owns are handed
    /// over to another daemon.
    ///
    /// # Errors
    ///
    /// The fault of the event loop, if one ended the daemon instead.
    pub fn stop(self) -> Result<(), Error> {
        self.control.inputs.send(Input::Stop);
        self.join()
    }

    /// Ends the daemon at once, without answers or messages to peers, as the loss of its host does.
    ///
    /// # Errors
    ///
    /// As [`Self::stop`].
    pub fn kill(self) -> Result<(), Error> {
        self.control.kills.send(());
        self.join()
    }

    fn join(self) -> Result<(), Error> {
        self.thread.join().unwrap_or_else(|panic| std::panic::resume_unwind(panic))
    }
}

/// Opens the poll loop.
///
/// Load pattern: requests of callers and results of calls, which other threads pass on, arrive all the
/// time. One poll passes on the events of one priority only, so wake-ups by these threads have the
/// priority of the sockets: with a higher one, the messages of the peers would lie unread, and the peers
/// seem dead.
fn open_poll(stakker: &mut Stakker) -> std::io::Result<MioPoll> {
    let events = Events::with_capacity(POLL_EVENTS_MAX);
    MioPoll::new(stakker, Poll::new()?, events, POLL_PRIORITY)
}

/// Runs the event loop until the edges shut it down; passes its control channels to `started` once
/// the actors run.
fn run_loop(settings: Settings, sockets: Sockets, started: &Sender<Control>) -> Result<(), Error> {
    let fault = |e: std::io::Error| Error::new(Code::Unreachable, e.to_string());
    let origin = Instant::now();
    let mut stakker = Stakker::new(origin);
    let miopoll = open_poll(&mut stakker).map_err(fault)?;
    let actors = start_actors(&mut stakker, settings, sockets, origin, started)?;
    let mut idle_pending = stakker.run(Instant::now(), false);
    let mut io_pending = false;
    while stakker.not_shutdown() {
        let longest = Duration::from_millis(POLL_WAIT_MAX_MS);
        let busy = idle_pending || io_pending;
        let wait = stakker.next_wait_max(Instant::now(), longest, busy);
        let (active, pending) = miopoll.poll(wait).map_err(fault)?;
        io_pending = pending;
        idle_pending = stakker.run(Instant::now(), !active);
    }
    actors.results.close();
    let reason = stakker.shutdown_reason().map(|cause| cause.to_string()).unwrap_or_default();
    log::info!("daemon stopped: {reason}");
    Ok(())
}

/// Keeps the actors and their channels alive.
struct RunningActors {
    _node: ActorOwn<NodeActor>,
    _edges: ActorOwn<Edges>,
    _guards: [ChannelGuard; 2],
    results: CallResults,
}

fn start_actors(
    stakker: &mut Stakker,
    settings: Settings,
    sockets: Sockets,
    origin: Instant,
    started: &Sender<Control>,
) -> Result<RunningActors, Error> {
    // A clock before 1970 counts as 0, as in the log.
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let (wall, incarnation) = (wall.as_millis() as u64, wall.as_nanos() as u64);
    let node = actor_new!(stakker, NodeActor, ret_shutdown!(stakker));
    let input = fwd_to!([node], input() as (Input));
    let (inputs, inputs_guard) = Channel::new(stakker, input);
    let results = CallResults::open(settings.daemon.clone(), inputs.clone());
    let edges = Edges::open(&settings, sockets, incarnation, results.clone(), origin)?;
    let edges = actor!(stakker, Edges::init(edges, node.clone()), ret_nop!());
    let (kills, kills_guard) = Channel::new(stakker, fwd_to!([edges], kill() as (())));
    let state = Node::open(settings, Default::default(), wall, incarnation);
    let outputs = fwd_to!([edges], output() as (crate::edge::Output));
    let views = fwd_to!([edges], view() as (crate::runtime::NodeView));
    call!([node], NodeActor::init(state, origin, outputs, views));
    started
        .send(Control { inputs, kills })
        .map_err(|_| Error::new(Code::Unreachable, "the starter is gone"))?;
    Ok(RunningActors { _node: node, _edges: edges, _guards: [inputs_guard, kills_guard], results })
}
