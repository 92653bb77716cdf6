use bulrushlink_api::{JobList, JobState, ListQuery, StatusQuery, SubmitBody};
use bulrushlink_core::{Code, Span};

use crate::edge::{CallerCall, Input};
use crate::harness::{Fate, Net, job, long_job};

const ONE_DOMAIN: &[(&str, usize)] = &[("cuenca", 1)];
const TWO_DOMAINS: &[(&str, usize)] = &[("cuenca", 3), ("norte", 2)];
const MINUTE: Span = Span::from_secs(60);
const REFUSAL_WAIT_MAX: Span = Span(1_500);

/// Makes the store refuse every call, and waits until the daemons have noticed.
fn take_store_down(net: &mut Net) {
    net.store_rule = Box::new(|_, _| Fate::Refuse);
    net.run(Span::from_secs(5));
}

fn bring_store_up(net: &mut Net) {
    net.store_rule = Box::new(|_, _| Fate::Deliver);
}

/// Guards against a job accepted without a durable record, or a refused one that runs later, while
/// the store refuses every call. Only idempotent jobs with a waiting caller may run then.
#[test]
fn without_the_store_only_idempotent_jobs_whose_callers_wait_are_served() {
    let mut net = Net::open(TWO_DOMAINS, 1);
    take_store_down(&mut net);
    let unrecorded = job("light", 2, true, Some(MINUTE));
    let token = net.submit(0, &unrecorded);
    assert_eq!(net.wait(token, MINUTE).code, Code::Completed);
    let refused =
        [job("b", 1, true, None), job("c", 1, false, None), job("d", 1, false, Some(MINUTE))];
    for body in &refused {
        let token = net.submit(1, body);
        let answer = net.wait(token, REFUSAL_WAIT_MAX);
        assert_eq!(answer.code, Code::StoreUnavailable, "{answer:?}");
        assert_eq!(answer.state, JobState::Refused);
        assert!(answer.retry.is_some());
    }
    bring_store_up(&mut net);
    net.run(Span::from_secs(30));
    for body in &refused {
        assert!(net.record.runs_of(&body.spec().key).is_empty(), "{body:?}");
    }
    let token = net.status(4, &unrecorded.spec().key, None);
    assert_eq!(net.wait(token, MINUTE).code, Code::Completed, "the end did not become durable");
    let token = net.submit(2, &refused[2]);
    assert_eq!(
        net.wait(token, MINUTE).code,
        Code::Completed,
        "a refused job could not be submitted again"
    );
}

/// Guards against a false "not run": the job runs, the daemons that know it die, and its
/// submission is repeated while the store is down.
#[test]
fn refusal_does_not_say_not_run_while_an_earlier_submission_may_have_run() {
    let mut net = Net::open(TWO_DOMAINS, 2);
    let body = long_job("a", 1, false, Span::from_secs(300));
    let token = net.submit(0, &body);
    assert_eq!(net.wait(token, MINUTE).code, Code::Accepted);
    net.run(Span::from_secs(3));
    for i in [0, 1, 2] {
        net.kill(i);
    }
    net.kill(3);
    take_store_down(&mut net);
    let token = net.submit(4, &body);
    let answer = net.wait(token, MINUTE);
    assert_eq!(answer.code, Code::StoreUnavailable, "{answer:?}");
    assert!(!answer.not_run, "{answer:?}");
}

/// Guards against a false "not run" while the store does not answer: its calls are lost, or
/// carried out without a reply, so the record may exist.
#[test]
fn unresponsive_store_never_makes_the_answer_not_run() {
    for fate in [Fate::LoseReply, Fate::LoseRequest] {
        let mut net = Net::open(TWO_DOMAINS, 3);
        net.store_rule = Box::new(move |_, _| fate);
        let body = job("a", 1, false, None);
        let token = net.submit(0, &body);
        let answer = net.wait(token, Span::from_secs(15));
        assert!(!answer.not_run, "{answer:?}");
        assert!(matches!(answer.code, Code::TimedOut | Code::StoreUnavailable), "{answer:?}");
        bring_store_up(&mut net);
        net.run(Span::from_secs(30));
        let token = net.status(4, &body.spec().key, Some(MINUTE));
        let later = net.wait(token, MINUTE);
        assert_eq!(later.code, Code::Completed, "{answer:?} then {later:?}");
        assert_eq!(net.attempts(&body.spec().key).len(), 1);
    }
}

