use bulrushlink_api::{JobState, StoreRequest, WorkerBatch, WorkerOp};
use bulrushlink_core::{Attempt, Code, JobKey, Service, Span, WorkerId};
use bulrushlink_standin::WorkerMode;
use std::cell::Cell;
use std::rc::Rc;

use super::{broken_gang_bound, partial_gang_bound};
use crate::edge::CallerCall;
use crate::harness::{Fate, Net, job, long_job};
use crate::settings::Timing;

const ONE: &[(&str, usize)] = &[("cuenca", 1)];
const TWO: &[(&str, usize)] = &[("cuenca", 3), ("norte", 2)];
const LONG: Span = Span::from_secs(60);

/// Tells whether a request writes an intent to start.
fn is_intent(request: &StoreRequest) -> bool {
    matches!(request, StoreRequest::Put { key, value, .. }
        if key.starts_with("jobs/") && value.contains("\"placement\""))
}

fn is_put(request: &StoreRequest, prefix: &str) -> bool {
    matches!(request, StoreRequest::Put { key, .. } if key.starts_with(prefix))
}

fn has(batch: &WorkerBatch, wanted: fn(&WorkerOp) -> bool) -> bool {
    batch.ops.iter().any(wanted)
}

fn is_commit(op: &WorkerOp) -> bool {
    matches!(op, WorkerOp::Commit { .. })
}

/// A store that does `fate` to the first request that fits, and to nothing else.
fn once(fate: Fate, fits: impl Fn(&StoreRequest) -> bool + 'static) -> (Rc<Cell<u32>>, RuleBox) {
    let hits = Rc::new(Cell::new(0));
    let count = hits.clone();
    let rule = move |_, request: &StoreRequest| {
        if !fits(request) {
            return Fate::Well;
        }
        count.set(count.get() + 1);
        if count.get() == 1 { fate } else { Fate::Well }
    };
    (hits, Box::new(rule))
}

type RuleBox = Box<dyn FnMut(usize, &StoreRequest) -> Fate>;

fn open_keys(net: &Net) -> Vec<String> {
    net.store.records().map(|r| r.key.clone()).filter(|k| k.starts_with("jobs/")).collect()
}

fn running(net: &Net, key: &JobKey) -> usize {
    net.record.runs_of(key).iter().filter(|run| run.ended.is_none()).count()
}

/// No gang was partial for longer than the bounds.
fn assert_whole(net: &Net) {
    let timing = Timing::default();
    let bound = partial_gang_bound(&timing).max(broken_gang_bound(&timing));
    for partial in net.record.partials(net.now) {
        assert!(partial.length() <= bound, "{partial:?}");
    }
}

#[test]
fn a_gang_runs_whole_and_its_caller_gets_all_outputs() {
    for domains in [ONE, TWO] {
        for idempotent in [true, false] {
            let mut net = Net::open(domains, 1);
            let body = job("a", 3, idempotent, Some(LONG));
            let token = net.submit(0, &body);
            let answer = net.wait(token, LONG);
            assert_eq!(answer.code, Code::Completed, "{answer:?}");
            assert_eq!(answer.state, JobState::Completed);
            assert_eq!(answer.output.len(), 3);
            assert_eq!(net.attempts(&body.spec().key), [Attempt(1)]);
            net.run(Span::from_secs(5));
            let keys: Vec<_> = net.store.records().map(|r| r.key.clone()).collect();
            assert!(keys.contains(&"done/patrol/a".to_string()), "{keys:?}");
            assert!(open_keys(&net).is_empty(), "{keys:?}");
            assert!(net.workers.iter().all(|w| w.tasks(net.now).is_empty()), "all is forgotten");
        }
    }
}

#[test]
fn an_owner_frozen_between_intent_and_commit_starts_nothing_when_it_wakes() {
    for (seed, pause) in [(1, 30), (2, 8), (3, 90), (4, 5)] {
        let mut net = Net::open(TWO, seed);
        let owner = net.placer("cuenca").unwrap();
        let front = (0..3).find(|i| *i != owner).unwrap();
        let written = Rc::new(Cell::new(false));
        let seen = written.clone();
        net.store_rule = Box::new(move |node, request| {
            seen.set(seen.get() || node == owner && is_intent(request));
            Fate::Well
        });
        let mut body = long_job("a", 2, false, Span::from_secs(20));
        body.domain = Some("cuenca".parse().unwrap());
        let key = body.spec().key;
        let token = net.submit(front, &body);
        net.until(LONG, |_| written.get());
        net.freeze(owner, true);
        net.run(Span::from_secs(pause));
        net.freeze(owner, false);
        let accepted = net.wait(token, LONG);
        assert_eq!(accepted.code, Code::Accepted, "{accepted:?}");
        net.run(Span::from_secs(60));
        let token = net.status(front, &key, Some(LONG));
        let answer = net.wait(token, LONG);
        let runs = net.record.runs_of(&key);
        if pause > 5 {
            assert_eq!(answer.code, Code::OutcomeUnknown, "{pause} s: {answer:?}");
            assert!(runs.is_empty(), "{runs:?}");
        }
        assert!(!answer.not_run);
        assert!(net.attempts(&key).len() <= 1, "{runs:?}");
        assert_whole(&net);
    }
}

