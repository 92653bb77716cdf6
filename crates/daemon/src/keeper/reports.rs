//! Task reports awaiting the placer's acknowledgement; each is resent until acknowledged.

use bulrushlink_api::TaskReport;
use bulrushlink_core::{DaemonId, Moment, Span, WorkerId};

use crate::edge::Context;
use crate::peer::PeerMessage;

/// Time after which an unacknowledged report is resent.
const RESEND_INTERVAL: Span = Span::from_secs(1);

/// The unacknowledged reports of one worker.
#[derive(Debug)]
struct Report {
    worker: WorkerId,
    /// Whether `tasks` covers every task of the worker.
    full: bool,
    /// The latest report of each task, sorted by task.
    tasks: Vec<TaskReport>,
    seq: u64,
    sent_at: Moment,
}

/// Reports awaiting acknowledgement, at most one per worker: a later report is merged into the
/// pending one.
#[derive(Debug)]
pub(super) struct Reports {
    /// Sorted by worker.
    pending: Vec<Report>,
    /// Sequence number of the last report sent.
    seq: u64,
}

impl Reports {
    /// Returns an empty queue whose sequence numbers start above those of earlier incarnations.
    pub(super) const fn open(incarnation: u64) -> Self {
        Self { pending: Vec::new(), seq: incarnation << 20 }
    }

    pub(super) const fn len(&self) -> usize {
        self.pending.len()
    }

    /// Drops all pending reports; the next full reports repeat their content.
    pub(super) fn clear(&mut self) {
        self.pending.clear();
    }

    /// Merges a worker's report into its pending one and sends the result. A full report replaces
    /// the pending one.
    pub(super) fn add(
        &mut self,
        worker: WorkerId,
        full: bool,
        tasks: Vec<TaskReport>,
        placer: &DaemonId,
        cx: &mut Context<'_>,
    ) {
        self.seq += 1;
        let new = Report { worker, full, tasks: Vec::new(), seq: self.seq, sent_at: cx.now };
        let i = match self.pending.binary_search_by(|r| r.worker.cmp(&new.worker)) {
            Ok(i) if full => {
                self.pending[i] = new;
                i
            }
            Ok(i) => {
                self.pending[i].seq = new.seq;
                self.pending[i].sent_at = new.sent_at;
                i
            }
            Err(i) => {
                self.pending.insert(i, new);
                i
            }
        };
        for task in tasks {
            self.pending[i].upsert(task);
        }
        self.pending[i].send(placer, cx);
    }

    /// Resends the reports that were not acknowledged in time.
    pub(super) fn resend_due(&mut self, placer: &DaemonId, cx: &mut Context<'_>) {
        for report in &mut self.pending {
            if cx.now.since(report.sent_at) >= RESEND_INTERVAL {
                report.sent_at = cx.now;
                report.send(placer, cx);
            }
        }
    }

    /// Removes the pending report `seq`. An acknowledgement of an earlier message of the worker has
    /// no effect, because each merge gives the pending report a new sequence number.
    pub(super) fn acknowledge(&mut self, seq: u64) {
        self.pending.retain(|report| report.seq != seq);
    }
}

impl Report {
    fn upsert(&mut self, task: TaskReport) {
        match self.tasks.binary_search_by(|probe| probe.id.cmp(&task.id)) {
            Ok(i) => self.tasks[i] = task,
            Err(i) => self.tasks.insert(i, task),
        }
    }

    fn send(&self, placer: &DaemonId, cx: &mut Context<'_>) {
        let message = PeerMessage::Reports {
            worker: self.worker.clone(),
            all: self.full,
            tasks: self.tasks.clone(),
            seq: self.seq,
        };
        cx.out.peer(placer, message);
    }
}
