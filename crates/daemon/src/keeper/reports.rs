//! Reports on their way to the placer, repeated until it has taken them.

use bulrushlink_api::TaskReport;
use bulrushlink_core::{DaemonId, Moment, Span, WorkerId};

use crate::edge::Context;
use crate::peer::PeerMessage;

/// Time after which a report without an answer is sent again.
const REPEAT_PERIOD: Span = Span::from_secs(1);

/// What one worker reported and the placer hasn't taken yet.
#[derive(Debug)]
struct Report {
    worker: WorkerId,
    all: bool,
    /// Sorted by task, the latest report of each.
    tasks: Vec<TaskReport>,
    seq: u64,
    sent: Moment,
}

/// At most one message a worker; later reports join the one that waits.
#[derive(Debug)]
pub(super) struct Reports {
    /// Sorted by worker.
    waiting: Vec<Report>,
    seq: u64,
}

impl Reports {
    /// Starts without any report; numbers begin anew above those of an earlier `incarnation`.
    pub(super) const fn open(incarnation: u64) -> Self {
        Self { waiting: Vec::new(), seq: incarnation << 20 }
    }

    pub(super) const fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Drops all; the next full reports say it again.
    pub(super) fn clear(&mut self) {
        self.waiting.clear();
    }

    /// Adds what a worker reported and sends it. A full report replaces all earlier ones.
    pub(super) fn add(
        &mut self,
        worker: WorkerId,
        all: bool,
        tasks: Vec<TaskReport>,
        placer: &DaemonId,
        cx: &mut Context<'_>,
    ) {
        self.seq += 1;
        let fresh = Report { worker, all, tasks: Vec::new(), seq: self.seq, sent: cx.now };
        let i = match self.waiting.binary_search_by(|r| r.worker.cmp(&fresh.worker)) {
            Ok(i) if all => {
                self.waiting[i] = fresh;
                i
            }
            Ok(i) => {
                self.waiting[i].seq = fresh.seq;
                self.waiting[i].sent = fresh.sent;
                i
            }
            Err(i) => {
                self.waiting.insert(i, fresh);
                i
            }
        };
        for task in tasks {
            self.waiting[i].put(task);
        }
        self.waiting[i].send(placer, cx);
    }

    /// Sends again what has no answer yet.
    pub(super) fn repeat(&mut self, placer: &DaemonId, cx: &mut Context<'_>) {
        for report in &mut self.waiting {
            if cx.now.since(report.sent) >= REPEAT_PERIOD {
                report.sent = cx.now;
                report.send(placer, cx);
            }
        }
    }

    pub(super) fn on_taken(&mut self, seq: u64) {
        self.waiting.retain(|report| report.seq != seq);
    }
}

impl Report {
    fn put(&mut self, task: TaskReport) {
        match self.tasks.binary_search_by(|probe| probe.id.cmp(&task.id)) {
            Ok(i) => self.tasks[i] = task,
            Err(i) => self.tasks.insert(i, task),
        }
    }

    fn send(&self, placer: &DaemonId, cx: &mut Context<'_>) {
        let message = PeerMessage::Reports {
            worker: self.worker.clone(),
            all: self.all,
            tasks: self.tasks.clone(),
            seq: self.seq,
        };
        cx.out.peer(placer, message);
    }
}
