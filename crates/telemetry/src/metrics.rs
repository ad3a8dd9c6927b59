//! OpenTelemetry metrics, exported in the Prometheus text format.

use opentelemetry::metrics::{Meter, MeterProvider as _};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder as _, Registry, TextEncoder};

/// Failure to set up or encode metrics.
#[derive(Debug, thiserror::Error)]
#[error("metrics: {0}")]
pub struct Error(String);

/// Meter provider and Prometheus registry of one process.
#[derive(Clone, Debug)]
pub struct Metrics {
    provider: SdkMeterProvider,
    registry: Registry,
}

impl Metrics {
    /// Creates a registry without instruments.
    ///
    /// # Errors
    ///
    /// Returns an error when the exporter can't be built.
    pub fn new() -> Result<Self, Error> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build();
        let exporter = exporter.map_err(|e| Error(e.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { provider, registry })
    }

    /// Returns the meter that creates counters, gauges and histograms.
    #[must_use]
    pub fn meter(&self) -> Meter {
        self.provider.meter("chestnutvalve")
    }

    /// Encodes all metrics in the Prometheus text format.
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
