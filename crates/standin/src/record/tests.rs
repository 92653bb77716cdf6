use super::*;

fn task(attempt: u32, ordinal: u16) -> TaskId {
    TaskId { key: "etch/r1".parse().unwrap(), attempt: Attempt(attempt), task: ordinal }
}

fn run(worker: &str, task: TaskId, set: u64, started: u64) -> Run {
    Run {
        worker: worker.parse().unwrap(),
        task,
        gang: 2,
        set: AcceleratorSet(set),
        started: Moment(started),
        ended: None,
        end: None,
    }
}

#[test]
fn a_gang_is_partial_until_its_last_member_starts_and_after_one_is_stopped() {
    let record = Record::open();
    let stopped = RunEnd::Stopped { saved: false, lapsed: true };
    record.start(run("w1", task(1, 0), 1, 100));
    record.start(run("w2", task(1, 1), 1, 130));
    record.end(&"w1".parse().unwrap(), &task(1, 0), Moment(200), stopped);
    record.end(&"w2".parse().unwrap(), &task(1, 1), Moment(250), stopped);
    let lengths: Vec<Span> = record.partials(Moment(900)).iter().map(|p| p.length()).collect();
    assert_eq!(lengths, [Span(30), Span(50)]);
    assert_eq!(record.partial_at(Moment(150)), []);
    assert_eq!(record.partial_at(Moment(220)).len(), 1);
}

#[test]
fn a_member_that_completed_is_not_missing() {
    let record = Record::open();
    record.start(run("w1", task(2, 0), 1, 100));
    record.start(run("w2", task(2, 1), 1, 100));
    record.end(&"w1".parse().unwrap(), &task(2, 0), Moment(200), RunEnd::Completed);
    assert_eq!(record.partials(Moment(300)), []);
    assert_eq!(record.attempts(&"etch/r1".parse().unwrap()), [Attempt(2)]);
}

#[test]
#[should_panic(expected = "share accelerators")]
fn overlapping_accelerators_are_caught() {
    let record = Record::open();
    record.start(run("w1", task(1, 0), 0b011, 0));
    record.start(run("w1", task(1, 1), 0b110, 0));
}
