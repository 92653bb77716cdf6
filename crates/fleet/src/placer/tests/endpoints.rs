//! Several endpoints, kinds of workers and racks: what holds for one of them is decided by it alone.

use bulrushlink_core::Span;

use super::{Bench, accelerators, step, task};
use crate::ids::{JobId, Run, TaskId};
use crate::model::{JobSpec, Resources, Step};
use crate::placer::pace::WorkerPace;
use crate::placer::worker::{Phase, Slot, Worker};
use crate::record::Outcome;

/// Whole accelerators of a worker.
const ALL: u64 = 8;

/// Some equal workers of an endpoint.
struct Group {
    endpoint: &'static str,
    label: &'static str,
    racks: usize,
    /// Accelerators in use on each worker of a rack.
    used: &'static [u64],
}

/// A endpoint on which gangs of two whole workers find no rack with two free ones: each rack has one.
const IDLE_RACKS: Group = Group { endpoint: "dispatch", label: "a", racks: 4, used: &[0, 1, 1] };
/// The same, while more than half of the accelerators are in use.
const BUSY_RACKS: Group = Group { endpoint: "dispatch", label: "a", racks: 4, used: &[0, 8, 7] };

/// Returns a placer with these workers, each with a long run on its used accelerators.
fn bench(groups: &[Group]) -> Bench {
    let workers: usize = groups.iter().map(|g| g.racks * g.used.len()).sum();
    let mut bench = Bench::open(&vec![accelerators(ALL); workers]);
    let (mut at, now) = (0, bench.now);
    for (number, group) in groups.iter().enumerate() {
        for rack in 0..group.racks {
            for used in group.used {
                let worker: &mut Worker = &mut bench.placer.workers[at];
                let entry = worker.entry.as_mut().expect("an entry");
                entry.endpoint = group.endpoint.to_string();
                entry.labels = vec![group.label.to_string()];
                entry.rack = Some(format!("r{number}-{rack}").parse().expect("a valid name"));
                if *used > 0 {
                    let need = accelerators(*used);
                    let need = Resources { cpu: need.cpu * used / ALL, memory: 1, ..need };
                    let task = TaskId { index: at as u32, ..task(99, 0) };
                    worker.insert_slot(Slot::new(task, Run(1), need, Phase::Running, now));
                }
                at += 1;
            }
        }
    }
    bench
}

/// Returns a gang of two whole workers that belongs on one rack.
fn gang() -> Step {
    Step { one_rack: true, ..step(2, true, ALL) }
}

/// Lets time pass, with a placement in each tenth of a second; returns the tasks of job 1 that start.
fn wait(bench: &mut Bench, millis: u64) -> Vec<TaskId> {
    let mut started = Vec::new();
    for _ in 0..millis / 100 {
        bench.now += Span(90);
        bench.placer.reading.fresh = Some(bench.now);
        bench.pass();
        started.extend(bench.commit().into_iter().filter(|t| t.job == JobId(1)));
    }
    started
}

/// Guards against a gang that waits for a rack as long as another endpoint is busy, though its own has room
/// for it many times over (review case 4, LOST). A job may be without a run for 3 s then.
#[test]
fn busy_endpoint_does_not_keep_a_gang_of_an_idle_one_on_its_rack() {
    let other = Group { endpoint: "review", label: "a", racks: 3, used: &[8, 8, 8, 8] };
    let mut bench = bench(&[IDLE_RACKS, other]);
    bench.add_job(1, 1, gang());
    assert_eq!(wait(&mut bench, 3_000).len(), 2);
}

/// Guards against a gang that is spread over the racks of a busy endpoint, and so takes several times as
/// long, because another endpoint is idle.
#[test]
fn idle_endpoint_does_not_spread_a_gang_of_a_busy_one() {
    let other = Group { endpoint: "review", label: "a", racks: 6, used: &[0, 0, 0, 0] };
    let mut bench = bench(&[BUSY_RACKS, other]);
    bench.add_job(1, 1, gang());
    assert_eq!(wait(&mut bench, 5_000), []);
}

/// Guards against a gang that waits for a rack while its label's workers are idle and those of other labels
/// in the endpoint are busy.
#[test]
fn busy_kind_does_not_keep_a_gang_of_an_idle_one_on_its_rack() {
    let other = Group { endpoint: "dispatch", label: "b", racks: 4, used: &[8, 8, 8, 8] };
    let mut bench = bench(&[IDLE_RACKS, other]);
    bench.add_job(1, 1, Step { label: Some("a".to_string()), ..gang() });
    assert_eq!(wait(&mut bench, 3_000).len(), 2);
}

/// Guards against a gang that waits for a rack while under half of its endpoint is in use, because its
/// label's workers are busy: it may not wait for longer than 3 s if there is room for it twice over.
#[test]
fn gang_of_a_busy_kind_in_an_idle_endpoint_starts() {
    let other = Group { endpoint: "dispatch", label: "b", racks: 6, used: &[0, 0, 0, 0] };
    let mut bench = bench(&[BUSY_RACKS, other]);
    bench.add_job(1, 1, Step { label: Some("a".to_string()), ..gang() });
    assert_eq!(wait(&mut bench, 3_000).len(), 2);
}

