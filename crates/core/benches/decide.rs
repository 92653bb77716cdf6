//! Processor time of one decision.

use bulrushlink_core::{Event, Moment, Scheduler};
use criterion::{Criterion, criterion_group, criterion_main};

fn tick(c: &mut Criterion) {
    let mut sched = Scheduler::open(1);
    c.bench_function("tick", |b| b.iter(|| sched.decide(Event::Tick, Moment(0))));
}

criterion_group!(benches, tick);
criterion_main!(benches);