/// Guards against a refusal that leaves the caller in doubt, or a record behind, although the
/// store shows that the request was never accepted.
#[test]
fn refusals_confirmed_by_the_store_say_not_run() {
    let mut net = Net::open(TWO_DOMAINS, 4);
    let mut unknown = job("a", 1, true, Some(MINUTE));
    unknown.workspace = "nobody".parse().unwrap();
    let never_fits = SubmitBody { shape: "64x8/worker".parse_shape(), ..job("b", 1, true, None) };
    for (body, code) in [(unknown, Code::UnknownWorkspace), (never_fits, Code::NeverFits)] {
        let token = net.submit(1, &body);
        let answer = net.wait(token, MINUTE);
        assert_eq!((answer.code, answer.not_run), (code, true), "{answer:?}");
        net.run(Span::from_secs(2));
        assert!(net.store.records().all(|r| !r.key.ends_with("/b")));
    }
}

trait ParseShape {
    fn parse_shape(&self) -> bulrushlink_core::Shape;
}

impl ParseShape for str {
    fn parse_shape(&self) -> bulrushlink_core::Shape {
        let (tasks, rest) = self.split_once('x').unwrap();
        let (accelerators, adjacency) = rest.split_once('/').unwrap();
        bulrushlink_core::Shape {
            tasks: tasks.parse().unwrap(),
            accelerators: accelerators.parse().unwrap(),
            adjacency: adjacency.parse().unwrap(),
        }
    }
}

/// Guards against "no such job" while the store is down, when a job may exist that no placer
/// knows.
#[test]
fn missing_job_is_reported_as_such_only_if_the_store_answers() {
    let mut net = Net::open(TWO_DOMAINS, 5);
    let key = "patrol/none".parse().unwrap();
    let token = net.status(0, &key, None);
    assert_eq!(net.wait(token, MINUTE).code, Code::NoSuchJob);
    take_store_down(&mut net);
    let token = net.status(0, &key, None);
    let answer = net.wait(token, MINUTE);
    assert_eq!((answer.code, answer.state), (Code::StoreUnavailable, JobState::Unknown));
}

/// Guards against a caller who gets no answer, or a wrong state, when the wait ends before the job
/// does.
#[test]
fn expired_wait_returns_the_current_state() {
    let mut net = Net::open(ONE_DOMAIN, 6);
    let mut body = long_job("a", 4, true, Span::from_secs(30));
    body.wait = Some(Span::from_secs(3));
    let token = net.submit(0, &body);
    let mut other = long_job("b", 4, true, Span::from_secs(30));
    other.wait = Some(Span::from_secs(4));
    let queued = net.submit(0, &other);
    let answer = net.wait(token, MINUTE);
    assert_eq!(answer.code, Code::Running);
    assert!(answer.retry.is_some());
    assert_eq!(net.wait(queued, MINUTE).code, Code::Accepted);
    let token = net.status(0, &body.spec().key, Some(MINUTE));
    assert_eq!(net.wait(token, MINUTE).code, Code::Completed);
}

/// Guards against answers that go missing or to the wrong caller: 30 % of the peer messages are
/// lost, 30 % are duplicated, and delays of up to 1.5 s reorder them.
#[test]
fn lost_duplicated_and_reordered_updates_reach_the_right_callers() {
    let mut net = Net::open(TWO_DOMAINS, 7);
    net.loss = 30;
    net.repeats = 30;
    net.delay = Span(1_500);
    let bodies: Vec<_> = (0..20u16)
        .map(|n| SubmitBody {
            input: format!("sleep {} n{n}", 100 * n),
            ..job(&format!("j{n}"), 1 + n % 4, n % 2 == 0, Some(Span::from_secs(200)))
        })
        .collect();
    let tokens: Vec<_> =
        bodies.iter().enumerate().map(|(n, body)| net.submit(n % 5, body)).collect();
    for (body, token) in bodies.iter().zip(tokens) {
        let answer = net.wait(token, Span::from_secs(250));
        assert_eq!(answer.code, Code::Completed, "{answer:?}");
        assert_eq!(answer.key.as_ref(), Some(&body.spec().key));
        let program = bulrushlink_standin::Program::parse(&body.input);
        let outputs: Vec<_> = (0..body.shape.tasks).map(|task| program.output(task)).collect();
        assert_eq!(answer.output, outputs);
        assert!(body.idempotent || net.attempts(&body.spec().key).len() == 1);
    }
}