#[test]
fn an_owner_frozen_with_its_commits_unsent_starts_nothing_when_it_wakes() {
    let mut net = Net::open(TWO, 5);
    let owner = net.placer("cuenca").unwrap();
    let front = (0..3).find(|i| *i != owner).unwrap();
    let mut body = long_job("a", 2, false, Span::from_secs(20));
    body.domain = Some("cuenca".parse().unwrap());
    let key = body.spec().key;
    net.submit(front, &body);
    let phase =
        |net: &Net| net.dump(owner, "placer").to_string().contains("\"phase\":\"Committing\"");
    net.until(LONG, phase);
    net.freeze(owner, true);
    net.run(Span::from_secs(30));
    net.freeze(owner, false);
    net.run(Span::from_secs(60));
    let token = net.status(front, &key, None);
    let answer = net.wait(token, LONG);
    assert_eq!(answer.code, Code::OutcomeUnknown, "{answer:?}");
    assert!(net.record.runs_of(&key).is_empty());
}

#[test]
fn a_store_answer_lost_after_the_write_is_settled() {
    type Fits = fn(&StoreRequest) -> bool;
    let cases: [Fits; 4] = [
        |request| is_put(request, "jobs/"),
        is_intent,
        |request| is_put(request, "done/"),
        |request| matches!(request, StoreRequest::Delete { .. }),
    ];
    for fate in [Fate::Mute, Fate::Lost, Fate::Refused] {
        for fits in cases {
            let mut net = Net::open(TWO, 7);
            let (hits, rule) = once(fate, fits);
            net.store_rule = rule;
            let body = job("a", 2, false, Some(LONG));
            let token = net.submit(1, &body);
            let answer = net.wait(token, LONG);
            assert_eq!(answer.code, Code::Completed, "{fate:?} {answer:?}");
            assert_eq!(net.attempts(&body.spec().key).len(), 1);
            net.run(Span::from_secs(10));
            assert!(hits.get() >= 2, "the call was repeated");
            assert!(open_keys(&net).is_empty());
        }
    }
}

#[test]
fn a_repeat_through_another_daemon_or_domain_runs_nothing_twice() {
    for idempotent in [true, false] {
        let mut net = Net::open(TWO, 8);
        let body = job("a", 2, idempotent, Some(LONG));
        let tokens: Vec<_> = (0..5).map(|i| net.submit(i, &body)).collect();
        let answers: Vec<_> = tokens.into_iter().map(|t| net.wait(t, LONG)).collect();
        assert!(answers.iter().all(|a| a.code == Code::Completed), "{answers:?}");
        assert!(answers.iter().all(|a| a.output == answers[0].output));
        assert_eq!(net.attempts(&body.spec().key).len(), 1);
        net.run(Span::from_secs(120));
        let late = net.submit(4, &body);
        assert_eq!(net.wait(late, LONG).code, Code::Completed, "an hour's repeat is answered");
        let other = net.submit(3, &job("a", 1, idempotent, Some(LONG)));
        assert_eq!(net.wait(other, LONG).code, Code::RequestConflict);
        assert_eq!(net.record.runs_of(&body.spec().key).len(), 2);
    }
}

#[test]
fn another_body_under_an_open_identifier_is_a_conflict() {
    let mut net = Net::open(TWO, 9);
    let body = long_job("a", 2, false, Span::from_secs(5));
    let first = net.submit(0, &body);
    assert_eq!(net.wait(first, LONG).code, Code::Accepted);
    for i in 0..5 {
        let other = net.submit(i, &job("a", 1, true, Some(LONG)));
        assert_eq!(net.wait(other, LONG).code, Code::RequestConflict, "through {i}");
    }
    let token = net.status(4, &body.spec().key, Some(LONG));
    assert_eq!(net.wait(token, LONG).code, Code::Completed);
}

