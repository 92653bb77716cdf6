use super::*;
use bulrushlink_core::Attempt;

const LEASE: Span = Span(1_000);

struct Fixture {
    worker: WorkerSim,
    checkpoints: Checkpoints,
    record: Record,
}

impl Fixture {
    fn open() -> Self {
        let (checkpoints, record) = (Checkpoints::open(), Record::open());
        let worker = WorkerSim::open(host("w1"), &checkpoints, &record, 1);
        Self { worker, checkpoints, record }
    }

    fn ops(&mut self, ops: Vec<WorkerOp>, now: u64) -> WorkerReply {
        let batch = WorkerBatch { from: "d1".parse().unwrap(), ops, all: false };
        self.worker.handle(&batch, Moment(now))
    }

    fn run(&mut self, id: &TaskId, set: u64, input: &str, now: u64) {
        let reply = self.ops(vec![reserve(id, set), commit(id, input), confirm(id)], now);
        assert_eq!(reply.results, [WorkerResult::Done; 3]);
    }

    fn state(&self, id: &TaskId, now: u64) -> Option<TaskState> {
        let tasks = self.worker.tasks(Moment(now));
        tasks.into_iter().find(|t| t.id == *id).map(|t| t.state)
    }
}

fn host(name: &str) -> Host {
    Host {
        id: name.parse().unwrap(),
        region: "jateng".parse().unwrap(),
        domain: "kudus-b".parse().unwrap(),
        rack: "k1".parse().unwrap(),
        addr: "127.0.0.1:1".parse().unwrap(),
        accelerators: 8,
        slots: 2,
        leaving: false,
    }
}

fn task(request: &str, index: u16) -> TaskId {
    let key = format!("etch/{request}").parse().unwrap();
    TaskId { key, attempt: Attempt(1), task: index }
}

fn reserve(id: &TaskId, set: u64) -> WorkerOp {
    WorkerOp::Reserve { id: id.clone(), set: AcceleratorSet(set), lease: LEASE }
}

fn commit(id: &TaskId, input: &str) -> WorkerOp {
    let (input, kind) = (input.to_string(), "render".to_string());
    WorkerOp::Commit { id: id.clone(), input, kind, gang: 1, lease: LEASE }
}

fn confirm(id: &TaskId) -> WorkerOp {
    WorkerOp::Confirm { id: id.clone(), lease: Span(10_000) }
}

#[test]
fn accelerators_and_slots_are_reserved_only_once() {
    let mut fixture = Fixture::open();
    let (a, b, c) = (task("a", 0), task("b", 0), task("c", 0));
    let reply = fixture.ops(vec![reserve(&a, 0b11), reserve(&b, 0b10), reserve(&b, 0b100)], 0);
    assert_eq!(reply.results, [WorkerResult::Done, WorkerResult::Busy, WorkerResult::Done]);
    let reply = fixture.ops(vec![reserve(&c, 0), reserve(&a, 0b11), reserve(&b, 1 << 9)], 0);
    assert_eq!(reply.results, [WorkerResult::Busy, WorkerResult::Done, WorkerResult::Busy]);
}

/// A commit that arrives late could start a task on accelerators that were reserved again since.
#[test]
fn commit_after_expired_reservation_starts_nothing() {
    let mut fixture = Fixture::open();
    let a = task("a", 0);
    fixture.ops(vec![reserve(&a, 1)], 0);
    let reply = fixture.ops(vec![commit(&a, "")], 1_000);
    assert_eq!(reply.results, [WorkerResult::Lapsed]);
    assert_eq!(fixture.record.runs(), []);
}

/// A daemon that dies before `Confirm` must not leave a partial gang running.
#[test]
fn unconfirmed_task_stops_when_its_lease_expires() {
    let mut fixture = Fixture::open();
    let a = task("a", 0);
    fixture.ops(vec![reserve(&a, 1), commit(&a, "sleep 9000")], 0);
    fixture.worker.advance(Moment(5_000));
    let stopped = TaskState::Stopped { saved: false, lapsed: true };
    assert_eq!(fixture.state(&a, 5_000), Some(stopped));
    assert_eq!(fixture.record.runs()[0].ended, Some(Moment(1_000)));
}

