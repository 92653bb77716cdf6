//! Linear regression of measured points, with the standard error of the slope.

use serde::Serialize;

/// One measurement.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(crate) struct Point {
    /// The size.
    pub(crate) x: f64,
    /// The value measured at that size.
    pub(crate) y: f64,
}

/// The line fitted by least squares.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(crate) struct Line {
    /// Growth of `y` per unit of `x`.
    pub(crate) slope: f64,
    /// Standard error of the slope; 0 with fewer than three points.
    pub(crate) error: f64,
    /// `y` at size 0.
    pub(crate) base: f64,
}

impl Line {
    /// Fits a line; `None` unless the points have at least two different sizes.
    pub(crate) fn fit(points: &[Point]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|p| p.x).sum::<f64>() / count;
        let mean_y = points.iter().map(|p| p.y).sum::<f64>() / count;
        let sum_xx: f64 = points.iter().map(|p| (p.x - mean_x).powi(2)).sum();
        if points.is_empty() || sum_xx == 0.0 {
            return None;
        }
        let sum_xy: f64 = points.iter().map(|p| (p.x - mean_x) * (p.y - mean_y)).sum();
        let slope = sum_xy / sum_xx;
        let base = mean_y - slope * mean_x;
        let residual_sum: f64 = points.iter().map(|p| (p.y - base - slope * p.x).powi(2)).sum();
        let degrees_of_freedom = count - 2.0;
        let error = if degrees_of_freedom > 0.0 {
            (residual_sum / degrees_of_freedom / sum_xx).sqrt()
        } else {
            0.0
        };
        Some(Self { slope, error, base })
    }

    /// Returns the value of the line at `x`.
    pub(crate) fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}