#[test]
fn a_silent_member_stops_the_whole_gang() {
    let steps: [fn(&WorkerOp) -> bool; 3] = [
        |op| matches!(op, WorkerOp::Reserve { .. }),
        is_commit,
        |op| matches!(op, WorkerOp::Confirm { .. }),
    ];
    for fate in [Fate::Lost, Fate::Mute, Fate::Refused] {
        for (n, step) in steps.into_iter().enumerate() {
            for idempotent in [true, false] {
                let mut net = Net::open(ONE, 10);
                let hit = Rc::new(Cell::new(None::<WorkerId>));
                let silent = hit.clone();
                net.worker_rule = Box::new(move |_, worker, batch| {
                    let known = silent.take();
                    let own = known.is_none() && has(batch, step) || known.as_ref() == Some(worker);
                    silent.set(if own { Some(worker.clone()) } else { known });
                    if own { fate } else { Fate::Well }
                });
                let body = long_job("a", 3, idempotent, Span::from_secs(20));
                net.submit(0, &body);
                net.run(Span::from_secs(120));
                let key = body.spec().key;
                let token = net.status(0, &key, None);
                let answer = net.wait(token, LONG);
                let text = format!("step {n} {fate:?} {idempotent}: {answer:?}");
                assert_whole(&net);
                if idempotent {
                    assert_eq!(answer.code, Code::Completed, "{text}");
                } else {
                    assert!(net.attempts(&key).len() <= 1, "{text}");
                    assert!(!answer.not_run, "{text}");
                }
                if n == 0 {
                    assert_eq!(answer.code, Code::Completed, "{text}");
                }
            }
        }
    }
}

#[test]
fn a_placer_that_dies_in_a_start_leaves_no_partial_gang() {
    let phases = ["Reserving", "Recording", "Committing", "Confirming", "Running"];
    for phase in phases {
        for idempotent in [true, false] {
            let mut net = Net::open(TWO, 11);
            let owner = net.placer("cuenca").unwrap();
            let front = (0..3).find(|i| *i != owner).unwrap();
            let mut body = long_job("a", 3, idempotent, Span::from_secs(20));
            body.domain = Some("cuenca".parse().unwrap());
            let key = body.spec().key;
            let token = net.submit(front, &body);
            let text = format!("\"phase\":\"{phase}\"");
            net.until(LONG, |net| net.dump(owner, "placer").to_string().contains(&text));
            net.kill(owner);
            let first = net.wait(token, LONG);
            assert!(!first.not_run, "{phase}: {first:?}");
            net.run(Span::from_secs(90));
            let token = net.status(front, &key, None);
            let answer = net.wait(token, LONG);
            let text = format!("{phase} {idempotent}: {answer:?}");
            assert_whole(&net);
            if idempotent || phase == "Reserving" {
                assert_eq!(answer.code, Code::Completed, "{text}");
            }
            if phase == "Running" {
                assert_eq!(answer.code, Code::Completed, "{text}");
                assert_eq!(net.attempts(&key).len(), 1, "{text}");
            }
            if !idempotent {
                assert!(net.attempts(&key).len() <= 1, "{text}");
            }
        }
    }
}

#[test]
fn two_placers_at_once_start_no_job_twice() {
    for seed in 20..24 {
        let mut net = Net::open(TWO, seed);
        let owner = net.placer("cuenca").unwrap();
        let jobs: Vec<_> = (0..6)
            .map(|n| {
                let mut body = long_job(&format!("j{n}"), 2, n % 2 == 0, Span::from_secs(10));
                body.domain = Some("cuenca".parse().unwrap());
                body
            })
            .collect();
        for (n, body) in jobs.iter().enumerate() {
            net.submit(n % 3, body);
            net.run(Span(200));
            if n == 2 {
                net.isolate(owner, true);
                net.run(Span::from_secs(6));
            }
        }
        let both = (0..3).filter(|i| net.dump(*i, "placer")["standing"] == "active").count();
        assert_eq!(both, 2, "two place at once");
        net.run(Span::from_secs(40));
        net.isolate(owner, false);
        net.run(Span::from_secs(90));
        for body in &jobs {
            let key = body.spec().key;
            assert!(body.idempotent || net.attempts(&key).len() <= 1);
            let token = net.status(4, &key, None);
            let answer = net.wait(token, LONG);
            assert!(matches!(answer.code, Code::Completed | Code::OutcomeUnknown), "{answer:?}");
        }
        assert_whole(&net);
        assert!(open_keys(&net).is_empty(), "{seed}");
    }
}

