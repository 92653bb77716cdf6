//! A straight line through measured points, and how far off its slope may be.

use serde::Serialize;

/// One measurement.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(crate) struct Point {
    /// The size.
    pub(crate) x: f64,
    /// What was measured at that size.
    pub(crate) y: f64,
}

/// The line of least squares.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(crate) struct Line {
    /// Growth of `y` with each unit of `x`.
    pub(crate) slope: f64,
    /// Standard error of the slope; 0 with fewer than three points.
    pub(crate) error: f64,
    /// `y` at size 0.
    pub(crate) base: f64,
}

impl Line {
    /// Fits a line; `None` unless there are two different sizes.
    pub(crate) fn fit(points: &[Point]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|p| p.x).sum::<f64>() / count;
        let mean_y = points.iter().map(|p| p.y).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|p| (p.x - mean_x).powi(2)).sum();
        if points.is_empty() || spread == 0.0 {
            return None;
        }
        let shared: f64 = points.iter().map(|p| (p.x - mean_x) * (p.y - mean_y)).sum();
        let slope = shared / spread;
        let base = mean_y - slope * mean_x;
        let rest: f64 = points.iter().map(|p| (p.y - base - slope * p.x).powi(2)).sum();
        let freedom = count - 2.0;
        let error = if freedom > 0.0 { (rest / freedom / spread).sqrt() } else { 0.0 };
        Some(Self { slope, error, base })
    }

    /// Returns what the line gives at `x`.
    pub(crate) fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}
