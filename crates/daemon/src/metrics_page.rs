//! The metrics of the process in the usual text format.
//!
//! The exporter's own listener needs a runtime that nothing else here has, so that the page is
//! served by the operators' listener. Counters and gauges need no upkeep; histograms would.

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use std::sync::OnceLock;

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Renders the metrics of all daemons of this process.
#[derive(Clone)]
pub(crate) struct MetricsPage(PrometheusHandle);

impl MetricsPage {
    /// Installs the recorder, once for the process.
    pub(crate) fn open() -> Self {
        let handle = HANDLE.get_or_init(|| {
            let recorder = PrometheusBuilder::new().build_recorder();
            let handle = recorder.handle();
            if metrics::set_global_recorder(recorder).is_err() {
                log::warn!("another recorder has the metrics of this process");
            }
            handle
        });
        Self(handle.clone())
    }

    pub(crate) fn render(&self) -> String {
        self.0.render()
    }
}
