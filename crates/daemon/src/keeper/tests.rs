use bulrushlink_api::{EdgeFault, HostList, TaskId, TaskReport, TaskState, WorkerOp, WorkerReply};
use bulrushlink_core::{AcceleratorSet, Attempt, DaemonId, Moment, Span};

use super::Keeper;
use crate::edge::{CallId, Context, Outbox, Output};
use crate::hosts::Hosts;
use crate::node::tests::net::{host, settings};
use crate::peer::PeerMessage;
use crate::settings::Settings;

struct Fixture {
    keeper: Keeper,
    hosts: Hosts,
    settings: Settings,
    now: Moment,
    out: Outbox,
    live: Vec<DaemonId>,
    placer: DaemonId,
}

impl Fixture {
    /// Opens the keeper of `norte-0`, with workers `w10` and up; `norte-1` places.
    fn open(live: &[&str], workers: usize) -> Self {
        let settings = settings("norte-0", &[("norte", 3)]);
        let mut fixture = Self {
            keeper: Keeper::open(&settings, 1),
            hosts: Hosts::open(&settings, Moment(0), 1),
            settings,
            now: Moment(0),
            out: Outbox::default(),
            live: live.iter().map(|id| id.parse().unwrap()).collect(),
            placer: "norte-1".parse().unwrap(),
        };
        let list = (10..10 + workers).map(|i| host(&format!("w{i}"), "norte", "r1"));
        let list = HostList::whole(list.collect());
        fixture.with(|_, hosts, cx| {
            hosts.tick(cx);
            let Some(Output::Hosts(call, _)) = cx.out.take().pop() else { panic!("no read") };
            hosts.on_hosts(call, Ok(list), cx);
        });
        fixture
    }

