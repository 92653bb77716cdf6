//! The distribution of the latest values of one quantity.

use sketches_ddsketch::{Config, DDSketch};
use std::fmt;

/// Relative accuracy of a quantile; equal tasks differ by more.
const ACCURACY: f64 = 0.02;
/// Most bins of a sketch. At the accuracy above they span a factor of 25,000; values below that share
/// a bin.
const BINS_MAX: u32 = 256;
/// Lowest value that a sketch distinguishes from 0.
const VALUE_MIN: f64 = 1e-4;
/// Values after which the present half of a window becomes the earlier half. A change of behaviour has
/// replaced all values after twice this many, and the median after about as many.
pub(super) const HALF_MAX: u32 = 24;
/// Probabilities of the quantiles in a [`Table`].
const PROBABILITIES: [f32; QUANTILES] =
    [0.01, 0.05, 0.1, 0.16, 0.25, 0.4, 0.5, 0.6, 0.75, 0.84, 0.9, 0.95, 0.98, 0.995];
/// Number of quantiles in a [`Table`].
pub(super) const QUANTILES: usize = 14;
/// Positions of some quantiles in a [`Table`].
const LOWER: usize = 3;
const MEDIAN: usize = 6;
const UPPER: usize = 9;
const HIGH: usize = 10;

/// Quantiles of a distribution as natural logarithms, in rising order.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Table(pub(super) [f32; QUANTILES]);

impl Table {
    pub(super) fn median(&self) -> f32 {
        self.0[MEDIAN]
    }

    /// Returns the distance from the median to the quantile of 0.9.
    pub(super) fn high_offset(&self) -> f32 {
        self.0[HIGH] - self.0[MEDIAN]
    }

    /// Returns half the width of the range that holds the middle 68% of the values, which is the standard
    /// deviation of a normal distribution. A long tail doesn't change it.
    pub(super) fn spread(&self) -> f32 {
        (self.0[UPPER] - self.0[LOWER]) / 2.0
    }

    /// Returns the weighted mean of two tables, quantile by quantile.
    pub(super) fn blend(&self, other: &Self, weight: f32) -> Self {
        Self(std::array::from_fn(|i| self.0[i] + weight * (other.0[i] - self.0[i])))
    }

    /// Returns the same distribution with another median.
    pub(super) fn centred(&self, median: f32) -> Self {
        Self(self.0.map(|q| q - self.0[MEDIAN] + median))
    }

    /// Returns the fraction of the values that are below `value`.
    pub(super) fn fraction_below(&self, value: f32) -> f32 {
        let above = self.0.partition_point(|q| *q < value);
        match above {
            0 => 0.0,
            QUANTILES => 1.0,
            _ => {
                let (low, high) = (self.0[above - 1], self.0[above]);
                let (p, q) = (PROBABILITIES[above - 1], PROBABILITIES[above]);
                p + (q - p) * (value - low) / (high - low)
            }
        }
    }

    /// Returns the quantile of a probability.
    pub(super) fn quantile(&self, probability: f32) -> f32 {
        let above = PROBABILITIES.partition_point(|p| *p < probability);
        match above {
            0 => self.0[0],
            QUANTILES => self.0[QUANTILES - 1],
            _ => {
                let (p, q) = (PROBABILITIES[above - 1], PROBABILITIES[above]);
                let (low, high) = (self.0[above - 1], self.0[above]);
                low + (high - low) * (probability - p) / (q - p)
            }
        }
    }

    /// Returns the medians of the quantiles of several tables, which one of them can't move beyond the
    /// others. `tables` must not be empty.
    pub(super) fn median_of(tables: &[Self]) -> Self {
        let mut values = Vec::with_capacity(tables.len());
        Self(std::array::from_fn(|i| {
            values.clear();
            values.extend(tables.iter().map(|t| t.0[i]));
            values.sort_by(f32::total_cmp);
            // The mean of the middle two if their number is even.
            (values[(values.len() - 1) / 2] + values[values.len() / 2]) / 2.0
        }))
    }

    /// Returns true if the quantiles don't fall, and are numbers.
    pub(super) fn is_sorted(&self) -> bool {
        self.0.is_sorted()
    }
}

/// The latest values of a quantity: at least the latest [`HALF_MAX`], and up to twice as many.
#[derive(Clone)]
pub(super) struct Window {
    present: DDSketch,
    earlier: DDSketch,
    /// Quantiles of both halves; zeros while there are no values.
    table: Table,
}

impl Default for Window {
    fn default() -> Self {
        Self { present: sketch(), earlier: sketch(), table: Table::default() }
    }
}

impl Window {
    /// Returns a window with values of a given distribution.
    pub(super) fn from_table(table: &Table, values: u32) -> Self {
        let mut window = Self::default();
        let values = values.min(2 * HALF_MAX);
        for i in 0..values {
            let probability = (i as f32 + 0.5) / values as f32;
            // Every second value goes to the half that is dropped first.
            let half = if i % 2 == 0 { &mut window.earlier } else { &mut window.present };
            half.add(f64::from(table.quantile(probability)).exp());
        }
        window.refresh();
        window
    }

    /// Adds a positive value.
    pub(super) fn add(&mut self, value: f64) {
        if self.present.count() >= HALF_MAX as usize {
            self.earlier = std::mem::replace(&mut self.present, sketch());
        }
        self.present.add(value);
        self.refresh();
    }

    /// Returns the number of values.
    pub(super) fn len(&self) -> u32 {
        (self.present.count() + self.earlier.count()) as u32
    }

    pub(super) fn table(&self) -> &Table {
        &self.table
    }

    fn refresh(&mut self) {
        let mut both = self.present.clone();
        if both.merge(&self.earlier).is_err() {
            // Sketches of equal settings can always be merged; without the earlier half the window is
            // only shorter.
            log::error!(event = "sketch_unmerged"; "two sketches of run times can't be merged");
        }
        let quantile = |p: f32| both.quantile(f64::from(p)).ok().flatten();
        let log = |p: f32| quantile(p).map_or(0.0, |v| v.max(VALUE_MIN).ln() as f32);
        self.table = Table(PROBABILITIES.map(log));
    }
}

/// The dump shows the number of values and the median instead of the bins.
impl fmt::Debug for Window {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let median = self.table.median().exp();
        write!(f, "{median:.3} of {}", self.len())
    }
}

fn sketch() -> DDSketch {
    DDSketch::new(Config::new(ACCURACY, BINS_MAX, VALUE_MIN))
}