#[test]
fn waiting_and_running_jobs_are_cancelled_truthfully() {
    let mut net = Net::open(ONE, 12);
    let running_job = long_job("a", 4, false, Span::from_secs(600));
    let waiting_job = long_job("b", 4, false, Span::from_secs(600));
    for body in [&running_job, &waiting_job] {
        let token = net.submit(0, body);
        assert_eq!(net.wait(token, LONG).code, Code::Accepted);
    }
    net.run(Span::from_secs(2));
    assert_eq!(running(&net, &running_job.spec().key), 4);
    let token = net.caller(0, CallerCall::Cancel(waiting_job.spec().key));
    let answer = net.wait(token, LONG);
    assert_eq!((answer.code, answer.reason.as_str()), (Code::Cancelled, "cancelled, not run"));
    let token = net.caller(0, CallerCall::Cancel(running_job.spec().key));
    let answer = net.wait(token, LONG);
    assert_eq!(
        (answer.code, answer.reason.as_str()),
        (Code::Cancelled, "cancelled after its start")
    );
    assert_eq!(running(&net, &running_job.spec().key), 0);
    assert!(net.record.runs_of(&waiting_job.spec().key).is_empty());
    let token = net.caller(0, CallerCall::Cancel("patrol/none".parse().unwrap()));
    assert_eq!(net.wait(token, LONG).code, Code::NoSuchJob);
}

#[test]
fn a_lost_worker_costs_its_gang_and_nobody_else() {
    let mut net = Net::open(TWO, 13);
    let jobs =
        [long_job("a", 2, true, Span::from_secs(60)), long_job("b", 2, false, Span::from_secs(60))];
    for body in &jobs {
        net.submit(0, body);
    }
    net.run(Span::from_secs(3));
    for body in &jobs {
        let run = net.record.runs_of(&body.spec().key)[0].clone();
        let sim = net.workers.iter_mut().find(|sim| sim.host().id == run.worker).unwrap();
        sim.set_mode(WorkerMode::Dead, net.now);
    }
    net.run(Span::from_secs(240));
    assert_whole(&net);
    let codes: Vec<_> = jobs
        .iter()
        .map(|body| {
            let token = net.status(0, &body.spec().key, None);
            net.wait(token, LONG).code
        })
        .collect();
    assert_eq!(codes[0], Code::Completed);
    assert!(matches!(codes[1], Code::Failed | Code::OutcomeUnknown), "{codes:?}");
    assert_eq!(net.attempts(&jobs[1].spec().key).len(), 1);
}

#[test]
fn a_domain_taken_out_starts_nothing_and_its_waiting_jobs_move() {
    let mut net = Net::open(TWO, 14);
    let fill = long_job("fill", 4, false, Span::from_secs(20));
    let token = net.submit(0, &fill);
    assert_eq!(net.wait(token, LONG).code, Code::Accepted);
    net.run(Span::from_secs(2));
    let first = net.record.runs_of(&fill.spec().key)[0].worker.to_string();
    let out = first.split('-').next().unwrap().to_string();
    let tokens: Vec<_> =
        (0..3).map(|n| net.submit(n, &job(&format!("j{n}"), 4, n == 0, Some(LONG)))).collect();
    net.serve(&out, Service::Out);
    net.run(Span::from_secs(5));
    let since = net.now;
    for token in tokens {
        assert_eq!(net.wait(token, Span::from_secs(120)).code, Code::Completed);
    }
    let late = |run: &bulrushlink_standin::Run| {
        run.worker.as_str().starts_with(&out) && run.started > since
    };
    assert!(!net.record.runs().iter().any(late));
    net.run(Span::from_secs(40));
    let token = net.status(3, &fill.spec().key, None);
    assert_eq!(net.wait(token, LONG).code, Code::Completed, "what ran ran to its end");
}

#[test]
fn a_job_costs_four_store_calls_and_its_intent_one_more() {
    for (idempotent, calls) in [(true, 4), (false, 5)] {
        let mut net = Net::open(ONE, 15);
        net.run(Span::from_secs(1));
        let keys = |r: &StoreRequest| match r {
            StoreRequest::Get { key } | StoreRequest::Put { key, .. } => key.clone(),
            StoreRequest::Delete { key, .. } => key.clone(),
            _ => String::new(),
        };
        let own = Rc::new(Cell::new(0));
        let seen = own.clone();
        net.store_rule = Box::new(move |_, request| {
            seen.set(seen.get() + u32::from(keys(request).ends_with("patrol/a")));
            Fate::Well
        });
        let token = net.submit(0, &job("a", 2, idempotent, Some(LONG)));
        assert_eq!(net.wait(token, LONG).code, Code::Completed);
        net.run(Span::from_secs(60));
        assert_eq!(own.get(), calls);
    }
}

