//! Whether callers are shown a job as pending or as running follows from what workers have confirmed.

use bulrushlink_core::Span;

use super::{Bench, accelerators, step, task};
use crate::edge::{
    EndCause, EndReport, Fault, Output, RunReport, StartRefusal, StoreOp, StoreReply, WorkerReply,
};
use crate::ids::{JobId, Rev, Run};
use crate::placer::Stage;
use crate::placer::job::Job;
use crate::placer::worker::Phase;
use crate::record::{Item, JobRecord, StateRecord, decode, encode, keys};

/// What the store shows of job 1 after the commits that were sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Shown {
    begun: bool,
    pending: bool,
}

/// Largest age of the number of pending jobs, by the users' page.
const PENDING_AGE_MAX: Span = Span(2_000);
const WAITING: Shown = Shown { begun: false, pending: true };
const BEGUN: Shown = Shown { begun: true, pending: false };

/// A placer with one worker, and what the store shows of job 1.
struct Fixture {
    bench: Bench,
    shown: Shown,
}

impl Fixture {
    fn open() -> Self {
        let mut bench = Bench::open(&[accelerators(8)]);
        bench.add_job(1, 1, step(1, false, 8));
        Self { bench, shown: WAITING }
    }

    /// Lets the placer work for a while, with a read of the entries, and all its commits succeed.
    fn run(&mut self, time: Span) {
        let end = self.bench.now + time;
        while self.bench.now < end {
            self.bench.now += Span(90);
            self.bench.show(vec![(1, accelerators(8))]);
            self.bench.pass();
            self.store();
        }
    }

    /// Lets all commits succeed.
    fn store(&mut self) {
        let marker = keys::marker("queue-1", JobId(1));
        for output in std::mem::take(&mut self.bench.out) {
            let Output::Store(_, StoreOp::Commit(commit), _) = output else { continue };
            for (key, value, _) in commit.writes {
                if key == keys::state(JobId(1)) {
                    self.shown.begun = decode::<StateRecord>(&value).expect("a state").begun;
                }
            }
            self.shown.pending &= !commit.removes.contains(&marker);
        }
        self.bench.commit();
    }

    fn answer_start(&mut self, result: Result<WorkerReply, Fault>) {
        let worker = &self.bench.placer.workers[0];
        let (id, fence) = (worker.id().clone(), worker.fence);
        let run = worker.slots[0].run;
        self.bench.with(|p, ctx| p.start_answered(ctx, (&id, fence), &task(1, 0), run, result));
    }
}

/// A job counted as begun from the commit that recorded its start on, before the start was sent (review case 15).
#[test]
fn job_is_pending_until_a_worker_has_confirmed_its_start() {
    let mut fixture = Fixture::open();
    fixture.run(Span(90));
    assert_eq!(fixture.bench.placer.workers[0].slots[0].phase, Phase::Starting);
    fixture.run(Span(2_000));
    assert_eq!(fixture.shown, WAITING);
    fixture.answer_start(Ok(WorkerReply::Done));
    fixture.run(PENDING_AGE_MAX);
    assert_eq!(fixture.shown, BEGUN);
}

/// A start that is refused, or wasn't sent, has not begun the job.
#[test]
fn job_whose_start_is_refused_stays_pending() {
    let refusals = [
        StartRefusal::Unhealthy,
        StartRefusal::NoRoom,
        StartRefusal::OtherBoot,
        StartRefusal::LeaseOver,
        StartRefusal::OldRun,
        StartRefusal::BadCall,
    ];
    let refused = refusals.map(|r| Ok(WorkerReply::Refused(r)));
    let unsent = Err(Fault::NotDone("connection refused".to_string()));
    let unknown = Err(Fault::Unknown("no answer in time".to_string()));
    for result in refused.into_iter().chain([unsent, unknown]) {
        let mut fixture = Fixture::open();
        fixture.run(Span(90));
        fixture.answer_start(result.clone());
        fixture.run(Span(3_000));
        assert_eq!(fixture.shown, WAITING, "{result:?}");
    }
}

