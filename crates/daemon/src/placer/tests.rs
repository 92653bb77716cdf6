use bulrushlink_api::{JobState, StoreRequest, WorkerBatch, WorkerOp};
use bulrushlink_core::{Attempt, Code, JobKey, Service, Span, WorkerId};
use bulrushlink_standin::WorkerMode;
use std::cell::Cell;
use std::rc::Rc;

use super::{broken_gang_time_max, partial_gang_time_max};
use crate::edge::CallerCall;
use crate::harness::{Fate, Net, job, long_job};
use crate::settings::Timing;

const ONE_DOMAIN: &[(&str, usize)] = &[("cuenca", 1)];
const TWO_DOMAINS: &[(&str, usize)] = &[("cuenca", 3), ("norte", 2)];
const MINUTE: Span = Span::from_secs(60);

/// Returns true if a request writes an intent to start.
fn is_intent(request: &StoreRequest) -> bool {
    matches!(request, StoreRequest::Put { key, value, .. }
        if key.starts_with("jobs/") && value.contains("\"placement\""))
}

fn is_put(request: &StoreRequest, prefix: &str) -> bool {
    matches!(request, StoreRequest::Put { key, .. } if key.starts_with(prefix))
}

fn has_op(batch: &WorkerBatch, matches_op: fn(&WorkerOp) -> bool) -> bool {
    batch.ops.iter().any(matches_op)
}

fn is_commit(op: &WorkerOp) -> bool {
    matches!(op, WorkerOp::Commit { .. })
}

/// Returns a store rule that applies `fate` to the first matching request only, and the count of
/// matching requests.
fn fail_first(
    fate: Fate,
    matches_request: impl Fn(&StoreRequest) -> bool + 'static,
) -> (Rc<Cell<u32>>, StoreRule) {
    let matched = Rc::new(Cell::new(0));
    let count = matched.clone();
    let rule = move |_, request: &StoreRequest| {
        if !matches_request(request) {
            return Fate::Deliver;
        }
        count.set(count.get() + 1);
        if count.get() == 1 { fate } else { Fate::Deliver }
    };
    (matched, Box::new(rule))
}

type StoreRule = Box<dyn FnMut(usize, &StoreRequest) -> Fate>;

fn open_keys(net: &Net) -> Vec<String> {
    net.store.records().map(|r| r.key.clone()).filter(|k| k.starts_with("jobs/")).collect()
}

fn running_tasks(net: &Net, key: &JobKey) -> usize {
    net.record.runs_of(key).iter().filter(|run| run.ended.is_none()).count()
}

/// Asserts that no gang was partial for longer than the placer allows.
fn assert_no_partial_gang(net: &Net) {
    let timing = Timing::default();
    let bound = partial_gang_time_max(&timing).max(broken_gang_time_max(&timing));
    for partial in net.record.partials(net.now) {
        assert!(partial.length() <= bound, "partial for more than {bound}: {partial:?}");
    }
}

/// Guards against a lost output, a second attempt, and records or worker tasks left behind when a
/// gang runs without any fault.
#[test]
fn gang_runs_completely_and_its_caller_gets_every_output() {
    for domains in [ONE_DOMAIN, TWO_DOMAINS] {
        for idempotent in [true, false] {
            let mut net = Net::open(domains, 1);
            let body = job("a", 3, idempotent, Some(MINUTE));
            let token = net.submit(0, &body);
            let answer = net.wait(token, MINUTE);
            assert_eq!(answer.code, Code::Completed, "{answer:?}");
            assert_eq!(answer.state, JobState::Completed);
            assert_eq!(answer.output.len(), 3);
            assert_eq!(net.attempts(&body.spec().key), [Attempt(1)]);
            net.run(Span::from_secs(5));
            let keys: Vec<_> = net.store.records().map(|r| r.key.clone()).collect();
            assert!(keys.contains(&"done/patrol/a".to_string()), "{keys:?}");
            assert!(open_keys(&net).is_empty(), "{keys:?}");
            assert!(
                net.workers.iter().all(|w| w.tasks(net.now).is_empty()),
                "a worker still remembers a task"
            );
        }
    }
}

