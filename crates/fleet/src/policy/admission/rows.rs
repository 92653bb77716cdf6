//! Rows of the forecast: made of the waits, corrected, and reduced to those that matter.

use bulrushlink_core::Span;

use super::{Accuracy, CLASSES, COSTS, LoadForecast, Row, WIDTHS};

/// Most rows of a forecast. At two bytes for each wait they take 17 KB; a read of them each 700 ms takes 3%
/// of a link of 10 Mbit/s.
pub(crate) const ROWS_MAX: usize = 128;

impl LoadForecast {
    /// Sets the waits of the rows. The tag of each result is the position of its row times the number of
    /// cost classes, plus the class.
    pub(crate) fn set_waits(&mut self, waits: &[(usize, [Span; WIDTHS.len()])]) {
        for row in &mut self.rows {
            row.waits = vec![0; CLASSES];
        }
        for (tag, spans) in waits {
            let (row, cost) = (tag / COSTS.len(), tag % COSTS.len());
            let waits = self.rows[row].waits[cost * WIDTHS.len()..].iter_mut();
            waits.zip(spans).for_each(|(wait, span)| *wait = span.millis() as u32);
        }
    }

    /// Corrects the waits of each queue by its measured error, and removes those that were wrong by much.
    pub(crate) fn correct(&mut self, accuracy: impl Fn(&str) -> Accuracy) {
        for row in &mut self.rows {
            let accuracy = accuracy(&row.queue);
            if !accuracy.is_trusted() {
                row.waits.clear();
            }
            for wait in &mut row.waits {
                *wait = accuracy.correct(Span(u64::from(*wait))).millis() as u32;
            }
        }
    }

    /// Removes the rows without a wait, and those of workspaces that say the same as their queue's.
    pub(crate) fn reduce(&mut self) {
        let common: Vec<Row> =
            self.rows.iter().filter(|r| r.workspace.is_none()).cloned().collect();
        let same = |row: &Row| {
            let of_queue = common.iter().find(|r| r.queue == row.queue);
            row.workspace.is_some()
                && of_queue.is_some_and(|r| r.waits == row.waits && r.idle == row.idle)
        };
        // A workspace without a wait needs its row if the queue has one.
        let waits = |row: &Row| row.waits.iter().any(|ms| *ms > 0);
        let queue_waits = |row: &Row| common.iter().any(|r| r.queue == row.queue && waits(r));
        self.rows.retain(|row| !same(row) && (waits(row) || queue_waits(row)));
    }
}
