//! Metrics by OpenTelemetry, rendered as Prometheus text.

use opentelemetry::metrics::{Meter, MeterProvider as _};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder as _, Registry, TextEncoder};

/// A failure to set up or render metrics.
#[derive(Debug, thiserror::Error)]
#[error("metrics: {0}")]
pub struct Error(String);

/// Metrics of one process.
#[derive(Clone, Debug)]
pub struct Metrics {
    provider: SdkMeterProvider,
    registry: Registry,
}

impl Metrics {
    /// Creates an empty set of metrics.
    ///
    /// # Errors
    ///
    /// Returns an error when the exporter can't be set up.
    pub fn new() -> Result<Self, Error> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build();
        let exporter = exporter.map_err(|e| Error(e.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { provider, registry })
    }

    /// Returns the meter from which counters, gauges and histograms are made.
    #[must_use]
    pub fn meter(&self) -> Meter {
        self.provider.meter("chestnutvalve")
    }

    /// Renders all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error when a metric can't be encoded.
    pub fn render(&self) -> Result<String, Error> {
        let mut text = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        encoded.map_err(|e| Error(e.to_string()))?;
        String::from_utf8(text).map_err(|e| Error(e.to_string()))
    }
}
