//! The node: all of the daemon's logic without any input or output.

use bulrushlink_core::{Moment, Span};

use crate::edge::{Clock, Fault, Input, Output, StoreReply, Tag};
use crate::front::{self, Front};
use crate::lead::{Lead, Turn};
use crate::placer::{self, Placer};
use crate::settings::NodeSettings;
use crate::view::View;

/// Longest time between two ticks.
const TICK_MAX: Span = Span(250);
/// Time for which a stopping daemon goes on serving: the balancer asks once a second and takes two
/// refusals as the sign to send new connections elsewhere.
const LINGER: Span = Span(3_500);
/// Part of the time between SIGTERM and SIGKILL that a stop may take.
const STOP_SHARE: f64 = 0.8;

/// The daemon's logic.
#[derive(Debug)]
pub struct Node {
    settings: NodeSettings,
    view: View,
    front: Front,
    lead: Lead,
    placer: Option<Placer>,
    /// When the stop was asked for.
    stopping: Option<Moment>,
    exited: bool,
}

impl Node {
    /// Opens a node that knows nothing yet.
    pub fn open(settings: NodeSettings) -> Self {
        let weak = !settings.host.is_strong();
        let lead = Lead::open(&settings.daemon, settings.incarnation, weak);
        Self {
            settings,
            view: View::default(),
            front: Front::default(),
            lead,
            placer: None,
            stopping: None,
            exited: false,
        }
    }

    /// Takes an input and returns what follows from it.
    pub fn take(&mut self, clock: Clock, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        match input {
            Input::Tick => {}
            Input::Caller(id, call) => self.with_front(clock, &mut out, |f, s| f.take(s, id, call)),
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
        self.tick(clock, &mut out);
        out
    }

    /// Takes over changed bounds.
    pub fn set_bounds(&mut self, bounds: crate::settings::Bounds) {
        self.settings.bounds = bounds;
    }

    /// Tells whether the daemon wants new callers.
    pub fn is_ready(&self, now: Moment) -> bool {
        self.stopping.is_none() && self.view.is_ready(now)
    }

    /// Tells whether connections should be closed after their next answer.
    pub fn is_stopping(&self) -> bool {
        self.stopping.is_some()
    }

    /// Returns the bounds on requests, once a configuration is known.
    pub fn limits(&self) -> Option<crate::catalog::Limits> {
        self.view.catalog().map(|c| c.limits)
    }

    /// Tells whether this daemon places.
    pub fn is_placer(&self) -> bool {
        self.placer.is_some()
    }

    /// Returns when the node needs its next tick at the latest.
    pub fn due(&self, now: Moment) -> Moment {
        let placer = self.placer.as_ref().map(Placer::due);
        let dues = [self.view.due(), self.front.due(), self.lead.due(), placer];
        dues.into_iter().flatten().fold(now + TICK_MAX, Moment::min)
    }

    /// Describes the state in text for people.
    pub fn dump(&self, now: Moment) -> String {
        let version = self.view.catalog().map_or(0, |c| c.version);
        let age = self.view.age(now).map_or("never".to_string(), |a| a.to_string());
        let mut text = format!(
            "daemon {}\nstopping {}\nconfiguration {version}, read {age} ago\nrequests {}\n",
            self.settings.daemon,
            self.stopping.is_some(),
            self.front.len()
        );
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
                let read = self.view.answered(clock.now, ordinal, result);
                self.with_front(clock, out, |f, s| match read {
                    Some(_) => f.view_read(s),
                    None => f.view_lost(s),
                });
            }
            Tag::Front(id, tag) => {
                self.with_front(clock, out, |f, s| f.answered(s, id, tag, result));
            }
            Tag::Lead(tag) => {
                let turn = self.lead.answered(clock.now, tag, result, out);
                self.turned(clock, turn, out);
            }
            Tag::Placer(epoch, tag) => self.with_placer(clock, out, |p, s| {
                if p.epoch() == epoch {
                    p.store_answered(s, tag, result);
                }
            }),
        }
    }

    fn tick(&mut self, clock: Clock, out: &mut Vec<Output>) {
        self.view.tick(clock.now, out);
        self.with_front(clock, out, |f, s| f.tick(s));
        let turn = self.lead.tick(clock.now, out);
        self.turned(clock, turn, out);
        self.with_placer(clock, out, |p, s| p.tick(s));
        if self.placer.as_ref().is_some_and(|p| p.deposed) {
            self.lead.depose(clock.now);
            self.placer = None;
        }
        self.exit_if_done(clock, out);
    }

    fn turned(&mut self, clock: Clock, turn: Option<Turn>, out: &mut Vec<Output>) {
        match turn {
            Some(Turn::Elected(epoch)) => {
                self.placer = Some(Placer::open(epoch, clock.now));
                self.with_placer(clock, out, |p, s| p.begin(s));
            }
            Some(Turn::Deposed) => self.placer = None,
            None => {}
        }
    }

    fn with_front(
        &mut self,
        clock: Clock,
        out: &mut Vec<Output>,
        act: impl FnOnce(&mut Front, &mut front::Scene<'_>),
    ) {
        let bounds = &self.settings.bounds;
        let mut scene = front::Scene { clock, bounds, view: &mut self.view, out };
        act(&mut self.front, &mut scene);
    }

    fn with_placer(
        &mut self,
        clock: Clock,
        out: &mut Vec<Output>,
        act: impl FnOnce(&mut Placer, &mut placer::Scene<'_>),
    ) {
        let Some(placer) = &mut self.placer else { return };
        let bounds = &self.settings.bounds;
        let mut scene = placer::Scene {
            clock,
            bounds,
            catalog: self.view.catalog(),
            current: self.view.is_within(clock.now, bounds.view_max()),
            evacuated: self.view.evacuated(),
            sure: self.lead.is_sure(clock.now),
            out,
        };
        act(placer, &mut scene);
    }

    fn stop(&mut self, clock: Clock, out: &mut Vec<Output>) {
        if self.stopping.is_none() {
            log::info!(event = "stopping", requests = self.front.len(); "graceful stop");
            self.stopping = Some(clock.now);
            self.placer = None;
            self.lead.retire(out);
        }
    }

    fn exit_if_done(&mut self, clock: Clock, out: &mut Vec<Output>) {
        let Some(began) = self.stopping else { return };
        let longest = self.settings.bounds.grace_s as f64 * 1000.0 * STOP_SHARE;
        let past = clock.now.since(began);
        let idle = self.front.is_idle() && past >= LINGER.min(Span(longest as u64));
        if !self.exited && (idle || past >= Span(longest as u64)) {
            self.exited = true;
            log::info!(event = "stopped", requests = self.front.len(); "the process ends");
            out.push(Output::Exit);
        }
    }
}
