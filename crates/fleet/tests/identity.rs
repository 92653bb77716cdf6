//! Which job a request means: every row of the table in `docs/design/job-identity.md`, against a store in memory.

use bulrushlink_core::{Moment, Span};
use bulrushlink_fleet::{
    Allotment, Answer, CallerCall, CallerVerb, Catalog, Clock, Commit, Input, Item, JobSpec,
    Limits, Node, OperatorView, Output, Queue, RequestId, Rev, StoreOp, StoreReply, Subject, Tag,
    Workspace,
};
use std::collections::BTreeMap;

use support::{node, step};

mod support;

const ID: &str = "20261207000000a1";

fn clock(now: u64) -> Clock {
    Clock { now: Moment(now), wall: 1_800_000_000_000 + now }
}

/// Two queues that need a key, two that don't, and two workspaces with a key each.
fn catalog() -> Catalog {
    let queue = |name: &str, anonymous: bool| Queue {
        name: name.to_string(),
        host: "jobs.example".to_string(),
        prefix: format!("/{name}/"),
        endpoint: "dispatch".to_string(),
        priority: 1,
        attempts: 2,
        stretch: 3.0,
        target: Span(1_000),
        anonymous,
        advised: false,
    };
    let workspace = |name: &str| Workspace {
        name: name.parse().expect("valid name"),
        keys: vec![format!("key-{name}")],
        guaranteed: 0,
        allotment: Some(Allotment::default()),
    };
    let limits =
        Limits { head: 16_384, body: 262_144, head_time: Span(3_000), idle_time: Span(15_000) };
    Catalog {
        version: 1,
        rev: Rev(1),
        size: 500,
        queues: vec![
            queue("roster", false),
            queue("score", false),
            queue("open", true),
            queue("notes", true),
        ],
        workspaces: vec![workspace("north"), workspace("south")],
        limits,
    }
}

/// The part of the store that the records of jobs are in.
#[derive(Clone, Default)]
struct Store {
    rev: u64,
    items: BTreeMap<String, Item>,
}

impl Store {
    fn answer(&mut self, op: StoreOp) -> StoreReply {
        match op {
            StoreOp::Catalog => StoreReply::Operator(OperatorView {
                catalog: Some(catalog()),
                evacuated: Vec::new(),
            }),
            StoreOp::Get(key) => StoreReply::Item(self.items.get(&key).cloned(), Rev(self.rev)),
            StoreOp::Commit(commit) => self.commit(commit),
            other => panic!("unexpected call {other:?}"),
        }
    }

    fn commit(&mut self, commit: Commit) -> StoreReply {
        let present = |subject: &Subject| match subject {
            Subject::Key(key) => self.items.get(key).map_or(Rev::ABSENT, |i| i.rev),
            Subject::Catalog => catalog().rev,
        };
        if commit.expect.iter().any(|(subject, rev)| present(subject) != *rev) {
            let key = |(subject, _): &(Subject, Rev)| match subject {
                Subject::Key(key) => self.items.get(key).cloned(),
                Subject::Catalog => None,
            };
            let items = commit.expect.iter().filter_map(key).collect();
            return StoreReply::Conflict(items, Some(catalog()));
        }
        self.rev += 1;
        for (key, value, _) in commit.writes {
            let rev = Rev(self.rev + 1);
            self.items.insert(key.clone(), Item { key, value, rev });
        }
        for key in commit.removes {
            self.items.remove(&key);
        }
        StoreReply::Committed(Rev(self.rev))
    }

    fn cancelled(&self) -> bool {
        self.items.keys().any(|k| k.contains("/cancel/"))
    }
}

/// A daemon with one request, whose store calls are answered one at a time.
struct Daemon {
    node: Node,
    outputs: Vec<Output>,
}

impl Daemon {
    fn open(store: &mut Store) -> Self {
        let mut node = node();
        let outputs = node.handle(clock(0), Input::Tick);
        let read = outputs.into_iter().find_map(|o| match o {
            Output::Store(tag @ Tag::Catalog(_), op, _) => Some((tag, op)),
            _ => None,
        });
        let (tag, op) = read.expect("a read of the configuration");
        node.handle(clock(5), Input::Store(tag, Ok(store.answer(op))));
        Self { node, outputs: Vec::new() }
    }

    fn send(&mut self, queue: &str, key: Option<&str>, verb: CallerVerb) {
        let call = CallerCall {
            host: "jobs.example".to_string(),
            path: format!("/{queue}/{ID}"),
            key: key.map(str::to_string),
            timeout: Some(Span(3_000)),
            verb,
        };
        self.outputs = self.node.handle(clock(10), Input::Caller(RequestId(1), call));
    }

    /// Answers the call that the request waits for; returns the answer of the request once there is one.
    fn advance(&mut self, store: &mut Store) -> Option<Answer> {
        for output in std::mem::take(&mut self.outputs) {
            match output {
                Output::Answer(_, answer) => return Some(answer),
                Output::Store(tag @ (Tag::Front(..) | Tag::Catalog(_)), op, _) => {
                    let reply = Ok(store.answer(op));
                    self.outputs.extend(self.node.handle(clock(20), Input::Store(tag, reply)));
                }
                _ => {}
            }
        }
        None
    }

