//! The node: the daemon's complete logic, free of I/O.

use bulrushlink_core::{Moment, Span};

use crate::activity::{Activity, Part};
use crate::edge::{Clock, Fault, Input, Output, StoreReply, Tag};
use crate::front::{self, Front};
use crate::intake::{HOLD_MAX, Intake};
use crate::lead::{Election, LeaderChange};
use crate::load_view::LoadView;
use crate::placer::{self, PassStats, Placer};
use crate::settings::NodeSettings;
use crate::view::{ReadProgress, View};

/// Longest time between two ticks.
const TICK_INTERVAL_MAX: Span = Span(250);
/// Shortest time for which a stopping daemon keeps serving: the load balancer probes readiness once
/// a second and directs new connections elsewhere after two failed probes.
const SERVE_AFTER_STOP: Span = Span(3_500);
/// Fraction of the time between SIGTERM and SIGKILL that a graceful stop may take.
const STOP_GRACE_FRACTION: f64 = 0.8;

/// The daemon's logic: turns inputs into outputs and keeps the state between them.
#[derive(Debug)]
pub struct Node {
    settings: NodeSettings,
    view: View,
    load: LoadView,
    front: Front,
    election: Election,
    placer: Option<Placer>,
    /// When the stop was requested.
    stopping: Option<Moment>,
    /// [`Output::Exit`] has been returned.
    exited: bool,
    activity: Activity,
    /// Memory that accepted jobs may take, in bytes.
    job_memory: u64,
    /// Longest time for which a request is held.
    hold_max: Span,
}

impl Node {
    /// Returns a node that has not read anything from the store yet.
    pub fn open(settings: NodeSettings) -> Self {
        let weak = !settings.host.is_strong();
        let election = Election::new(&settings.daemon, settings.incarnation, weak);
        Self {
            settings,
            view: View::default(),
            load: LoadView::default(),
            front: Front::default(),
            election,
            placer: None,
            stopping: None,
            exited: false,
            activity: Activity::default(),
            job_memory: u64::MAX,
            hold_max: HOLD_MAX,
        }
    }

    /// Limits what callers may make the node hold.
    #[must_use]
    pub fn with_intake(self, intake: &Intake) -> Self {
        Self { job_memory: intake.jobs, hold_max: intake.hold_max, ..self }
    }

    /// Lets the node show what it is doing.
    #[must_use]
    pub fn with_activity(self, activity: Activity) -> Self {
        Self { activity, ..self }
    }

    /// Processes an input, does what is due, and returns the calls and answers to send.
    pub fn handle(&mut self, clock: Clock, input: Input) -> Vec<Output> {
        let mut out = self.receive(clock, input);
        self.run_due(clock, &mut out);
        out
    }

    /// Processes an input and returns the calls and answers to send, without doing what is due.
    ///
    /// Inputs that have arrived together are passed here one by one, and [`tick`](Self::tick) is called
    /// after the last one, so that none waits for work that is done once for all of them.
    pub fn receive(&mut self, clock: Clock, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.activity.enter(match &input {
            Input::Caller(..) => Part::Request,
            Input::Store(..) => Part::StoreReply,
            Input::Worker(..) => Part::WorkerReply,
            Input::Tick | Input::CallerGone(_) | Input::Stop => Part::Other,
        });
        match input {
            Input::Tick => {}
            Input::Caller(id, call) => {
                self.with_front(clock, &mut out, |f, s| f.start(s, id, call))
            }
            Input::CallerGone(id) => self.front.forget(id),
            Input::Store(tag, result) => self.store_answered(clock, tag, result, &mut out),
            Input::Worker(tag, worker_clock, result) => {
                if let Tag::Placer(epoch, tag) = tag {
                    self.with_placer(clock, &mut out, |p, s| {
                        if p.epoch() == epoch {
                            p.worker_answered(s, tag, worker_clock, result);
                        }
                    });
                }
            }
            Input::Stop => self.stop(clock, &mut out),
        }
        // The inputs that follow in the same turn must not make a deposed placer act.
        self.drop_deposed(clock);
        self.activity.enter(Part::Other);
        out
    }

    /// Does what is due and returns the calls and answers to send.
    pub fn tick(&mut self, clock: Clock) -> Vec<Output> {
        let mut out = Vec::new();
        self.run_due(clock, &mut out);
        out
    }

    /// Replaces the deployment's bounds.
    pub fn set_bounds(&mut self, bounds: crate::settings::Bounds) {
        self.settings.bounds = bounds;
    }

    /// Turns optional behaviour on or off.
    pub fn set_features(&mut self, features: crate::settings::Features) {
        self.settings.features = features;
    }

    /// Returns true if the daemon accepts new callers.
    pub fn is_ready(&self, now: Moment) -> bool {
        self.stopping.is_none() && self.view.is_ready(now)
    }

    /// Returns true if connections are to be closed after their next answer.
    pub fn is_stopping(&self) -> bool {
        self.stopping.is_some()
    }

    /// Returns the limits on requests, once a configuration is known.
    pub fn limits(&self) -> Option<crate::catalog::Limits> {
        self.view.catalog().map(|c| c.limits)
    }

    /// Returns true if this daemon is the placer.
    pub fn is_placer(&self) -> bool {
        self.placer.is_some()
    }

    /// Returns the number and size of the placer's passes; both are 0 if another daemon is the placer.
    pub fn pass_stats(&self) -> PassStats {
        self.placer.as_ref().map(Placer::pass_stats).unwrap_or_default()
    }

