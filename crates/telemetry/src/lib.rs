//! Logging and metrics of the daemons.
//!
//! # Example
//!
//! ```
//! use bulrushlink_telemetry::{MetricsPage, Sink, open_log};
//!
//! open_log("info", &"front-1".parse()?, Sink::Stderr)?;
//! log::info!(event = "start"; "the daemon has started");
//! let page = MetricsPage::open();
//! assert!(page.render().is_empty());
//! # Ok::<(), bulrushlink_core::Error>(())
//! ```

mod budget;
mod json_log;
mod metrics_page;
mod repeats;
#[cfg(test)]
mod tests;

pub use json_log::{Sink, open_log};
pub use metrics_page::MetricsPage;
