//! The daemons of a run: killed, frozen, restarted and stopped like processes.
//!
//! Each one runs the actor of `bulrushlinkd` in a stakker of its own, whose clock is the run's.

use bulrushlink_core::{DaemonId, DomainId, Moment, NoteVersion};
use bulrushlink_daemon::{CallId, Input, Node, NodeActor, NodeView, Output, Settings};
use stakker::{ActorOwn, Fwd, Stakker, actor, call, ret_panic};
use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// What a frozen daemon was about to send.
#[derive(Debug)]
pub(crate) struct Unsent {
    pub(crate) output: Output,
    pub(crate) since: Moment,
}

/// The actor of a process that is up.
struct Running {
    node: ActorOwn<NodeActor>,
    stakker: Stakker,
    outputs: Rc<RefCell<Vec<Output>>>,
    view: Rc<Cell<NodeView>>,
}

impl Running {
    fn open(node: Node, origin: Instant, now: Instant) -> Self {
        let mut stakker = Stakker::new(now);
        let outputs = Rc::new(RefCell::new(Vec::new()));
        let view = Rc::new(Cell::new(NodeView::default()));
        let (collect, show) = (outputs.clone(), view.clone());
        let collect = Fwd::new(move |output| collect.borrow_mut().push(output));
        let show = Fwd::new(move |view| show.set(view));
        let node = actor!(
            stakker,
            NodeActor::init(node, origin, collect, show),
            ret_panic!("a node doesn't end by itself")
        );
        Self { node, stakker, outputs, view }
    }

    /// Runs the timers that are due and hands the actor an input. It ticks by its own timer.
    fn feed(&mut self, input: Input, now: Instant) -> Vec<Output> {
        if input != Input::Tick {
            call!([self.node, self.stakker], input(input));
        }
        self.stakker.run(now, false);
        self.outputs.take()
    }
}

impl fmt::Debug for Running {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Running").field("view", &self.view).finish_non_exhaustive()
    }
}

/// One daemon's process, or the absence of it.
#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) settings: Settings,
    running: Option<Running>,
    /// The instant of the run's moment 0.
    origin: Instant,
    /// Grows with every start.
    pub(crate) incarnation: u64,
    pub(crate) frozen: bool,
    /// What arrived while it was frozen.
    inbox: Vec<Input>,
    /// What it was about to send when it was frozen.
    pub(crate) unsent: Vec<Unsent>,
    /// Calls without a result; sorted.
    calls: Vec<CallId>,
    /// Version in force after the latest input; never goes back while the process lives.
    version: NoteVersion,
}

impl Process {
    pub(crate) fn new(settings: Settings, origin: Instant) -> Self {
        Self {
            settings,
            running: None,
            origin,
            incarnation: 0,
            frozen: false,
            inbox: Vec::new(),
            unsent: Vec::new(),
            calls: Vec::new(),
            version: NoteVersion::default(),
        }
    }

    pub(crate) fn id(&self) -> &DaemonId {
        &self.settings.daemon
    }

    pub(crate) fn domain(&self) -> &DomainId {
        self.settings.domain()
    }

    pub(crate) fn is_up(&self) -> bool {
        self.running.is_some()
    }

    /// Tells whether the process is up and goes on.
    pub(crate) fn is_going(&self) -> bool {
        self.is_up() && !self.frozen
    }

    pub(crate) fn is_ready(&self) -> bool {
        !self.frozen && self.running.as_ref().is_some_and(|running| running.view.get().ready)
    }

    pub(crate) fn version(&self) -> NoteVersion {
        self.version
    }

    /// Starts a new process.
    pub(crate) fn start(&mut self, now: Moment) {
        self.incarnation += 1;
        let incarnation = now.0 + self.incarnation;
        let node = Node::open(self.settings.clone(), now, now.0, incarnation);
        self.running = Some(Running::open(node, self.origin, self.instant(now)));
        self.version = NoteVersion::default();
    }

    /// Ends the process with all it knew.
    pub(crate) fn kill(&mut self) {
        self.running = None;
        self.frozen = false;
        self.inbox.clear();
        self.unsent.clear();
        self.calls.clear();
    }

    /// Hands an input to the process and returns what it asks for. A frozen process takes it
    /// when it wakes.
    ///
    /// # Panics
    ///
    /// When the process goes back to a lower version of the release notes.
    pub(crate) fn feed(&mut self, input: Input, now: Moment) -> Vec<Output> {
        if self.frozen {
            if input != Input::Tick {
                self.inbox.push(input);
            }
            return Vec::new();
        }
        let now = self.instant(now);
        let Some(running) = &mut self.running else { return Vec::new() };
        let outputs = running.feed(input, now);
        let version = running.view.get().version;
        assert!(version >= self.version, "{} reverted", self.settings.daemon);
        self.version = version;
        outputs
    }

    /// Lets a frozen process go on; returns what had arrived meanwhile.
    pub(crate) fn wake(&mut self) -> Vec<Input> {
        self.frozen = false;
        std::mem::take(&mut self.inbox)
    }

    /// Notes that a call has been made.
    pub(crate) fn begin(&mut self, call: CallId) {
        if let Err(i) = self.calls.binary_search(&call) {
            self.calls.insert(i, call);
        }
    }

    /// Tells whether the call still waits for its result, and that it has one now.
    pub(crate) fn finish(&mut self, call: CallId) -> bool {
        let found = self.calls.binary_search(&call);
        found.map(|i| self.calls.remove(i)).is_ok()
    }

    fn instant(&self, at: Moment) -> Instant {
        self.origin + Duration::from_millis(at.0)
    }
}
