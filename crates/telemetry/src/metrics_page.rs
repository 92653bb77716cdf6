//! The metrics of the process in the usual text format.
//!
//! The exporter's own listener needs a runtime that nothing else here has, so that the page is
//! served by a listener of the process itself. Histograms need [`MetricsPage::upkeep`].

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use std::sync::OnceLock;

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Renders the metrics of all daemons of this process.
#[derive(Clone)]
pub struct MetricsPage(PrometheusHandle);

impl MetricsPage {
    /// Installs the recorder, once for the process.
    pub fn open() -> Self {
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

    /// Merges the samples of the histograms, which would pile up otherwise.
    pub fn upkeep(&self) {
        self.0.run_upkeep();
    }

    /// Renders the page.
    pub fn render(&self) -> String {
        self.0.render()
    }
}
