//! Metric instruments of the instance.

use std::sync::Arc;
use std::time::Duration;

use chestnutvalve_model::error::Kind;
use chestnutvalve_model::id::Service;
use chestnutvalve_model::rank::Rank;
use chestnutvalve_routing::retry::Purpose;
use chestnutvalve_routing::sample::Verdict;
use chestnutvalve_telemetry::metrics::{Error, Metrics};
use chestnutvalve_wire::Traffic;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter};

/// Bucket bounds of the latency histograms, in milliseconds; the target for added latency is 3 ms.
const LATENCY_BOUNDS_MS: [f64; 12] = [
    0.1, 0.2, 0.5, 1.0, 2.0, 3.0, 5.0, 10.0, 25.0, 100.0, 500.0, 2_000.0,
];

/// Bucket bounds of the histogram of whole requests, in milliseconds; targets lie between 200 and 3,000 ms.
const REQUEST_BOUNDS_MS: [f64; 11] = [
    5.0, 20.0, 50.0, 100.0, 200.0, 400.0, 800.0, 1_500.0, 3_000.0, 5_000.0, 10_000.0,
];

/// Counters and histograms of the instance, and their exporter.
#[derive(Debug)]
pub struct Meters {
    metrics: Metrics,
    requests: Counter<u64>,
    attempts: Counter<u64>,
    refusals: Counter<u64>,
    rejections: Counter<u64>,
    notices: Counter<u64>,
    denied_attempts: Counter<u64>,
    memory_refusals: Counter<u64>,
    memory_closes: Counter<u64>,
    permits: Counter<f64>,
    accountant_timeouts: Counter<u64>,
    added_latency: Histogram<f64>,
    queue_wait: Histogram<f64>,
    gateway_request: Histogram<f64>,
}

impl Meters {
    /// Creates the instruments; `control` counts the messages of the internal protocol.
    ///
    /// # Errors
    ///
    /// Returns an error when the exporter can't be set up.
    pub fn new(control: &Arc<Traffic>) -> Result<Self, Error> {
        let metrics = Metrics::new()?;
        let meter = metrics.meter();
        register_traffic(&meter, control);
        let counter = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        let histogram = |name: &'static str, text: &'static str| {
            let builder = meter.f64_histogram(name).with_description(text);
            builder.with_boundaries(LATENCY_BOUNDS_MS.to_vec()).build()
        };
        Ok(Self {
            requests: counter("requests", "Requests by service, rank and outcome"),
            attempts: counter("attempts", "Attempts at workers by result"),
            refusals: counter("refusals", "Requests that the entry refused, by kind"),
            rejections: counter(
                "rejected_credentials",
                "Requests without a valid API key, by reason",
            ),
            notices: counter(
                "worker_notices",
                "Responses in which workers said that they leave or want a pause, by kind",
            ),
            denied_attempts: counter(
                "denied_attempts",
                "Extra attempts that the retry budget did not allow, by service and purpose",
            ),
            memory_refusals: counter(
                "memory_refusals",
                "Requests that were refused because too many bytes are held",
            ),
            memory_closes: counter(
                "memory_closed_connections",
                "Connections of callers that were closed because too many bytes are held",
            ),
            permits: meter
                .f64_counter("quota_permits")
                .with_description("Permits of customers with a limit at this accountant, by event")
                .build(),
            accountant_timeouts: counter(
                "quota_timeouts",
                "Requests to accountants that were not answered in time",
            ),
            added_latency: histogram(
                "added_latency_ms",
                "Time to the response without queueing and attempts, in ms",
            ),
            queue_wait: histogram("queue_wait_ms", "Time in the admission queue, in ms"),
            gateway_request: {
                let builder = meter.f64_histogram("gateway_request_ms");
                builder
                    .with_description("Time to the response of a routed request, in ms")
                    .with_boundaries(REQUEST_BOUNDS_MS.to_vec())
                    .build()
            },
            metrics,
        })
    }

    /// Counts a finished request; `service` is `None` if no worker of it is registered.
    pub fn count_request(&self, service: Option<&Service>, rank: Rank, outcome: &'static str) {
        // Callers choose the names in requests, so only names with registered workers become label values.
        let service = service.map_or("unknown", Service::as_str).to_owned();
        let labels = [
            KeyValue::new("service", service),
            KeyValue::new("rank", rank.name()),
            KeyValue::new("outcome", outcome),
        ];
        self.requests.add(1, &labels);
    }