/// Guards against a late start by a stalled process: the owner freezes once its intent is in the
/// store, and resumes after another daemon may have taken the job over.
#[test]
fn owner_frozen_between_intent_and_commit_starts_nothing_after_resuming() {
    for (seed, pause) in [(1, 30), (2, 8), (3, 90), (4, 5)] {
        let mut net = Net::open(TWO_DOMAINS, seed);
        let owner = net.placer("cuenca").unwrap();
        let front = (0..3).find(|i| *i != owner).unwrap();
        let written = Rc::new(Cell::new(false));
        let seen = written.clone();
        net.store_rule = Box::new(move |node, request| {
            seen.set(seen.get() || node == owner && is_intent(request));
            Fate::Deliver
        });
        let mut body = long_job("a", 2, false, Span::from_secs(20));
        body.domain = Some("cuenca".parse().unwrap());
        let key = body.spec().key;
        let token = net.submit(front, &body);
        net.run_until(MINUTE, |_| written.get());
        net.freeze(owner, true);
        net.run(Span::from_secs(pause));
        net.freeze(owner, false);
        let accepted = net.wait(token, MINUTE);
        assert_eq!(accepted.code, Code::Accepted, "{accepted:?}");
        net.run(Span::from_secs(60));
        let token = net.status(front, &key, Some(MINUTE));
        let answer = net.wait(token, MINUTE);
        let runs = net.record.runs_of(&key);
        if pause > 5 {
            assert_eq!(answer.code, Code::OutcomeUnknown, "{pause} s: {answer:?}");
            assert!(runs.is_empty(), "{runs:?}");
        }
        assert!(!answer.not_run);
        assert!(net.attempts(&key).len() <= 1, "{runs:?}");
        assert_no_partial_gang(&net);
    }
}

/// Guards against commits that leave a process long after they were decided: the owner freezes in
/// the committing phase and its reservations expire meanwhile.
#[test]
fn owner_frozen_with_unsent_commits_starts_nothing_after_resuming() {
    let mut net = Net::open(TWO_DOMAINS, 5);
    let owner = net.placer("cuenca").unwrap();
    let front = (0..3).find(|i| *i != owner).unwrap();
    let mut body = long_job("a", 2, false, Span::from_secs(20));
    body.domain = Some("cuenca".parse().unwrap());
    let key = body.spec().key;
    net.submit(front, &body);
    let phase =
        |net: &Net| net.dump(owner, "placer").to_string().contains("\"phase\":\"Committing\"");
    net.run_until(MINUTE, phase);
    net.freeze(owner, true);
    net.run(Span::from_secs(30));
    net.freeze(owner, false);
    net.run(Span::from_secs(60));
    let token = net.status(front, &key, None);
    let answer = net.wait(token, MINUTE);
    assert_eq!(answer.code, Code::OutcomeUnknown, "{answer:?}");
    assert!(net.record.runs_of(&key).is_empty());
}

/// Guards against a lost or doubled job when one store call fails: it cannot be sent, is lost, or
/// is carried out while its reply is lost. Covers the writes of record, intent and end and the
/// removal.
#[test]
fn store_call_without_a_reply_is_retried_and_settled() {
    type Matches = fn(&StoreRequest) -> bool;
    let cases: [Matches; 4] = [
        |request| is_put(request, "jobs/"),
        is_intent,
        |request| is_put(request, "done/"),
        |request| matches!(request, StoreRequest::Delete { .. }),
    ];
    for fate in [Fate::LoseReply, Fate::LoseRequest, Fate::Refuse] {
        for matches_request in cases {
            let mut net = Net::open(TWO_DOMAINS, 7);
            let (matched, rule) = fail_first(fate, matches_request);
            net.store_rule = rule;
            let body = job("a", 2, false, Some(MINUTE));
            let token = net.submit(1, &body);
            let answer = net.wait(token, MINUTE);
            assert_eq!(answer.code, Code::Completed, "{fate:?} {answer:?}");
            assert_eq!(net.attempts(&body.spec().key).len(), 1);
            net.run(Span::from_secs(10));
            assert!(matched.get() >= 2, "the failed call was not retried");
            assert!(open_keys(&net).is_empty());
        }
    }
}