    fn with(&mut self, act: impl FnOnce(&mut Keeper, &mut Hosts, &mut Context<'_>)) -> Vec<Output> {
        let (now, settings) = (self.now, &self.settings);
        let mut cx = Context { now, wall: 0, may_start: true, settings, out: &mut self.out };
        act(&mut self.keeper, &mut self.hosts, &mut cx);
        cx.out.take()
    }

    fn tick(&mut self) -> Vec<Output> {
        self.now += Span(100);
        let (live, placer) = (self.live.clone(), self.placer.clone());
        self.with(|keeper, hosts, cx| keeper.tick(hosts, &live, Some(&placer), cx))
    }

    /// Ticks until a worker is called; returns the call and whether a full report is asked for.
    fn call(&mut self) -> (CallId, bool) {
        loop {
            for output in self.tick() {
                if let Output::Worker { call, batch, .. } = output {
                    let lease = self.settings.timing.lease;
                    assert_eq!(batch.ops, vec![WorkerOp::RenewAll { lease }]);
                    return (call, batch.all);
                }
            }
        }
    }

    fn reply(&mut self, call: CallId, tasks: Vec<TaskReport>) -> Vec<Output> {
        let reply = WorkerReply { tasks, ..WorkerReply::default() };
        self.with(|keeper, hosts, cx| keeper.on_worker(call, Ok(reply), hosts, cx))
    }

    fn waiting(&self) -> usize {
        self.keeper.reports.len()
    }
}

fn report(task: u16, state: TaskState) -> TaskReport {
    let key = "rosters/one".parse().unwrap();
    let id = TaskId { key, attempt: Attempt(1), task };
    TaskReport { id, set: AcceleratorSet::run(0, 1), gang: 2, state, ran: Span(1) }
}

/// Returns what the reports among `outputs` say: number, fullness, and tasks.
fn reports(outputs: &[Output]) -> Vec<(u64, bool, Vec<TaskReport>)> {
    let message = |output: &Output| match output {
        Output::Peer(_, PeerMessage::Reports { seq, all, tasks, .. }) => {
            Some((*seq, *all, tasks.clone()))
        }
        _ => None,
    };
    outputs.iter().filter_map(message).collect()
}

#[test]
fn each_worker_belongs_to_one_daemon_and_a_death_moves_just_its_own() {
    let all = ["norte-0", "norte-1", "norte-2"];
    let mine = |live: &[&str]| {
        let mut fixture = Fixture::open(live, 60);
        fixture.tick();
        fixture.keeper.assigned.iter().map(|c| c.worker.clone()).collect::<Vec<_>>()
    };
    let (before, after, alone) = (mine(&all), mine(&all[..2]), mine(&all[..1]));
    assert!((10..=30).contains(&before.len()), "{}", before.len());
    assert!(before.iter().all(|worker| after.contains(worker)));
    assert!(after.len() > before.len());
    assert_eq!(alone.len(), 60);
}

#[test]
fn a_report_is_repeated_until_it_is_taken_and_a_full_one_replaces_it() {
    let mut fixture = Fixture::open(&["norte-0"], 1);
    let (call, all) = fixture.call();
    assert!(all, "the first contact asks for everything");
    let first = reports(&fixture.reply(call, vec![report(0, TaskState::Started)]));
    assert_eq!(first.len(), 1);
    let (call, all) = fixture.call();
    assert!(!all);
    let joined = reports(&fixture.reply(call, vec![report(1, TaskState::Confirmed)]));
    assert_eq!(joined[0].2.len(), 2, "what isn't taken yet is said again");
    assert!(joined[0].1);
    fixture.keeper.on_taken(first[0].0);
    assert_eq!(fixture.waiting(), 1, "that was the answer to an older message");
    let again = (0..20).flat_map(|_| reports(&fixture.tick())).collect::<Vec<_>>();
    assert!(!again.is_empty() && again.iter().all(|report| *report == joined[0]));
    fixture.keeper.on_taken(joined[0].0);
    assert_eq!(fixture.waiting(), 0);
}

#[test]
fn a_lost_answer_or_a_new_placer_brings_a_full_report() {
    let mut fixture = Fixture::open(&["norte-0"], 1);
    let (call, _) = fixture.call();
    fixture.reply(call, Vec::new());
    let (call, all) = fixture.call();
    assert!(!all);
    fixture.with(|keeper, hosts, cx| {
        keeper.on_worker(call, Err(EdgeFault::Silent), hosts, cx);
    });
    let (call, all) = fixture.call();
    assert!(all, "the worker may take its report for delivered");
    fixture.reply(call, vec![report(0, TaskState::Started)]);
    fixture.placer = "norte-2".parse().unwrap();
    let (_, all) = fixture.call();
    assert!(all);
    assert_eq!(fixture.waiting(), 0);
}

#[test]
fn renewals_stay_within_the_control_rate_and_the_lease() {
    let mut settings = settings("norte-0", &[("norte", 1)]);
    let period = |workers, settings: &Settings| super::renewal_period(workers, settings);
    assert_eq!(period(64, &settings), Span::from_secs(1));
    assert_eq!(period(250, &settings), Span(3_906));
    assert_eq!(period(18_000, &settings), Span(7_500), "four renewals fit into a lease");
    settings.limits.control_rate = 2_048;
    settings.timing.lease = Span::from_secs(280);
    assert_eq!(period(250, &settings), Span(62_500));
    settings.timing.renew = Span::from_secs(80);
    assert_eq!(period(250, &settings), Span::from_secs(80));
}

#[test]
fn a_large_share_is_renewed_in_turn_and_a_fault_is_tried_again_soon() {
    let mut fixture = Fixture::open(&["norte-0"], 80);
    fixture.settings.limits.control_rate = 4_096;
    fixture.settings.timing.lease = Span::from_secs(60);
    let mut calls = 0;
    let end = fixture.now + Span::from_secs(61);
    while fixture.now < end {
        for output in fixture.tick() {
            let Output::Worker { call, .. } = output else { continue };
            calls += 1;
            fixture.reply(call, Vec::new());
        }
    }
    assert!((8 * 60..80 * 8).contains(&calls), "{calls} in six periods and the first round");
    let (call, _) = fixture.call();
    let at = fixture.now;
    fixture.with(|keeper, hosts, cx| {
        keeper.on_worker(call, Err(EdgeFault::Unreachable), hosts, cx);
    });
    let i = fixture.keeper.assigned.iter().position(|a| a.renew.faults() == 1).unwrap();
    let worker = fixture.keeper.assigned[i].worker.clone();
    let again = loop {
        let outputs = fixture.tick();
        let is_it = |o: &Output| matches!(o, Output::Worker { worker: w, .. } if *w == worker);
        if outputs.iter().any(is_it) {
            break fixture.now;
        }
    };
    assert!(again.since(at) < Span::from_secs(3));
}

#[test]
fn a_silent_worker_is_called_less_often_and_its_silence_is_known() {
    let mut fixture = Fixture::open(&["norte-0"], 1);
    let (call, _) = fixture.call();
    fixture.reply(call, Vec::new());
    let heard = fixture.now;
    let mut calls = Vec::new();
    for _ in 0..4 {
        let (call, _) = fixture.call();
        calls.push(fixture.now);
        fixture.with(|keeper, hosts, cx| {
            keeper.on_worker(call, Err(EdgeFault::Unreachable), hosts, cx);
        });
    }
    assert!(calls[3].since(calls[2]) > calls[1].since(calls[0]));
    let silent = fixture.keeper.silent(&"w10".parse().unwrap(), fixture.now);
    assert_eq!(silent, Some(fixture.now.since(heard)));
}

#[test]
fn the_placer_learns_at_once_that_a_worker_leaves() {
    let mut fixture = Fixture::open(&["norte-0"], 1);
    let (call, _) = fixture.call();
    fixture.reply(call, Vec::new());
    let (call, _) = fixture.call();
    let reply = WorkerReply { leaving: true, ..WorkerReply::default() };
    let outputs = fixture.with(|keeper, hosts, cx| keeper.on_worker(call, Ok(reply), hosts, cx));
    let seen = PeerMessage::WorkerSeen { worker: "w10".parse().unwrap(), leaving: true, busy: 0 };
    assert_eq!(outputs, vec![Output::Peer(fixture.placer.clone(), seen)]);
    assert!(fixture.hosts.own()[0].leaving);
}
