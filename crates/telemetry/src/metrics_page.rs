//! Metrics of the process in the Prometheus text format.
//!
//! The exporter's own listener needs an async runtime, which nothing else here uses; the page is
//! therefore served by a listener of the process. Histograms need [`MetricsPage::upkeep`].

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use std::sync::OnceLock;

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Handle that renders the metrics of all daemons in this process.
#[derive(Clone)]
pub struct MetricsPage(PrometheusHandle);

impl MetricsPage {
    /// Returns a handle to the metrics recorder, which the first call installs for the process.
    pub fn open() -> Self {
        let handle = HANDLE.get_or_init(|| {
            let recorder = PrometheusBuilder::new().build_recorder();
            let handle = recorder.handle();
            if metrics::set_global_recorder(recorder).is_err() {
                log::warn!(
                    "another metrics recorder is already installed; the metrics page stays empty"
                );
            }
            handle
        });
        Self(handle.clone())
    }

    /// Merges the samples of the histograms; without regular calls they would accumulate in memory.
    pub fn upkeep(&self) {
        self.0.run_upkeep();
    }

    /// Renders the page in the Prometheus text format.
    pub fn render(&self) -> String {
        self.0.render()
    }
}
