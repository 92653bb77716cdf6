use super::*;

fn task(attempt: u32, index: u16) -> TaskId {
    TaskId { key: "etch/r1".parse().unwrap(), attempt: Attempt(attempt), task: index }
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
fn gang_is_partial_before_last_start_and_after_first_stop() {
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

/// Members of a gang end at different times; that must not look like a partial gang.
#[test]
fn completed_member_does_not_count_as_missing() {
    let record = Record::open();
    record.start(run("w1", task(2, 0), 1, 100));
    record.start(run("w2", task(2, 1), 1, 100));
    record.end(&"w1".parse().unwrap(), &task(2, 0), Moment(200), RunEnd::Completed);
    assert_eq!(record.partials(Moment(300)), []);
    assert_eq!(record.attempts(&"etch/r1".parse().unwrap()), [Attempt(2)]);
}

#[test]
#[should_panic(expected = "share accelerators")]
fn start_on_accelerators_in_use_panics() {
    let record = Record::open();
    record.start(run("w1", task(1, 0), 0b011, 0));
    record.start(run("w1", task(1, 1), 0b110, 0));
}