/// Guards against a gang that waits for a rack because workers too small for its tasks are busy.
#[test]
fn busy_small_workers_do_not_keep_a_gang_on_its_rack() {
    let other = Group { endpoint: "dispatch", label: "a", racks: 6, used: &[4, 4, 4, 4] };
    let mut bench = bench(&[IDLE_RACKS, other]);
    for worker in &mut bench.placer.workers[12..] {
        worker.entry.as_mut().expect("an entry").capacity = accelerators(4);
    }
    bench.add_job(1, 1, gang());
    assert_eq!(wait(&mut bench, 3_000).len(), 2);
}

/// Guards against speeds that are compared across endpoints: where all workers of an endpoint were slower than
/// those of another, they all counted as equally slow, and a gang got the slowest.
#[test]
fn speeds_of_another_endpoint_do_not_matter() {
    let own = Group { endpoint: "dispatch", label: "a", racks: 1, used: &[0, 0, 0] };
    let other = Group { endpoint: "review", label: "a", racks: 1, used: &[0, 0, 0] };
    let mut bench = bench(&[own, other]);
    let logs = [-1.6, -1.0, -1.0, 1.0, 1.0, 1.0];
    for (worker, log) in bench.placer.workers.iter_mut().zip(logs) {
        worker.pace = WorkerPace::known(log);
    }
    bench.add_job(1, 0, step(2, true, ALL));
    assert_eq!(wait(&mut bench, 100).len(), 2);
    assert_eq!(bench.placer.workers[0].slots.len(), 0, "the gang is on the slowest worker");
}

/// Adds a job to a queue of another endpoint, which only the job names.
fn add_job_of(bench: &mut Bench, endpoint: &str, id: u64, priority: u32, step: Step) {
    bench.add_job(id, priority, step);
    let at = bench.placer.jobs.position(JobId(id)).expect("the job");
    let queue = &mut bench.placer.jobs[at].accepted_queue;
    (queue.name, queue.endpoint) = (format!("{endpoint}-{priority}"), endpoint.to_string());
}

/// Three of four workers in use.
const NEARLY_FULL: Group =
    Group { endpoint: "dispatch", label: "a", racks: 1, used: &[0, 8, 8, 8] };

/// Guards against room that is kept free in one endpoint for the urgent work of another.
#[test]
fn urgent_work_of_another_endpoint_reserves_nothing() {
    let other = Group { endpoint: "review", label: "a", racks: 1, used: &[8, 8, 8, 8] };
    let mut bench = bench(&[NEARLY_FULL, other]);
    bench.features.timely_preemption = true;
    add_job_of(&mut bench, "review", 2, 0, step(4, true, ALL));
    bench.pass();
    bench.add_job(1, 1, step(1, false, ALL));
    assert_eq!(wait(&mut bench, 100).len(), 1);
}

/// Guards against room for urgent work that is given away because another endpoint has room.
#[test]
fn room_of_another_endpoint_does_not_count_for_the_reserve() {
    let other = Group { endpoint: "review", label: "a", racks: 1, used: &[0, 0, 0, 0] };
    let mut bench = bench(&[NEARLY_FULL, other]);
    bench.features.timely_preemption = true;
    bench.add_job(2, 0, step(4, true, ALL));
    bench.pass();
    bench.placer.jobs[0].finish(Outcome::Cancelled, 0);
    bench.add_job(1, 1, step(1, false, ALL));
    assert_eq!(wait(&mut bench, 500), []);
}

/// One rack without a free accelerator, beside idle racks of another group.
const FULL_RACK: Group = Group { endpoint: "dispatch", label: "a", racks: 1, used: &[8, 8] };

/// Returns a step whose data is on the full rack.
fn step_near_full_rack() -> Step {
    Step { near: Some("r0-0".parse().expect("a valid name")), ..step(2, false, 1) }
}

/// Guards against a job that has nothing running because the rack of its data is full, while its endpoint has
/// room for it many times over. It may be so for 3 s; with long tasks it waited for half a minute.
#[test]
fn full_rack_does_not_keep_a_job_of_an_idle_endpoint_waiting() {
    let others = Group { endpoint: "dispatch", label: "a", racks: 4, used: &[0, 0] };
    let mut bench = bench(&[FULL_RACK, others]);
    bench.add_job(1, 1, step_near_full_rack());
    assert_eq!(wait(&mut bench, 3_000).len(), 2);
}

/// Guards against tasks that leave the rack of their data early although they have to share their endpoint's
/// room with other work, or although their job goes on meanwhile.
#[test]
fn tasks_wait_for_the_rack_of_their_data_if_they_may() {
    let busy = Group { endpoint: "dispatch", label: "a", racks: 4, used: &[4, 5] };
    let mut bench_of_busy = bench(&[FULL_RACK, busy]);
    bench_of_busy.add_job(1, 1, step_near_full_rack());
    assert_eq!(wait(&mut bench_of_busy, 5_000), []);

    let others = Group { endpoint: "dispatch", label: "a", racks: 4, used: &[0, 0] };
    let mut bench = bench(&[FULL_RACK, others]);
    let steps = vec![step(1, false, 1), step_near_full_rack()];
    bench.add_spec(1, 1, JobSpec { text: String::new(), steps, schedule: None });
    let started = wait(&mut bench, 5_000);
    assert!(started.iter().all(|t| t.step == 0), "{started:?}");
}
