//! Structured logs: one JSON object a line on standard error.

use std::fmt::Write as _;
use std::sync::Arc;

use spdlog::formatter::{Formatter, FormatterContext};
use spdlog::sink::{StdStream, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger, Record, StringBuf};

/// Level below which messages are dropped.
#[derive(Clone, Copy, Debug, Default, serde::Deserialize, Eq, PartialEq, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Threshold {
    /// Faults that need an operator.
    Error,
    /// Faults that the system handles.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Details for the search of a fault.
    Debug,
}

impl Threshold {
    fn filter(self) -> LevelFilter {
        let level = match self {
            Self::Error => Level::Error,
            Self::Warn => Level::Warn,
            Self::Info => Level::Info,
            Self::Debug => Level::Debug,
        };
        LevelFilter::MoreSevereEqual(level)
    }
}

#[derive(Clone)]
struct Json {
    instance: Arc<str>,
}

impl Formatter for Json {
    fn format(
        &self,
        record: &Record<'_>,
        dest: &mut StringBuf,
        _context: &mut FormatterContext<'_>,
    ) -> spdlog::Result<()> {
        let since_epoch = record
            .time()
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap_or_default();
        let mut line = serde_json::json!({
            "time_ms": u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX),
            "level": record.level().as_str(),
            "instance": &*self.instance,
            "message": record.payload(),
        });
        for (key, value) in record.key_values() {
            line[key.as_str()] = value.to_string().into();
        }
        writeln!(dest, "{line}").map_err(spdlog::Error::FormatRecord)
    }
}

/// Installs the process's logger.
///
/// # Errors
///
/// Returns the error of the log library.
pub fn install(instance: &str, threshold: Threshold) -> Result<(), Box<spdlog::Error>> {
    let formatter = Json {
        instance: instance.into(),
    };
    let sink = StdStreamSink::builder()
        .std_stream(StdStream::Stderr)
        .formatter(formatter);
    let sink = sink.build_arc().map_err(Box::new)?;
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(threshold.filter())
        .build_arc();
    let logger = logger.map_err(Box::new)?;
    logger.set_flush_level_filter(LevelFilter::All);
    spdlog::set_default_logger(logger);
    Ok(())
}