/// Guards against refused, lost or doubled requests while each daemon in turn is stopped
/// gracefully and restarted with callers waiting.
#[test]
fn rolling_graceful_stop_loses_no_request() {
    let mut net = Net::open(TWO_DOMAINS, 8);
    let mut tokens = Vec::new();
    let mut count = 0;
    for i in 0..5 {
        for _ in 0..4 {
            count += 1;
            let idempotent = count % 2 == 0;
            let wait = (count % 3 != 0).then_some(MINUTE);
            let body = SubmitBody {
                input: "sleep 4000".to_string(),
                ..job(&format!("j{count}"), 1, idempotent, wait)
            };
            tokens.push((net.submit(i, &body), body));
        }
        net.run(Span::from_secs(1));
        net.stop(i);
        let late = job(&format!("late{i}"), 1, true, Some(MINUTE));
        tokens.push((net.submit(i, &late), late));
        net.run_until(Span::from_secs(70), |net| net.exited.contains(&i));
        net.kill(i);
        net.run(Span::from_secs(1));
        net.start(i);
        net.run(Span::from_secs(8));
    }
    net.run(MINUTE);
    for (token, body) in tokens {
        let answer = net.wait(token, MINUTE);
        assert_ne!(answer.state, JobState::Refused, "{body:?} {answer:?}");
        let status = net.status(0, &body.spec().key, Some(MINUTE));
        assert_eq!(net.wait(status, MINUTE).code, Code::Completed, "{answer:?}");
        assert!(body.idempotent || net.attempts(&body.spec().key).len() == 1);
    }
}

/// Guards against unbounded memory for pending requests: lost store calls keep every caller
/// waiting up to the limit.
#[test]
fn too_many_waiting_requests_are_refused_at_once() {
    let mut net = Net::open(ONE_DOMAIN, 9);
    let waiting_limit = net.nodes[0].as_ref().unwrap().settings().limits.waiting;
    net.store_rule = Box::new(|_, _| Fate::LoseRequest);
    let mut body = job("a", 1, true, Some(MINUTE));
    for n in 0..waiting_limit {
        body.request = format!("j{n}").parse().unwrap();
        net.submit(0, &body);
    }
    let token = net.submit(0, &body);
    let answer = net.answer(token).expect("no immediate refusal");
    assert_eq!(answer.code, Code::Overloaded);
    assert!(answer.retry.is_some());
    net.deliver(0, Input::Tick);
}

/// Guards against a list that misses or repeats open jobs between pages, or that claims to be
/// complete while the store is down, and against a missing reason for a waiting job.
#[test]
fn open_jobs_are_listed_and_explained() {
    let mut net = Net::open(TWO_DOMAINS, 10);
    for n in 0..3 {
        let token = net.submit(n, &long_job(&format!("j{n}"), 4, false, MINUTE));
        assert_eq!(net.wait(token, MINUTE).code, Code::Accepted);
    }
    net.run(Span::from_secs(2));
    let query = |after: Option<&str>| ListQuery {
        workspace: "patrol".parse().unwrap(),
        after: after.map(|id| id.parse().unwrap()),
    };
    net.caller(4, CallerCall::List(query(None)));
    net.caller(4, CallerCall::List(query(Some("j1"))));
    net.run(Span::from_secs(1));
    let jobs = |i: usize| -> Vec<_> {
        let list: &JobList = &net.lists[i].1;
        assert!(list.complete && !list.more);
        list.jobs
            .iter()
            .map(|job| (job.key.clone().unwrap().request.to_string(), job.code))
            .collect()
    };
    assert_eq!(jobs(0).len(), 3);
    assert_eq!(jobs(0).iter().filter(|(_, code)| *code == Code::Running).count(), 2);
    assert_eq!(jobs(1), jobs(0)[2..]);
    let waiting = jobs(0).into_iter().find(|(_, code)| *code == Code::Accepted).unwrap().0;
    let key = format!("patrol/{waiting}").parse().unwrap();
    let token = net.caller(4, CallerCall::Status(StatusQuery { key, wait: None, why: true }));
    let why = net.wait(token, MINUTE).why.expect("no reason although it was requested");
    assert_eq!(why.phase, "waiting");
    assert!(!why.text.is_empty());
    take_store_down(&mut net);
    net.caller(4, CallerCall::List(query(None)));
    net.run(Span::from_secs(5));
    assert!(!net.lists[2].1.complete);
}