/// Guards against a second run of a request that is submitted through every daemon at once, and
/// again after its end.
#[test]
fn repeated_submission_through_any_daemon_runs_once() {
    for idempotent in [true, false] {
        let mut net = Net::open(TWO_DOMAINS, 8);
        let body = job("a", 2, idempotent, Some(MINUTE));
        let tokens: Vec<_> = (0..5).map(|i| net.submit(i, &body)).collect();
        let answers: Vec<_> = tokens.into_iter().map(|t| net.wait(t, MINUTE)).collect();
        assert!(answers.iter().all(|a| a.code == Code::Completed), "{answers:?}");
        assert!(answers.iter().all(|a| a.output == answers[0].output));
        assert_eq!(net.attempts(&body.spec().key).len(), 1);
        net.run(Span::from_secs(120));
        let late = net.submit(4, &body);
        assert_eq!(net.wait(late, MINUTE).code, Code::Completed, "repeat after the end");
        let other = net.submit(3, &job("a", 1, idempotent, Some(MINUTE)));
        assert_eq!(net.wait(other, MINUTE).code, Code::RequestConflict);
        assert_eq!(net.record.runs_of(&body.spec().key).len(), 2);
    }
}

/// Guards against a second body that is accepted, or disturbs the job, while a job with the same
/// request id is open.
#[test]
fn another_body_under_an_open_request_id_is_a_conflict() {
    let mut net = Net::open(TWO_DOMAINS, 9);
    let body = long_job("a", 2, false, Span::from_secs(5));
    let first = net.submit(0, &body);
    assert_eq!(net.wait(first, MINUTE).code, Code::Accepted);
    for i in 0..5 {
        let other = net.submit(i, &job("a", 1, true, Some(MINUTE)));
        assert_eq!(net.wait(other, MINUTE).code, Code::RequestConflict, "through {i}");
    }
    let token = net.status(4, &body.spec().key, Some(MINUTE));
    assert_eq!(net.wait(token, MINUTE).code, Code::Completed);
}