#[test]
fn input_sets_run_time_and_outcome() {
    let mut fixture = Fixture::open();
    let (a, b) = (task("a", 0), task("b", 0));
    fixture.run(&a, 1, "sleep 1500", 0);
    fixture.run(&b, 2, "sleep 500 fail", 0);
    fixture.worker.advance(Moment(1_499));
    assert_eq!(fixture.state(&a, 1_499), Some(TaskState::Confirmed));
    assert!(matches!(fixture.state(&b, 1_499), Some(TaskState::Failed { .. })));
    fixture.worker.advance(Moment(1_500));
    let Some(TaskState::Completed { output }) = fixture.state(&a, 1_500) else {
        panic!("the task has run for 1500 ms and must have completed");
    };
    assert!(output.ends_with(".0"));
}

#[test]
fn checkpointed_task_resumes_with_its_remaining_run_time() {
    let mut fixture = Fixture::open();
    let a = task("a", 0);
    fixture.run(&a, 1, "sleep 5000", 0);
    fixture.ops(vec![WorkerOp::Checkpoint { id: a.clone() }], 1_000);
    fixture.worker.advance(Moment(2_000));
    let saved = TaskState::Stopped { saved: true, lapsed: false };
    assert_eq!(fixture.state(&a, 2_000), Some(saved));
    let remaining = fixture.checkpoints.remaining(&a.key, 0).unwrap();
    assert!(remaining < Span(4_000) && remaining > Span(3_000), "{remaining}");
    let mut other = WorkerSim::open(host("w2"), &fixture.checkpoints, &fixture.record, 2);
    let again = TaskId { attempt: Attempt(2), ..a.clone() };
    let ops = vec![reserve(&again, 1), commit(&again, "sleep 5000"), confirm(&again)];
    let batch = WorkerBatch { from: "d2".parse().unwrap(), ops, all: false };
    other.handle(&batch, Moment(3_000));
    assert_eq!(other.next_change(), Some(Moment(3_000) + remaining));
}

#[test]
fn throttled_task_takes_longer() {
    let mut fixture = Fixture::open();
    let a = task("a", 0);
    fixture.run(&a, 1, "sleep 2000", 0);
    fixture.ops(vec![WorkerOp::Throttle { id: a.clone(), percent: 50 }], 1_000);
    assert_eq!(fixture.worker.next_change(), Some(Moment(3_000)));
}

/// The reply with the end of a task can be lost, so that end is reported again until `Forget`.
#[test]
fn ended_tasks_are_reported_until_forgotten_and_running_tasks_once() {
    let mut fixture = Fixture::open();
    let (a, b) = (task("a", 0), task("b", 0));
    fixture.run(&a, 1, "sleep 100", 0);
    fixture.run(&b, 2, "sleep 9000", 0);
    assert_eq!(fixture.ops(vec![], 50).tasks.len(), 0);
    let ended =
        |reply: WorkerReply| -> Vec<TaskId> { reply.tasks.into_iter().map(|t| t.id).collect() };
    assert_eq!(ended(fixture.ops(vec![], 200)), std::slice::from_ref(&a));
    assert_eq!(ended(fixture.ops(vec![], 300)), std::slice::from_ref(&a));
    assert_eq!(ended(fixture.ops(vec![WorkerOp::Forget { id: a }], 400)), []);
    let batch = WorkerBatch { from: "d1".parse().unwrap(), ops: vec![], all: true };
    assert_eq!(ended(fixture.worker.handle(&batch, Moment(400))), [b]);
}

#[test]
fn busy_accelerators_are_reported_with_a_lag() {
    let mut fixture = Fixture::open();
    fixture.run(&task("a", 0), 0b110, "sleep 9000", 1_000);
    assert_eq!(fixture.ops(vec![], 3_900).busy, AcceleratorSet::EMPTY);
    assert_eq!(fixture.ops(vec![], 4_000).busy, AcceleratorSet(0b110));
}

#[test]
fn failing_worker_fails_new_tasks_and_dead_worker_loses_all() {
    let mut fixture = Fixture::open();
    let (a, b) = (task("a", 0), task("b", 0));
    fixture.run(&a, 1, "sleep 9000", 0);
    fixture.worker.set_mode(WorkerMode::FailsAll, Moment(10));
    fixture.ops(vec![reserve(&b, 2), commit(&b, "sleep 9000")], 10);
    assert!(matches!(fixture.state(&b, 10), Some(TaskState::Failed { .. })));
    fixture.worker.set_mode(WorkerMode::Dead, Moment(20));
    assert_eq!(fixture.record.runs_of(&a.key)[0].end, Some(RunEnd::Lost));
    assert_eq!(fixture.worker.tasks(Moment(20)), []);
}
