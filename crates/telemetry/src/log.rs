//! Structured logging: one JSON object per line on standard output.
//!
//! Lines are rate-limited per kind. A dedicated thread writes them, so that a slow reader of standard output never blocks
//! the process. Lines that arrive while the queue of that thread is full are dropped.

use std::fmt::Write as _;
use std::num::NonZeroUsize;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use spdlog::formatter::{Formatter, FormatterContext};
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, Sink, SinkPropAccess, StdStream, StdStreamSink};
use spdlog::{ErrorHandler, Level, LevelFilter, Logger, Record, StringBuf, ThreadPool};

use crate::rate_limit::{Decision, RateLimiter};

/// Least severe level that is logged.
#[derive(Clone, Copy, Debug, Default, serde::Deserialize, Eq, PartialEq, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Threshold {
    /// Faults that require an operator.
    Error,
    /// Faults that the system recovers from by itself.
    Warn,
    /// State changes.
    #[default]
    Info,
    /// Details for troubleshooting.
    Debug,
}

impl Threshold {
    fn level_filter(self) -> LevelFilter {
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
struct JsonFormatter {
    instance: Arc<str>,
    dropped: Arc<AtomicU64>,
}

impl Formatter for JsonFormatter {
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
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            line["lines_not_written"] = dropped.into();
        }
        writeln!(dest, "{line}").map_err(spdlog::Error::FormatRecord)
    }
}

/// Capacity of the writer's queue. It covers a reader that stalls for more than a second while several kinds log at their
/// rate limit.
const MAX_QUEUED_LINES: NonZeroUsize = NonZeroUsize::new(2_048).expect("not zero");

/// Forwards the lines that are within the rate limit of their kind.
struct RateLimitedSink {
    sink: Arc<dyn Sink>,
    limiter: Mutex<RateLimiter>,
    /// Dropped lines that no written line has reported yet.
    dropped: Arc<AtomicU64>,
}

impl SinkPropAccess for RateLimitedSink {
    fn level_filter(&self) -> LevelFilter {
        self.sink.level_filter()
    }

    fn set_level_filter(&self, level_filter: LevelFilter) {
        self.sink.set_level_filter(level_filter);
    }

    fn set_formatter(&self, formatter: Box<dyn Formatter>) {
        self.sink.set_formatter(formatter);
    }

    fn set_error_handler(&self, handler: ErrorHandler) {
        self.sink.set_error_handler(handler);
    }
}

impl Sink for RateLimitedSink {
    fn log(&self, record: &Record<'_>) -> spdlog::Result<()> {
        let decision = {
            let mut limiter = self.limiter.lock().unwrap_or_else(PoisonError::into_inner);
            limiter.check(Instant::now(), record.payload())
        };
        match decision {
            Decision::Drop => return Ok(()),
            Decision::Write => {}
            Decision::WriteAfterDrops(dropped) => {
                self.dropped.fetch_add(dropped, Ordering::Relaxed);
            }
        }
        self.sink.log(record)
    }

    fn flush(&self) -> spdlog::Result<()> {
        self.sink.flush()
    }

    fn flush_on_exit(&self) -> spdlog::Result<()> {
        self.sink.flush_on_exit()
    }
}

/// Installs the default logger of the process. `instance` is written into every line.
///
/// # Errors
///
/// Returns an error when the sink, its thread or the logger can't be built.
pub fn install(instance: &str, threshold: Threshold) -> Result<(), Box<spdlog::Error>> {
    let dropped: Arc<AtomicU64> = Arc::default();
    let formatter = JsonFormatter {
        instance: instance.into(),
        dropped: Arc::clone(&dropped),
    };
    let sink = StdStreamSink::builder()
        .std_stream(StdStream::Stdout)
        .formatter(formatter);
    let sink = sink.build_arc().map_err(Box::new)?;
    let mut pool = ThreadPool::builder();
    let pool = pool.capacity(MAX_QUEUED_LINES);
    let pool = pool.build_arc().map_err(Box::new)?;
    let sink = AsyncPoolSink::builder()
        .sink(sink)
        .thread_pool(pool)
        .overflow_policy(OverflowPolicy::DropIncoming);
    let sink = Arc::new(RateLimitedSink {
        sink: sink.build_arc().map_err(Box::new)?,
        limiter: Mutex::default(),
        dropped,
    });
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(threshold.level_filter())
        .build_arc();
    let logger = logger.map_err(Box::new)?;
    logger.set_flush_level_filter(LevelFilter::All);
    spdlog::set_default_logger(logger);
    Ok(())
}