/// A start that is withheld after its commit has not begun the job.
#[test]
fn job_whose_start_is_withheld_stays_pending() {
    let mut fixture = Fixture::open();
    fixture.bench.pass();
    fixture.bench.show(vec![(1, accelerators(2))]);
    fixture.store();
    assert!(fixture.bench.placer.workers[0].slots.is_empty());
    assert_eq!(fixture.shown, WAITING);
}

/// The reply to the start is lost, and the worker lists the run, or its end.
#[test]
fn job_has_begun_once_its_run_or_end_is_listed() {
    let saved = String::new;
    let running = RunReport { task: task(1, 0), run: Run(1), saved: saved(), percent: 1 };
    let cause = EndCause::Failed;
    let end = EndReport { number: 1, task: task(1, 0), run: Run(1), cause, saved: saved() };
    for (running, ended) in [(vec![running], Vec::new()), (Vec::new(), vec![end])] {
        let mut fixture = Fixture::open();
        fixture.run(Span(90));
        let now = fixture.bench.now;
        fixture.bench.answer_hold(
            0,
            now,
            Some(5),
            WorkerReply::Lists { born: Some(1), running, ended },
        );
        fixture.run(PENDING_AGE_MAX);
        assert_eq!(fixture.shown, BEGUN);
    }
}

/// A confirmation that came while a commit was in flight took the marker for removed, and the job counted as pending
/// until its end.
#[test]
fn confirmation_during_a_commit_is_stored_by_the_next_one() {
    let mut fixture = Fixture::open();
    fixture.run(Span(90));
    fixture.bench.placer.jobs[0].mark_dirty();
    fixture.bench.pass();
    fixture.answer_start(Ok(WorkerReply::Done));
    fixture.store();
    assert_eq!(fixture.shown, WAITING);
    fixture.run(PENDING_AGE_MAX);
    assert_eq!(fixture.shown, BEGUN);
}

/// A run that is lost after it was confirmed has begun the job: a task of it has started.
#[test]
fn job_whose_confirmed_run_is_lost_has_begun() {
    let mut fixture = Fixture::open();
    fixture.run(Span(90));
    fixture.answer_start(Ok(WorkerReply::Done));
    fixture.bench.with(|p, ctx| p.handle_reboot(ctx, 0, 2));
    fixture.run(PENDING_AGE_MAX);
    assert_eq!(fixture.shown, BEGUN);
}

/// A successor finds the start that the former leader recorded. The job counts as begun only if a worker lists the run.
#[test]
fn successor_shows_a_recorded_start_as_begun_only_if_a_worker_lists_it() {
    for is_there in [false, true] {
        let mut fixture = Fixture::open();
        fixture.run(Span(90));
        let mut job = fixture.bench.placer.jobs[0].clone();
        job.prepare_state();
        let value = encode(&job.state).expect("the state can be encoded");
        let item = Item { key: keys::state(JobId(1)), value, rev: Rev(2) };
        let (spec, queue) = (job.spec.clone(), job.accepted_queue.clone());
        let workspace = job.state.workspace.clone();
        let record = JobRecord { spec, queue, workspace, accepted: 0 };

        let mut next = Fixture { bench: Bench::open(&[accelerators(8)]), shown: WAITING };
        let (state, now) = (StateRecord::default(), next.bench.now);
        next.bench.placer.jobs.push(Job::new(JobId(1), record, state, Rev(1), now));
        next.bench.placer.stage = Stage::States;
        next.bench.with(|p, ctx| {
            p.states_page_read(ctx, Ok(StoreReply::Page(vec![item], false, Rev(2))));
        });
        next.run(Span(90));
        assert_eq!(next.shown, WAITING);
        let run = RunReport { task: task(1, 0), run: Run(1), saved: String::new(), percent: 1 };
        let running = if is_there { vec![run] } else { Vec::new() };
        let now = next.bench.now;
        next.bench.report(0, now, 500, running);
        next.run(PENDING_AGE_MAX);
        assert_eq!(next.shown, if is_there { BEGUN } else { WAITING });
    }
}