    fn answer(mut self, store: &mut Store) -> Answer {
        (0..10).find_map(|_| self.advance(store)).expect("an answer")
    }
}

fn job(text: &str) -> CallerVerb {
    let spec = JobSpec { text: text.to_string(), steps: vec![step(1)], schedule: None };
    CallerVerb::Submit(Ok(spec))
}

fn ask(store: &mut Store, queue: &str, key: Option<&str>, verb: CallerVerb) -> Answer {
    let mut daemon = Daemon::open(store);
    daemon.send(queue, key, verb);
    daemon.answer(store)
}

/// Returns the word for an answer that the table uses.
fn word(answer: &Answer) -> &'static str {
    match answer {
        Answer::Accepted => "accepted",
        Answer::State(_) => "state",
        Answer::Cancelled => "cancelled",
        Answer::NoJob => "410",
        Answer::OtherWorkspace => "403",
        Answer::NoKey => "401",
        Answer::Taken => "409",
        _ => "other",
    }
}

/// Guards against a job that is shown, cancelled or taken for a repeat at another queue or by another workspace than
/// its own (review case 13): its second job was answered as accepted and never ran.
#[test]
fn request_means_a_job_of_its_own_queue() {
    let (north, south, unknown) = (Some("key-north"), Some("key-south"), Some("key-none"));
    let taken = ["410", "410", "409", "409"];
    let known = ["state", "cancelled", "accepted", "409"];
    let other = ["403", "403", "409", "409"];
    let denied = ["401"; 4];
    // The job's queue and key; the request's queue and key; the answers to GET, DELETE, the same POST and a POST
    // with another content.
    let rows = [
        ("roster", north, "roster", north, known),
        ("roster", north, "roster", south, other),
        ("roster", north, "roster", unknown, denied),
        ("roster", north, "roster", None, denied),
        ("roster", north, "score", north, taken),
        ("roster", north, "score", south, taken),
        ("roster", north, "score", None, denied),
        ("roster", north, "open", north, taken),
        ("roster", north, "open", south, taken),
        ("roster", north, "open", unknown, taken),
        ("roster", north, "open", None, taken),
        ("open", None, "open", None, known),
        ("open", None, "open", north, known),
        ("open", None, "open", unknown, known),
        ("open", None, "roster", north, taken),
        ("open", None, "notes", None, taken),
        ("open", north, "open", north, known),
        ("open", north, "open", None, known),
        ("open", north, "open", south, known),
        ("open", north, "roster", north, taken),
        ("open", north, "notes", north, taken),
    ];
    for (queue, key, at, with, expected) in rows {
        let mut stored = Store::default();
        assert_eq!(ask(&mut stored, queue, key, job("x")), Answer::Accepted);
        let verbs = [CallerVerb::Get, CallerVerb::Cancel, job("x"), job("y")];
        for (verb, expected) in verbs.into_iter().zip(expected) {
            let row = format!("{queue} {key:?}, at {at} with {with:?}: {verb:?}");
            let mut store = stored.clone();
            assert_eq!(word(&ask(&mut store, at, with, verb)), expected, "{row}");
            assert_eq!(store.cancelled(), expected == "cancelled", "{row}");
            assert_eq!(store.items.len() - usize::from(store.cancelled()), stored.items.len());
        }
    }
}

/// Two daemons get the jobs of two queues, or of two workspaces, with one identifier at the same time: exactly one is
/// accepted, and the other caller learns that its own wasn't.
#[test]
fn of_two_jobs_at_once_one_is_accepted() {
    let pairs = [
        (("roster", Some("key-north")), ("score", Some("key-north"))),
        (("roster", Some("key-north")), ("score", Some("key-south"))),
        (("roster", Some("key-north")), ("roster", Some("key-south"))),
        (("roster", Some("key-north")), ("open", None)),
        (("open", None), ("notes", None)),
    ];
    for (first, second) in pairs {
        for swapped in [false, true] {
            let mut store = Store::default();
            let mut daemons = [first, second].map(|(queue, key)| {
                let mut daemon = Daemon::open(&mut store);
                daemon.send(queue, key, job("x"));
                daemon
            });
            if swapped {
                daemons.swap(0, 1);
            }
            let answers = daemons.map(|d| d.answer(&mut store));
            assert_eq!(answers, [Answer::Accepted, Answer::Taken], "{first:?} {second:?}");
        }
    }
    // The same job at two daemons is one job.
    let mut store = Store::default();
    let daemons = [(), ()].map(|()| {
        let mut daemon = Daemon::open(&mut store);
        daemon.send("roster", Some("key-north"), job("x"));
        daemon
    });
    assert_eq!(daemons.map(|d| d.answer(&mut store)), [Answer::Accepted, Answer::Accepted]);
}