/// Guards against a partial gang: one worker stops answering at its reservation, commit or
/// confirmation, so the other tasks have to be stopped.
#[test]
fn unresponsive_worker_stops_the_whole_gang() {
    let steps: [fn(&WorkerOp) -> bool; 3] = [
        |op| matches!(op, WorkerOp::Reserve { .. }),
        is_commit,
        |op| matches!(op, WorkerOp::Confirm { .. }),
    ];
    for fate in [Fate::LoseRequest, Fate::LoseReply, Fate::Refuse] {
        for (n, step) in steps.into_iter().enumerate() {
            for idempotent in [true, false] {
                let mut net = Net::open(ONE_DOMAIN, 10);
                let hit = Rc::new(Cell::new(None::<WorkerId>));
                let silent = hit.clone();
                net.worker_rule = Box::new(move |_, worker, batch| {
                    let known = silent.take();
                    let affected =
                        known.is_none() && has_op(batch, step) || known.as_ref() == Some(worker);
                    silent.set(if affected { Some(worker.clone()) } else { known });
                    if affected { fate } else { Fate::Deliver }
                });
                let body = long_job("a", 3, idempotent, Span::from_secs(20));
                net.submit(0, &body);
                net.run(Span::from_secs(120));
                let key = body.spec().key;
                let token = net.status(0, &key, None);
                let answer = net.wait(token, MINUTE);
                let text = format!("step {n} {fate:?} {idempotent}: {answer:?}");
                assert_no_partial_gang(&net);
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

/// Guards against a partial gang or a second start after the owner dies in any phase of an attempt
/// and another daemon recovers the job.
#[test]
fn placer_killed_during_a_start_leaves_no_partial_gang() {
    let phases = ["Reserving", "Recording", "Committing", "Confirming", "Running"];
    for phase in phases {
        for idempotent in [true, false] {
            let mut net = Net::open(TWO_DOMAINS, 11);
            let owner = net.placer("cuenca").unwrap();
            let front = (0..3).find(|i| *i != owner).unwrap();
            let mut body = long_job("a", 3, idempotent, Span::from_secs(20));
            body.domain = Some("cuenca".parse().unwrap());
            let key = body.spec().key;
            let token = net.submit(front, &body);
            let text = format!("\"phase\":\"{phase}\"");
            net.run_until(MINUTE, |net| net.dump(owner, "placer").to_string().contains(&text));
            net.kill(owner);
            let first = net.wait(token, MINUTE);
            assert!(!first.not_run, "{phase}: {first:?}");
            net.run(Span::from_secs(90));
            let token = net.status(front, &key, None);
            let answer = net.wait(token, MINUTE);
            let text = format!("{phase} {idempotent}: {answer:?}");
            assert_no_partial_gang(&net);
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

/// Guards against double starts while two daemons place in one domain: the owner is cut off from
/// its peers but still reaches the store and the workers.
#[test]
fn concurrent_placers_start_no_job_twice() {
    for seed in 20..24 {
        let mut net = Net::open(TWO_DOMAINS, seed);
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
        let active = (0..3).filter(|i| net.dump(*i, "placer")["standing"] == "active").count();
        assert_eq!(active, 2, "expected two active placers");
        net.run(Span::from_secs(40));
        net.isolate(owner, false);
        net.run(Span::from_secs(90));
        for body in &jobs {
            let key = body.spec().key;
            assert!(body.idempotent || net.attempts(&key).len() <= 1);
            let token = net.status(4, &key, None);
            let answer = net.wait(token, MINUTE);
            assert!(matches!(answer.code, Code::Completed | Code::OutcomeUnknown), "{answer:?}");
        }
        assert_no_partial_gang(&net);
        assert!(open_keys(&net).is_empty(), "seed {seed}: open records are left");
    }
}

/// Guards against a cancelled job that keeps running, and against an answer that is wrong about
/// whether it ran.
#[test]
fn cancellation_reports_whether_the_job_ran() {
    let mut net = Net::open(ONE_DOMAIN, 12);
    let running_job = long_job("a", 4, false, Span::from_secs(600));
    let waiting_job = long_job("b", 4, false, Span::from_secs(600));
    for body in [&running_job, &waiting_job] {
        let token = net.submit(0, body);
        assert_eq!(net.wait(token, MINUTE).code, Code::Accepted);
    }
    net.run(Span::from_secs(2));
    assert_eq!(running_tasks(&net, &running_job.spec().key), 4);
    let token = net.caller(0, CallerCall::Cancel(waiting_job.spec().key));
    let answer = net.wait(token, MINUTE);
    assert_eq!((answer.code, answer.reason.as_str()), (Code::Cancelled, "cancelled, not run"));
    let token = net.caller(0, CallerCall::Cancel(running_job.spec().key));
    let answer = net.wait(token, MINUTE);
    assert_eq!(
        (answer.code, answer.reason.as_str()),
        (Code::Cancelled, "cancelled after its start")
    );
    assert_eq!(running_tasks(&net, &running_job.spec().key), 0);
    assert!(net.record.runs_of(&waiting_job.spec().key).is_empty());
    let token = net.caller(0, CallerCall::Cancel("patrol/none".parse().unwrap()));
    assert_eq!(net.wait(token, MINUTE).code, Code::NoSuchJob);
}

/// Guards against a gang that outlives one of its workers. The idempotent job runs again; the
/// other one must not start twice.
#[test]
fn lost_worker_ends_its_gang_and_only_an_idempotent_job_restarts() {
    let mut net = Net::open(TWO_DOMAINS, 13);
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
    assert_no_partial_gang(&net);
    let codes: Vec<_> = jobs
        .iter()
        .map(|body| {
            let token = net.status(0, &body.spec().key, None);
            net.wait(token, MINUTE).code
        })
        .collect();
    assert_eq!(codes[0], Code::Completed);
    assert!(matches!(codes[1], Code::Failed | Code::OutcomeUnknown), "{codes:?}");
    assert_eq!(net.attempts(&jobs[1].spec().key).len(), 1);
}

/// Guards against starts in a domain that the release note takes out of service, and against
/// waiting jobs stuck there. What already runs there completes.
#[test]
fn domain_out_of_service_starts_nothing_and_its_waiting_jobs_move() {
    let mut net = Net::open(TWO_DOMAINS, 14);
    let filler = long_job("fill", 4, false, Span::from_secs(20));
    let token = net.submit(0, &filler);
    assert_eq!(net.wait(token, MINUTE).code, Code::Accepted);
    net.run(Span::from_secs(2));
    let first = net.record.runs_of(&filler.spec().key)[0].worker.to_string();
    let out_domain = first.split('-').next().unwrap().to_string();
    let tokens: Vec<_> =
        (0..3).map(|n| net.submit(n, &job(&format!("j{n}"), 4, n == 0, Some(MINUTE)))).collect();
    net.set_service(&out_domain, Service::Out);
    net.run(Span::from_secs(5));
    let since = net.now;
    for token in tokens {
        assert_eq!(net.wait(token, Span::from_secs(120)).code, Code::Completed);
    }
    let late = |run: &bulrushlink_standin::Run| {
        run.worker.as_str().starts_with(&out_domain) && run.started > since
    };
    assert!(!net.record.runs().iter().any(late));
    net.run(Span::from_secs(40));
    let token = net.status(3, &filler.spec().key, None);
    assert_eq!(net.wait(token, MINUTE).code, Code::Completed, "gang that ran in the domain");
}

/// Guards against additional store calls per job, which would lower the rate of jobs that the
/// store sustains. The four calls create the record, read and write the end, and remove the record.
#[test]
fn job_takes_four_store_calls_and_its_intent_one_more() {
    for (idempotent, calls) in [(true, 4), (false, 5)] {
        let mut net = Net::open(ONE_DOMAIN, 15);
        net.run(Span::from_secs(1));
        let keys = |r: &StoreRequest| match r {
            StoreRequest::Get { key } | StoreRequest::Put { key, .. } => key.clone(),
            StoreRequest::Delete { key, .. } => key.clone(),
            _ => String::new(),
        };
        let job_calls = Rc::new(Cell::new(0));
        let seen = job_calls.clone();
        net.store_rule = Box::new(move |_, request| {
            seen.set(seen.get() + u32::from(keys(request).ends_with("patrol/a")));
            Fate::Deliver
        });
        let token = net.submit(0, &job("a", 2, idempotent, Some(MINUTE)));
        assert_eq!(net.wait(token, MINUTE).code, Code::Completed);
        net.run(Span::from_secs(60));
        assert_eq!(job_calls.get(), calls);
    }
}

/// Guards against accepted jobs that are lost and refused jobs that run, when a burst of
/// submissions exceeds the rate of store calls.
#[test]
fn burst_beyond_the_store_rate_is_refused_quickly_and_the_rest_is_kept() {
    let mut net = Net::open(ONE_DOMAIN, 16);
    let bodies: Vec<_> =
        (0..600).map(|n| long_job(&format!("j{n}"), 1, n % 2 == 0, Span(100))).collect();
    let tokens: Vec<_> = bodies.iter().map(|body| net.submit(0, body)).collect();
    net.run(Span::from_secs(9));
    let (mut accepted, mut refused) = (0, 0);
    for (token, body) in tokens.iter().zip(&bodies) {
        let code = net.answer(*token).expect("submission has no answer after 9 s").code;
        match code {
            Code::Accepted | Code::Running => accepted += 1,
            Code::Overloaded => refused += 1,
            code => panic!("{code} for {body:?}"),
        }
    }
    assert!(accepted > 100 && refused > 100, "{accepted} accepted, {refused} refused");
    net.run(Span::from_secs(120));
    for (token, body) in tokens.iter().zip(&bodies) {
        let ran = !net.record.runs_of(&body.spec().key).is_empty();
        assert_eq!(ran, net.answer(*token).unwrap().code != Code::Overloaded);
    }
    let counts = net.store.counts();
    assert_eq!(counts.limited, 0);
}

/// Guards against a job that is not idempotent being lost or restarted from scratch when the owner
/// of a guarantee reclaims its accelerators.
#[test]
fn non_idempotent_job_resumes_from_its_checkpoint_after_a_reclaim() {
    let mut net = Net::open(ONE_DOMAIN, 17);
    net.guarantee("shift", 4);
    let mut borrower = long_job("a", 4, false, Span::from_secs(40));
    borrower.checkpoint = true;
    let token = net.submit(0, &borrower);
    assert_eq!(net.wait(token, MINUTE).code, Code::Accepted);
    net.run(Span::from_secs(10));
    assert_eq!(running_tasks(&net, &borrower.spec().key), 4);
    let mut owner = long_job("b", 4, false, Span::from_secs(5));
    owner.workspace = "shift".parse().unwrap();
    owner.urgency = bulrushlink_core::Urgency::Urgent;
    let token = net.submit(0, &owner);
    assert_eq!(net.wait(token, MINUTE).code, Code::Accepted);
    net.run(Span(8_300));
    let started = net.record.runs_of(&owner.spec().key).len();
    assert_eq!(started, 4, "the guarantee was not reclaimed within 8.3 s");
    net.run(Span::from_secs(120));
    for body in [&borrower, &owner] {
        let token = net.status(0, &body.spec().key, None);
        assert_eq!(net.wait(token, MINUTE).code, Code::Completed);
    }
    let runs = net.record.runs_of(&borrower.spec().key);
    let saved = |run: &bulrushlink_standin::Run| {
        run.end == Some(bulrushlink_standin::RunEnd::Stopped { saved: true, lapsed: false })
    };
    assert_eq!(runs.iter().filter(|run| saved(run)).count(), 4);
    assert_eq!(net.attempts(&borrower.spec().key).len(), 2);
    assert_no_partial_gang(&net);
}

/// Guards against a job stuck behind a full domain while another one has room: both domains are
/// full, and the one that does not have the job becomes free.
#[test]
fn waiting_job_moves_to_a_domain_with_room() {
    let mut net = Net::open(TWO_DOMAINS, 7);
    let filler = |net: &mut Net, request: &str, domain: &str, run_s: u64| {
        let mut body = long_job(request, 4, true, Span::from_secs(run_s));
        body.domain = Some(domain.parse().unwrap());
        net.submit(0, &body);
        body.spec().key
    };
    filler(&mut net, "c", "cuenca", 600);
    filler(&mut net, "n", "norte", 600);
    net.run(Span::from_secs(5));
    let body = long_job("w", 4, true, Span::from_secs(1));
    let key = body.spec().key;
    net.submit(0, &body);
    net.run(Span::from_secs(20));
    let path = format!("jobs/{key}");
    let record = net
        .store
        .records()
        .find(|r| r.key == path)
        .expect("no open record of the waiting job")
        .value
        .clone();
    let blocker = if record.contains("\"domain\":\"cuenca\"") { "n" } else { "c" };
    let blocker_key = job(blocker, 4, true, None).spec().key;
    assert!(net.record.runs_of(&key).is_empty());
    net.caller(0, CallerCall::Cancel(blocker_key));
    let token = net.status(0, &key, Some(MINUTE));
    let answer = net.wait(token, MINUTE);
    assert_eq!(answer.code, Code::Completed, "{answer:?}");
    assert_eq!(net.attempts(&key), [Attempt(1)]);
}
