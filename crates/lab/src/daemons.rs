//! Processes of the simulated daemons: started, stopped, killed, paused and resumed.
//!
//! Each one runs the actor of `bulrushlinkd` in its own stakker, on the virtual clock of the run.

use bulrushlink_core::{DaemonId, DomainId, Moment, NoteVersion};
use bulrushlink_daemon::{CallId, Input, Node, NodeActor, NodeView, Output, Settings};
use stakker::{ActorOwn, Fwd, Stakker, actor, call, ret_panic};
use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// An output that a frozen daemon had not sent yet.
#[derive(Debug)]
pub(crate) struct Unsent {
    pub(crate) output: Output,
    pub(crate) since: Moment,
}

/// The actor of a running process, with its runtime.
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
            ret_panic!("the node actor ended by itself")
        );
        Self { node, stakker, outputs, view }
    }

    /// Delivers an input to the actor and runs its due timers. Ticks come from the actor's own
    /// timer.
    fn deliver(&mut self, input: Input, now: Instant) -> Vec<Output> {
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

/// The process of a daemon, which may be down.
#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) settings: Settings,
    running: Option<Running>,
    /// Instant of virtual time 0.
    origin: Instant,
    /// Incremented at each start.
    pub(crate) incarnation: u64,
    pub(crate) frozen: bool,
    /// Inputs that arrived while it was frozen.
    inbox: Vec<Input>,
    /// Outputs that became due while it was frozen.
    pub(crate) unsent: Vec<Unsent>,
    /// Calls without a result, sorted.
    calls: Vec<CallId>,
    /// Version in force after the latest input; never decreases while the process lives.
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

    /// Returns true if the process is up and not frozen.
    pub(crate) fn is_running(&self) -> bool {
        self.is_up() && !self.frozen
    }

    pub(crate) fn is_ready(&self) -> bool {
        !self.frozen && self.running.as_ref().is_some_and(|running| running.view.get().ready)
    }

    pub(crate) fn version(&self) -> NoteVersion {
        self.version
    }

    /// Starts a new process without any state of earlier ones.
    pub(crate) fn start(&mut self, now: Moment) {
        self.incarnation += 1;
        let incarnation = now.0 + self.incarnation;
        let node = Node::open(self.settings.clone(), now, now.0, incarnation);
        self.running = Some(Running::open(node, self.origin, self.instant(now)));
        self.version = NoteVersion::default();
    }

    /// Kills the process, which loses its state.
    pub(crate) fn kill(&mut self) {
        self.running = None;
        self.frozen = false;
        self.inbox.clear();
        self.unsent.clear();
        self.calls.clear();
    }

    /// Delivers an input to the process and returns its outputs. A frozen process keeps the input
    /// until it resumes.
    ///
    /// # Panics
    ///
    /// If the process reverts to a lower version of the release notes.
    pub(crate) fn deliver(&mut self, input: Input, now: Moment) -> Vec<Output> {
        if self.frozen {
            if input != Input::Tick {
                self.inbox.push(input);
            }
            return Vec::new();
        }
        let now = self.instant(now);
        let Some(running) = &mut self.running else { return Vec::new() };
        let outputs = running.deliver(input, now);
        let version = running.view.get().version;
        assert!(version >= self.version, "{} reverted to an older version", self.settings.daemon);
        self.version = version;
        outputs
    }

    /// Resumes a frozen process and returns the inputs that arrived in the meantime.
    pub(crate) fn resume(&mut self) -> Vec<Input> {
        self.frozen = false;
        std::mem::take(&mut self.inbox)
    }

    /// Records a call as waiting for its result.
    pub(crate) fn begin_call(&mut self, call: CallId) {
        if let Err(i) = self.calls.binary_search(&call) {
            self.calls.insert(i, call);
        }
    }

    /// Marks a call as finished. Returns false if it already was.
    pub(crate) fn finish_call(&mut self, call: CallId) -> bool {
        let found = self.calls.binary_search(&call);
        found.map(|i| self.calls.remove(i)).is_ok()
    }

    fn instant(&self, at: Moment) -> Instant {
        self.origin + Duration::from_millis(at.0)
    }
}
