//! The daemons of a run: killed, frozen, restarted and stopped like processes.

use bulrushlink_core::{DaemonId, DomainId, Moment, NoteVersion};
use bulrushlink_daemon::{CallId, Input, Node, Outbox, Output, Settings};

/// What a frozen daemon was about to send.
#[derive(Debug)]
pub(crate) struct Unsent {
    pub(crate) output: Output,
    pub(crate) since: Moment,
}

/// One daemon's process, or the absence of it.
#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) settings: Settings,
    node: Option<Node>,
    /// Numbers the calls of the process.
    out: Outbox,
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
    pub(crate) fn new(settings: Settings) -> Self {
        Self {
            settings,
            node: None,
            out: Outbox::default(),
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
        self.node.is_some()
    }

    pub(crate) fn is_ready(&self) -> bool {
        !self.frozen && self.node.as_ref().is_some_and(Node::is_ready)
    }

    pub(crate) fn version(&self) -> NoteVersion {
        self.version
    }

    /// Starts a new process.
    pub(crate) fn start(&mut self, now: Moment) {
        self.incarnation += 1;
        self.out = Outbox::default();
        let incarnation = now.0 + self.incarnation;
        self.node = Some(Node::open(self.settings.clone(), now, now.0, incarnation));
        self.version = NoteVersion::default();
    }

    /// Ends the process with all it knew.
    pub(crate) fn kill(&mut self) {
        self.node = None;
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
        let Some(node) = &mut self.node else { return Vec::new() };
        node.handle(input, now, &mut self.out);
        assert!(node.version() >= self.version, "{} reverted", self.settings.daemon);
        self.version = node.version();
        self.out.take()
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
}