    /// Returns when the node needs its next tick at the latest.
    pub fn due(&self, now: Moment) -> Moment {
        let placer = self.placer.as_ref().map(Placer::due);
        let load = self.load.due().filter(|_| self.settings.features.admission);
        let dues = [self.view.due(), load, self.front.due(), self.election.due(), placer];
        dues.into_iter().flatten().fold(now + TICK_INTERVAL_MAX, Moment::min)
    }

    /// Returns the state as text for operators.
    pub fn dump(&self, now: Moment) -> String {
        let version = self.view.catalog().map_or(0, |c| c.version);
        let age = self.view.age(now).map_or("never".to_string(), |a| a.to_string());
        let mut text = format!(
            "daemon {}\nstopping {}\nconfiguration {version}, read {age} ago\nrequests {}\n",
            self.settings.daemon,
            self.stopping.is_some(),
            self.front.len()
        );
        if self.settings.features.admission {
            text.push_str(&format!("forecast {:#?}\n", self.load));
        }
        match &self.placer {
            Some(placer) => text.push_str(&format!("{placer:#?}\n")),
            None => text.push_str("placer: another daemon\n"),
        }
        text
    }

    fn store_answered(
        &mut self,
        clock: Clock,
        tag: Tag,
        result: Result<StoreReply, Fault>,
        out: &mut Vec<Output>,
    ) {
        match tag {
            Tag::Catalog(ordinal) => {
                let progress = self.view.read_answered(clock.now, ordinal, result, out);
                self.with_front(clock, out, |f, s| match progress {
                    ReadProgress::Complete => f.view_refreshed(s),
                    ReadProgress::Unfinished => {}
                    ReadProgress::Failed => f.view_unavailable(s),
                });
            }
            Tag::Load(ordinal) => self.load.read_answered(ordinal, result),
            Tag::Front(id, tag) => {
                self.with_front(clock, out, |f, s| f.answered(s, id, tag, result));
            }
            Tag::Election(tag) => {
                let change = self.election.answered(clock.now, tag, result, out);
                self.apply_leader_change(clock, change, out);
            }
            Tag::Placer(epoch, tag) => self.with_placer(clock, out, |p, s| {
                if p.epoch() == epoch {
                    p.store_answered(s, tag, result);
                }
            }),
        }
    }

    fn run_due(&mut self, clock: Clock, out: &mut Vec<Output>) {
        self.view.tick(clock.now, out);
        if self.settings.features.admission {
            self.load.tick(clock.now, out);
        }
        self.with_front(clock, out, |f, s| f.tick(s));
        let change = self.election.tick(clock.now, out);
        self.apply_leader_change(clock, change, out);
        self.with_placer(clock, out, |p, s| p.tick(s));
        self.drop_deposed(clock);
        self.activity.enter(Part::Other);
        self.exit_if_done(clock, out);
    }

    /// Drops the placer if a reply has shown that another daemon is the leader.
    fn drop_deposed(&mut self, clock: Clock) {
        if self.placer.as_ref().is_some_and(|p| p.deposed) {
            self.election.step_down(clock.now);
            self.placer = None;
        }
    }

    fn apply_leader_change(
        &mut self,
        clock: Clock,
        change: Option<LeaderChange>,
        out: &mut Vec<Output>,
    ) {
        match change {
            Some(LeaderChange::Elected(epoch)) => {
                self.placer = Some(Placer::open(epoch, clock.now));
                self.with_placer(clock, out, |p, s| p.start_loading(s));
            }
            Some(LeaderChange::Deposed) => self.placer = None,
            None => {}
        }
    }

    fn with_front(
        &mut self,
        clock: Clock,
        out: &mut Vec<Output>,
        f: impl FnOnce(&mut Front, &mut front::Context<'_>),
    ) {
        let bounds = &self.settings.bounds;
        let load = Some(&self.load).filter(|_| self.settings.features.admission);
        let hold_max = self.hold_max;
        let mut ctx = front::Context { clock, bounds, view: &mut self.view, hold_max, load, out };
        f(&mut self.front, &mut ctx);
    }

    fn with_placer(
        &mut self,
        clock: Clock,
        out: &mut Vec<Output>,
        f: impl FnOnce(&mut Placer, &mut placer::Context<'_>),
    ) {
        let Some(placer) = &mut self.placer else { return };
        let bounds = &self.settings.bounds;
        let mut ctx = placer::Context {
            clock,
            bounds,
            features: self.settings.features,
            catalog: self.view.catalog(),
            view_fresh: self.view.is_no_older_than(clock.now, bounds.view_age_max()),
            evacuated: self.view.evacuated(),
            holds_lease: self.election.holds_lease(clock.now),
            extends_leases: self.election.extends_leases(clock.now),
            lease: self.election.leader_lease(),
            job_memory: self.job_memory,
            strong_host: self.settings.host.is_strong(),
            activity: &self.activity,
            out,
        };
        f(placer, &mut ctx);
    }

    fn stop(&mut self, clock: Clock, out: &mut Vec<Output>) {
        if self.stopping.is_none() {
            log::info!(event = "stopping", requests = self.front.len(); "graceful stop started");
            self.stopping = Some(clock.now);
            self.placer = None;
            self.election.resign(out);
        }
    }

    fn exit_if_done(&mut self, clock: Clock, out: &mut Vec<Output>) {
        let Some(began) = self.stopping else { return };
        let stop_max = self.settings.bounds.grace_s as f64 * 1000.0 * STOP_GRACE_FRACTION;
        let elapsed = clock.now.since(began);
        let idle = self.front.is_idle() && elapsed >= SERVE_AFTER_STOP.min(Span(stop_max as u64));
        if !self.exited && (idle || elapsed >= Span(stop_max as u64)) {
            self.exited = true;
            log::info!(event = "stopped", requests = self.front.len(); "graceful stop complete");
            out.push(Output::Exit);
        }
    }
}
