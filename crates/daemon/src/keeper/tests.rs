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
    /// Opens the keeper of `norte-0` with workers `w10` and up; `norte-1` is the placer.
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
        let list = HostList::full(list.collect());
        fixture.with(|_, hosts, cx| {
            hosts.tick(cx);
            let Some(Output::Hosts(call, _)) = cx.out.take().pop() else {
                panic!("the host list was not requested")
            };
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

    /// Ticks until a renewal is sent; returns the call and whether it requests a full report.
    fn next_renewal(&mut self) -> (CallId, bool) {
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

    fn pending_reports(&self) -> usize {
        self.keeper.reports.len()
    }
}

fn report(task: u16, state: TaskState) -> TaskReport {
    let key = "rosters/one".parse().unwrap();
    let id = TaskId { key, attempt: Attempt(1), task };
    TaskReport { id, set: AcceleratorSet::contiguous(0, 1), gang: 2, state, ran: Span(1) }
}

/// Returns the sequence number, the full flag and the tasks of each report among `outputs`.
fn sent_reports(outputs: &[Output]) -> Vec<(u64, bool, Vec<TaskReport>)> {
    let message = |output: &Output| match output {
        Output::Peer(_, PeerMessage::Reports { seq, all, tasks, .. }) => {
            Some((*seq, *all, tasks.clone()))
        }
        _ => None,
    };
    outputs.iter().filter_map(message).collect()
}

/// Guards against a daemon's death reassigning the workers of the surviving daemons.
#[test]
fn dead_daemon_moves_only_its_own_workers() {
    let all = ["norte-0", "norte-1", "norte-2"];
    let assigned = |live: &[&str]| {
        let mut fixture = Fixture::open(live, 60);
        fixture.tick();
        fixture.keeper.assigned.iter().map(|a| a.worker.clone()).collect::<Vec<_>>()
    };
    let (before, after, alone) = (assigned(&all), assigned(&all[..2]), assigned(&all[..1]));
    assert!((10..=30).contains(&before.len()), "{}", before.len());
    assert!(before.iter().all(|worker| after.contains(worker)));
    assert!(after.len() > before.len());
    assert_eq!(alone.len(), 60);
}

/// Guards against losing a task report: a report is sent once, the message is lost or its
/// acknowledgement is for an older sequence number, and the placer never sees the task.
#[test]
fn report_is_resent_with_later_ones_until_acknowledged() {
    let mut fixture = Fixture::open(&["norte-0"], 1);
    let (call, all) = fixture.next_renewal();
    assert!(all, "the first renewal requests a full report");
    let first = sent_reports(&fixture.reply(call, vec![report(0, TaskState::Started)]));
    assert_eq!(first.len(), 1);
    let (call, all) = fixture.next_renewal();
    assert!(!all);
    let merged = sent_reports(&fixture.reply(call, vec![report(1, TaskState::Confirmed)]));
    assert_eq!(merged[0].2.len(), 2, "unacknowledged tasks are included again");
    assert!(merged[0].1);
    fixture.keeper.on_reports_taken(first[0].0);
    assert_eq!(
        fixture.pending_reports(),
        1,
        "an acknowledgement of an older message clears nothing"
    );
    let resent = (0..20).flat_map(|_| sent_reports(&fixture.tick())).collect::<Vec<_>>();
    assert!(!resent.is_empty() && resent.iter().all(|report| *report == merged[0]));
    fixture.keeper.on_reports_taken(merged[0].0);
    assert_eq!(fixture.pending_reports(), 0);
}

/// Guards against lost task reports: the worker considers a report delivered whose reply got lost,
/// and a new placer has seen none of the reports that the previous one acknowledged.
#[test]
fn lost_reply_or_new_placer_requests_full_report() {
    let mut fixture = Fixture::open(&["norte-0"], 1);
    let (call, _) = fixture.next_renewal();
    fixture.reply(call, Vec::new());
    let (call, all) = fixture.next_renewal();
    assert!(!all);
    fixture.with(|keeper, hosts, cx| {
        keeper.on_worker(call, Err(EdgeFault::Silent), hosts, cx);
    });
    let (call, all) = fixture.next_renewal();
    assert!(all, "the worker may consider its report delivered");
    fixture.reply(call, vec![report(0, TaskState::Started)]);
    fixture.placer = "norte-2".parse().unwrap();
    let (_, all) = fixture.next_renewal();
    assert!(all);
    assert_eq!(fixture.pending_reports(), 0);
}

/// Guards against a large number of workers exceeding the control rate, and against a low rate
/// stretching the interval until leases expire.
#[test]
fn renewal_interval_respects_control_rate_and_lease() {
    let mut settings = settings("norte-0", &[("norte", 1)]);
    let interval = |workers, settings: &Settings| super::renewal_interval(workers, settings);
    assert_eq!(interval(64, &settings), Span::from_secs(1));
    assert_eq!(interval(250, &settings), Span(3_906));
    assert_eq!(interval(18_000, &settings), Span(7_500), "at least four renewals per lease");
    settings.limits.control_rate = 2_048;
    settings.timing.lease = Span::from_secs(280);
    assert_eq!(interval(250, &settings), Span(62_500));
    settings.timing.renew = Span::from_secs(80);
    assert_eq!(interval(250, &settings), Span::from_secs(80));
}

/// Guards against renewals in bursts above the control rate, and against a fault waiting for the
/// long interval of many workers before it is retried.
#[test]
fn renewals_of_many_workers_are_paced_and_fault_is_retried_soon() {
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
    assert!(
        (8 * 60..80 * 8).contains(&calls),
        "{calls} renewals in six intervals and the first round"
    );
    let (call, _) = fixture.next_renewal();
    let failed_at = fixture.now;
    fixture.with(|keeper, hosts, cx| {
        keeper.on_worker(call, Err(EdgeFault::Unreachable), hosts, cx);
    });
    let i = fixture.keeper.assigned.iter().position(|a| a.renew.faults() == 1).unwrap();
    let worker = fixture.keeper.assigned[i].worker.clone();
    let retried = loop {
        let outputs = fixture.tick();
        let is_retry = |o: &Output| matches!(o, Output::Worker { worker: w, .. } if *w == worker);
        if outputs.iter().any(is_retry) {
            break fixture.now;
        }
    };
    assert!(retried.since(failed_at) < Span::from_secs(3));
}

/// Guards against unreachable workers using up the control rate, and against failed calls
/// resetting the reported silence.
#[test]
fn silent_worker_is_backed_off_and_its_silence_is_measured() {
    let mut fixture = Fixture::open(&["norte-0"], 1);
    let (call, _) = fixture.next_renewal();
    fixture.reply(call, Vec::new());
    let last_reply = fixture.now;
    let mut calls = Vec::new();
    for _ in 0..4 {
        let (call, _) = fixture.next_renewal();
        calls.push(fixture.now);
        fixture.with(|keeper, hosts, cx| {
            keeper.on_worker(call, Err(EdgeFault::Unreachable), hosts, cx);
        });
    }
    assert!(calls[3].since(calls[2]) > calls[1].since(calls[0]));
    let silent = fixture.keeper.silence(&"w10".parse().unwrap(), fixture.now);
    assert_eq!(silent, Some(fixture.now.since(last_reply)));
}

/// Guards against new work on a worker that is leaving, when the placer only learns of it with the
/// next full report.
#[test]
fn placer_is_told_at_once_that_a_worker_leaves() {
    let mut fixture = Fixture::open(&["norte-0"], 1);
    let (call, _) = fixture.next_renewal();
    fixture.reply(call, Vec::new());
    let (call, _) = fixture.next_renewal();
    let reply = WorkerReply { leaving: true, ..WorkerReply::default() };
    let outputs = fixture.with(|keeper, hosts, cx| keeper.on_worker(call, Ok(reply), hosts, cx));
    let seen = PeerMessage::WorkerSeen { worker: "w10".parse().unwrap(), leaving: true, busy: 0 };
    assert_eq!(outputs, vec![Output::Peer(fixture.placer.clone(), seen)]);
    assert!(fixture.hosts.own()[0].leaving);
}