    /// Records a gateway request with its total time and its time in the queue.
    pub fn record_routed(
        &self,
        service: &Service,
        rank: Rank,
        outcome: &'static str,
        elapsed: Duration,
        waited: Duration,
    ) {
        self.count_request(Some(service), rank, outcome);
        let labels = [
            KeyValue::new("service", service.as_str().to_owned()),
            KeyValue::new("outcome", outcome),
        ];
        self.gateway_request
            .record(elapsed.as_secs_f64() * 1e3, &labels);
        self.queue_wait.record(waited.as_secs_f64() * 1e3, &[]);
    }

    /// Counts an attempt at a worker by its verdict.
    pub fn count_attempt(&self, verdict: Verdict) {
        let result = match verdict {
            Verdict::Success => "success",
            Verdict::Failure => "failure",
            Verdict::Timeout => "timeout",
            Verdict::Truncated => "truncated",
            Verdict::Refused => "refused",
            Verdict::Shed => "shed",
            Verdict::Cancelled => "cancelled",
        };
        self.attempts.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts a refused request by the code of its error.
    pub fn count_refusal(&self, kind: Kind) {
        let code = kind.answer().code;
        self.refusals.add(1, &[KeyValue::new("kind", code)]);
    }

    /// Counts a request without a valid API key, by the reason.
    pub fn count_rejection(&self, reason: &'static str) {
        self.rejections.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts what a worker said about itself, by kind.
    pub fn count_notice(&self, kind: &'static str) {
        self.notices.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts an extra attempt that the retry budget did not allow.
    pub fn count_denied_attempt(&self, service: &Service, purpose: Purpose) {
        let purpose = match purpose {
            Purpose::Retry => "retry",
            Purpose::Hedge => "hedge",
        };
        let labels = [
            KeyValue::new("service", service.as_str().to_owned()),
            KeyValue::new("purpose", purpose),
        ];
        self.denied_attempts.add(1, &labels);
    }

    /// Counts a request that was refused for lack of memory.
    pub fn count_memory_refusal(&self) {
        self.memory_refusals.add(1, &[]);
    }

    /// Counts a connection that was closed for lack of memory.
    pub fn count_memory_close(&self) {
        self.memory_closes.add(1, &[]);
    }

    /// Exports the number of bytes that are held for the callers' connections.
    pub fn observe_held_bytes(&self, read: impl Fn() -> u64 + Send + Sync + 'static) {
        let meter = self.metrics.meter();
        meter
            .u64_observable_gauge("held_bytes")
            .with_description("Bytes of requests and responses held for callers and workers")
            .with_callback(move |observer| observer.observe(read(), &[]))
            .build();
    }

    /// Counts permits that this entry granted, refused or got back as an accountant, by event.
    pub fn count_permits(&self, event: &'static str, count: u64) {
        if let Ok(count) = u32::try_from(count) {
            let labels = [KeyValue::new("event", event)];
            self.permits.add(f64::from(count), &labels);
        }
    }

    /// Counts tokens that this entry borrowed as an accountant.
    pub fn count_borrowed(&self, tokens: f64) {
        let labels = [KeyValue::new("event", "borrowed")];
        self.permits.add(tokens, &labels);
    }

    /// Counts a request to an accountant that was not answered in time.
    pub fn count_accountant_timeout(&self) {
        self.accountant_timeouts.add(1, &[]);
    }

    /// Records the latency that the entry added to a response, and its time in the queue.
    pub fn record_latency(&self, added: Duration, queued: Duration) {
        self.added_latency.record(added.as_secs_f64() * 1e3, &[]);
        self.queue_wait.record(queued.as_secs_f64() * 1e3, &[]);
    }

    /// Renders all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error when a metric can't be encoded.
    pub fn render(&self) -> Result<String, Error> {
        self.metrics.render()
    }
}

/// Getter of a count of messages or bytes of the internal protocol.
type Reading = fn(&Traffic) -> u64;

fn register_traffic(meter: &Meter, control: &Arc<Traffic>) {
    let series: [(&'static str, &'static str, Reading); 4] = [
        ("control_messages", "out", Traffic::messages_sent),
        ("control_messages", "in", Traffic::messages_received),
        ("control_bytes", "out", Traffic::bytes_sent),
        ("control_bytes", "in", Traffic::bytes_received),
    ];
    for name in ["control_messages", "control_bytes"] {
        let reads: Vec<(&'static str, Reading)> = series
            .iter()
            .filter(|(n, _, _)| *n == name)
            .map(|(_, direction, read)| (*direction, *read))
            .collect();
        let control = Arc::clone(control);
        meter
            .u64_observable_counter(name)
            .with_description("Internal protocol by direction; payloads with frame headers")
            .with_callback(move |observer| {
                for (direction, read) in &reads {
                    let label = [KeyValue::new("direction", *direction)];
                    observer.observe(read(&control), &label);
                }
            })
            .build();
    }
}
