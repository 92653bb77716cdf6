use bulrushlink_api::JobState;
use bulrushlink_core::{Attempt, Code, Span};

use crate::harness::{Net, job};

const ONE: &[(&str, usize)] = &[("cuenca", 1)];
const TWO: &[(&str, usize)] = &[("cuenca", 3), ("norte", 2)];
const LONG: Span = Span::from_secs(60);

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
            assert!(!keys.iter().any(|key| key.starts_with("jobs/")), "{keys:?}");
            assert!(net.workers.iter().all(|w| w.tasks(net.now).is_empty()), "all is forgotten");
        }
    }
}
