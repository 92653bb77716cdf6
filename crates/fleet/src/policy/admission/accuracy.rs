//! The error of the forecast, by which the next ones are corrected.
//!
//! Load pattern: estimates are wrong by up to 90%, all in the same direction for a queue, and so is a
//! forecast that is made of them.

use bulrushlink_core::Span;

/// Added to both waits before they are compared, in milliseconds: the time to record and send a start, so
/// that waits without importance count as equal.
const FLOOR_MS: f64 = 500.0;
/// Weight of a new sample; the correction follows a change within some ten jobs.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Largest correction, as a factor.
const FACTOR_MAX: f64 = 4.0;
/// Mean error, as a factor, from which nothing is refused; jobs may take three times their allowed time.
const DOUBT_FACTOR: f64 = 3.0;
/// Mean error, as a factor, below which the forecast counts again.
const TRUST_FACTOR: f64 = 2.0;

/// Error of the forecasts of one queue.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Accuracy {
    /// Mean logarithm of true over forecast wait, by which forecasts are corrected.
    bias: f64,
    /// Mean logarithm of corrected over true wait, where forecasts that were too short count as right.
    error: f64,
    doubted: bool,
}

impl Accuracy {
    /// Counts a job that has begun, with its uncorrected forecast and its true wait.
    pub(crate) fn record(&mut self, forecast: Span, waited: Span) {
        let log = |span: Span| (span.millis() as f64 + FLOOR_MS).ln();
        let ratio = log(waited) - log(forecast);
        // A forecast that is too short refuses only jobs that would wait still longer, so it is corrected
        // and not doubted.
        let too_long = (self.bias - ratio).max(0.0);
        self.error += SAMPLE_WEIGHT * (too_long - self.error);
        let limit = FACTOR_MAX.ln();
        self.bias = (self.bias + SAMPLE_WEIGHT * (ratio - self.bias)).clamp(-limit, limit);
        let threshold = if self.doubted { TRUST_FACTOR } else { DOUBT_FACTOR };
        self.doubted = self.error > threshold.ln();
    }

    /// Returns true if the latest forecasts were not wrong by much.
    pub(crate) fn is_trusted(&self) -> bool {
        !self.doubted
    }

    /// Returns the mean error as a factor, 1 or more.
    pub(crate) fn error_factor(&self) -> f64 {
        self.error.exp()
    }

    /// Corrects a forecast. One without a wait stays so.
    pub(crate) fn correct(&self, forecast: Span) -> Span {
        if forecast == Span::ZERO {
            return forecast;
        }
        let corrected = (forecast.millis() as f64 + FLOOR_MS) * self.bias.exp() - FLOOR_MS;
        Span(corrected.max(0.0) as u64)
    }
}
