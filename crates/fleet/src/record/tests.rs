//! Tests that daemons of different versions read each other's records.

use super::{
    CrashRecord, Known, LAYOUT_VERSION, LostRun, Outcome, RoundRecord, StateRecord, StepRecord,
    TaskRecord, decode, encode,
};
use crate::catalog::Queue;
use crate::ids::{Boot, Run};
use bulrushlink_core::{Span, WorkspaceId};

/// The fields of a state before crashes were counted, in their order.
type FirstState = (Option<WorkspaceId>, Option<Outcome>, u64, bool, Vec<RoundRecord>, Vec<u32>);

fn boot() -> Boot {
    Boot { worker: "i-1".parse().expect("a valid name"), born: 7 }
}

fn first_state() -> FirstState {
    let task = TaskRecord { run: Run(3), place: Some(boot()), ..TaskRecord::default() };
    let steps = vec![StepRecord { tasks: vec![task], ..StepRecord::default() }];
    (None, None, 0, true, vec![RoundRecord { round: 2, steps, done: Known::default() }], vec![0, 1])
}

/// Guards against accepted jobs that are ignored after an upgrade because their records can't be
/// read.
#[test]
fn state_of_an_earlier_version_is_read_without_crashes() {
    let (workspace, outcome, ended, begun, rounds, finished) = first_state();
    let bytes = postcard::to_extend(&first_state(), vec![LAYOUT_VERSION]).expect("encodable");
    let state: StateRecord = decode(&bytes).expect("readable");
    let crashes = Vec::new();
    let queue = String::new();
    let expected =
        StateRecord { workspace, outcome, ended, begun, rounds, finished, crashes, queue };
    assert_eq!(state, expected);
}

/// Guards against jobs that a daemon of an earlier version ignores while daemons are upgraded one by
/// one.
#[test]
fn earlier_version_reads_a_state_with_crashes() {
    let (workspace, outcome, ended, begun, rounds, finished) = first_state();
    let addr = Some(([10, 0, 0, 1], 80).into());
    let lost = vec![LostRun { run: Run(2), boot: boot(), addr, confirmed: true }];
    let crashes = vec![CrashRecord { lost, ..CrashRecord::new(2, 0, 0) }];
    let queue = "replay".to_string();
    let state = StateRecord { workspace, outcome, ended, begun, rounds, finished, crashes, queue };
    let bytes = encode(&state).expect("encodable");
    assert_eq!(bytes[0], LAYOUT_VERSION);
    assert_eq!(postcard::from_bytes::<FirstState>(&bytes[1..]), Ok(first_state()));
    assert_eq!(decode::<StateRecord>(&bytes), Ok(state));
}

/// A job that an earlier version stored must stay known at its queue, whichever that is.
#[test]
fn state_without_a_queue_belongs_to_any() {
    let bytes = postcard::to_extend(&first_state(), vec![LAYOUT_VERSION]).expect("encodable");
    let state: StateRecord = decode(&bytes).expect("readable");
    let named = StateRecord { queue: "replay".to_string(), ..state.clone() };
    for (name, same) in [("replay", true), ("score", false)] {
        let queue = queue(name);
        assert!(state.is_of(&queue));
        assert_eq!(named.is_of(&queue), same);
    }
}

fn queue(name: &str) -> Queue {
    Queue {
        name: name.to_string(),
        host: "jobs.example".to_string(),
        prefix: format!("/{name}/"),
        endpoint: "dispatch".to_string(),
        priority: 1,
        attempts: 2,
        stretch: 3.0,
        target: Span(1_000),
        anonymous: false,
        advised: false,
    }
}

/// Guards against a step that starts before a dependency is done, or never, because of what was known
/// before: the answers must be the same as without any.
#[test]
fn known_progress_gives_the_same_answers() {
    let mut random = fastrand::Rng::with_seed(40);
    for _ in 0..100 {
        let tasks = |random: &mut fastrand::Rng| vec![TaskRecord::default(); random.usize(1..5)];
        let step = |tasks| StepRecord { tasks, ..StepRecord::default() };
        let steps: Vec<StepRecord> = (0..6).map(|_| step(tasks(&mut random))).collect();
        let mut round = RoundRecord { round: 0, steps, done: Known::default() };
        let after: Vec<u16> = (0..8).map(|_| random.u16(0..6)).collect();
        let mut left: Vec<(usize, usize)> =
            (0..6).flat_map(|s| (0..round.steps[s].tasks.len()).map(move |t| (s, t))).collect();
        random.shuffle(&mut left);
        while let Some((s, t)) = left.pop() {
            round.steps[s].tasks[t].done = true;
            let is_done = |s: usize| round.steps[s].tasks.iter().all(|t| t.done);
            assert!((0..6).all(|s| round.steps[s].is_done() == is_done(s)));
            let met = after.iter().all(|a| is_done(usize::from(*a)));
            assert_eq!(round.is_open(5, &after), met);
            assert_eq!(round.is_done(), left.is_empty());
        }
    }
}
