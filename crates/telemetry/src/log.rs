//! Structured logs: one JSON object a line on standard output.
//!
//! Each kind of line has a quota, and a thread of its own writes the lines, so that a slow reader of the output never holds
//! up the process. Lines that don't fit into its queue are dropped.

use std::fmt::Write as _;
use std::num::NonZeroUsize;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use spdlog::formatter::{Formatter, FormatterContext};
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, Sink, SinkPropAccess, StdStream, StdStreamSink};
use spdlog::{ErrorHandler, Level, LevelFilter, Logger, Record, StringBuf, ThreadPool};

use crate::quota::{Quota, Verdict};

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
    dropped: Arc<AtomicU64>,
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
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            line["lines_not_written"] = dropped.into();
        }
        writeln!(dest, "{line}").map_err(spdlog::Error::FormatRecord)
    }
}

/// Lines that wait to be written; at the quota of several kinds this is more than a second of a stalled reader.
const QUEUE_LINES: NonZeroUsize = NonZeroUsize::new(2_048).expect("not zero");

/// Passes on the lines that are within the quota of their kind.
struct Limited {
    sink: Arc<dyn Sink>,
    quota: Mutex<Quota>,
    /// Lines that were not written and that no line has told of yet.
    dropped: Arc<AtomicU64>,
}

impl SinkPropAccess for Limited {
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

impl Sink for Limited {
    fn log(&self, record: &Record<'_>) -> spdlog::Result<()> {
        let verdict = {
            let mut quota = self.quota.lock().unwrap_or_else(PoisonError::into_inner);
            quota.decide(Instant::now(), record.payload())
        };
        match verdict {
            Verdict::Drop => return Ok(()),
            Verdict::Write => {}
            Verdict::WriteAfter(dropped) => {
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

/// Installs the process's logger.
///
/// # Errors
///
/// Returns the error of the log library.
pub fn install(instance: &str, threshold: Threshold) -> Result<(), Box<spdlog::Error>> {
    let dropped: Arc<AtomicU64> = Arc::default();
    let formatter = Json {
        instance: instance.into(),
        dropped: Arc::clone(&dropped),
    };
    let sink = StdStreamSink::builder()
        .std_stream(StdStream::Stdout)
        .formatter(formatter);
    let sink = sink.build_arc().map_err(Box::new)?;
    let mut pool = ThreadPool::builder();
    let pool = pool.capacity(QUEUE_LINES);
    let pool = pool.build_arc().map_err(Box::new)?;
    let sink = AsyncPoolSink::builder()
        .sink(sink)
        .thread_pool(pool)
        .overflow_policy(OverflowPolicy::DropIncoming);
    let sink = Arc::new(Limited {
        sink: sink.build_arc().map_err(Box::new)?,
        quota: Mutex::default(),
        dropped,
    });
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(threshold.filter())
        .build_arc();
    let logger = logger.map_err(Box::new)?;
    logger.set_flush_level_filter(LevelFilter::All);
    spdlog::set_default_logger(logger);
    Ok(())
}