#[test]
fn a_burst_beyond_the_rate_of_the_store_is_refused_at_once_and_the_rest_is_kept() {
    let mut net = Net::open(ONE, 16);
    let bodies: Vec<_> =
        (0..600).map(|n| long_job(&format!("j{n}"), 1, n % 2 == 0, Span(100))).collect();
    let tokens: Vec<_> = bodies.iter().map(|body| net.submit(0, body)).collect();
    net.run(Span::from_secs(9));
    let (mut accepted, mut refused) = (0, 0);
    for (token, body) in tokens.iter().zip(&bodies) {
        let code = net.answer(*token).expect("all are answered within 9 s").code;
        match code {
            Code::Accepted | Code::Running => accepted += 1,
            Code::Overloaded => refused += 1,
            code => panic!("{code} for {body:?}"),
        }
    }
    assert!(accepted > 100 && refused > 100, "{accepted} {refused}");
    net.run(Span::from_secs(120));
    for (token, body) in tokens.iter().zip(&bodies) {
        let ran = !net.record.runs_of(&body.spec().key).is_empty();
        assert_eq!(ran, net.answer(*token).unwrap().code != Code::Overloaded);
    }
    let counts = net.store.counts();
    assert_eq!(counts.limited, 0);
}

#[test]
fn a_job_that_is_not_idempotent_goes_on_from_its_checkpoint_when_it_is_reclaimed() {
    let mut net = Net::open(ONE, 17);
    net.guarantee("shift", 4);
    let mut borrower = long_job("a", 4, false, Span::from_secs(40));
    borrower.checkpoint = true;
    let token = net.submit(0, &borrower);
    assert_eq!(net.wait(token, LONG).code, Code::Accepted);
    net.run(Span::from_secs(10));
    assert_eq!(running(&net, &borrower.spec().key), 4);
    let mut owner = long_job("b", 4, false, Span::from_secs(5));
    owner.workspace = "shift".parse().unwrap();
    owner.urgency = bulrushlink_core::Urgency::Urgent;
    let token = net.submit(0, &owner);
    assert_eq!(net.wait(token, LONG).code, Code::Accepted);
    net.run(Span(8_300));
    let started = net.record.runs_of(&owner.spec().key).len();
    assert_eq!(started, 4, "the guarantee is reclaimed in time");
    net.run(Span::from_secs(120));
    for body in [&borrower, &owner] {
        let token = net.status(0, &body.spec().key, None);
        assert_eq!(net.wait(token, LONG).code, Code::Completed);
    }
    let runs = net.record.runs_of(&borrower.spec().key);
    let saved = |run: &bulrushlink_standin::Run| {
        run.end == Some(bulrushlink_standin::RunEnd::Stopped { saved: true, lapsed: false })
    };
    assert_eq!(runs.iter().filter(|run| saved(run)).count(), 4);
    assert_eq!(net.attempts(&borrower.spec().key).len(), 2);
    assert_whole(&net);
}

#[test]
fn a_waiting_job_moves_to_a_domain_with_room() {
    let mut net = Net::open(TWO, 7);
    let fill = |net: &mut Net, request: &str, domain: &str, run: u64| {
        let mut body = long_job(request, 4, true, Span::from_secs(run));
        body.domain = Some(domain.parse().unwrap());
        net.submit(0, &body);
        body.spec().key
    };
    fill(&mut net, "c", "cuenca", 600);
    fill(&mut net, "n", "norte", 600);
    net.run(Span::from_secs(5));
    let body = long_job("w", 4, true, Span::from_secs(1));
    let key = body.spec().key;
    net.submit(0, &body);
    net.run(Span::from_secs(20));
    let path = format!("jobs/{key}");
    let record = net.store.records().find(|r| r.key == path).expect("it is open").value.clone();
    let there = if record.contains("\"domain\":\"cuenca\"") { "n" } else { "c" };
    let blocks = job(there, 4, true, None).spec().key;
    assert!(net.record.runs_of(&key).is_empty());
    net.caller(0, CallerCall::Cancel(blocks));
    let token = net.status(0, &key, Some(LONG));
    let answer = net.wait(token, LONG);
    assert_eq!(answer.code, Code::Completed, "{answer:?}");
    assert_eq!(net.attempts(&key), [Attempt(1)]);
}
