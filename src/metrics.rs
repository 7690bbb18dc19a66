//! Prometheus metrics of a node.

use prometheus::{
    Encoder as _, Histogram, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

use crate::name;

/// Upper bounds of the histogram buckets, in seconds. They include the targets of the objectives.
const BUCKETS_S: [f64; 16] =
    [0.005, 0.01, 0.02, 0.03, 0.04, 0.06, 0.08, 0.12, 0.2, 0.32, 0.64, 1.28, 2.56, 5.0, 10.0, 30.0];

/// The metrics of a node. Cheap to clone.
#[derive(Clone)]
pub struct Instruments {
    registry: Registry,
    /// Finished requests by organisation, workload and outcome.
    pub requests: IntCounterVec,
    /// Delivered tokens by organisation and workload.
    pub tokens: IntCounterVec,
    /// Engine events that were not delivered, by reason: `late`, `crossed` or `malformed`.
    pub dropped: IntCounterVec,
    /// Number of actions by kind: `refused`, `held`, `resumed`, `retried`, `fallback` and so on.
    pub actions: IntCounterVec,
    engine_streams: IntCounterVec,
    /// Time to the first token, in seconds.
    pub first_token: HistogramVec,
    /// Time between two tokens, in seconds.
    pub between_tokens: HistogramVec,
    /// Longest time without progress of each stream, in seconds.
    pub stall: HistogramVec,
    /// Duration of calls of plain services, in seconds.
    pub call: HistogramVec,
    /// Number of open streams and calls.
    pub open: IntGauge,
    /// Version of the document in force, 0 for none.
    pub document_version: IntGauge,
}

impl Instruments {
    /// Creates the metrics and registers them in a new registry.
    ///
    /// # Errors
    ///
    /// Returns [`prometheus::Error`] if the definition of a metric is invalid.
    ///
    /// ```
    /// let instruments = nutmeghead::metrics::Instruments::new()?;
    /// instruments.actions.with_label_values(&["refused"]).inc();
    /// assert!(instruments.render()?.contains("nutmeghead_actions_total"));
    /// # Ok::<(), prometheus::Error>(())
    /// ```
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let labels = &["organisation", "workload"];
        Ok(Self {
            requests: counter(
                &registry,
                "requests_total",
                "Finished requests",
                &["organisation", "workload", "outcome"],
            )?,
            tokens: counter(&registry, "tokens_total", "Delivered tokens", labels)?,
            dropped: counter(
                &registry,
                "dropped_events_total",
                "Engine events not delivered",
                &["reason"],
            )?,
            actions: counter(
                &registry,
                "actions_total",
                "How often each mechanism acted",
                &["action"],
            )?,
            engine_streams: counter(
                &registry,
                "engine_streams_total",
                "Streams received from engines, by how the end of the response is marked",
                &["framing", "outcome"],
            )?,
            first_token: histogram(
                &registry,
                "first_token_seconds",
                "Time to the first token",
                labels,
            )?,
            between_tokens: histogram(
                &registry,
                "between_tokens_seconds",
                "Time between two tokens",
                labels,
            )?,
            stall: histogram(
                &registry,
                "stall_seconds",
                "Longest wait of each stream without progress",
                labels,
            )?,
            call: histogram(
                &registry,
                "call_seconds",
                "Time of whole calls of plain services",
                labels,
            )?,
            open: gauge(&registry, "open", "Open streams and calls")?,
            document_version: gauge(
                &registry,
                "document_version",
                "Version of the document in force",
            )?,
            registry,
        })
    }

    /// The registry, for components that register metrics of their own.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Counts one action of the kind `action`.
    pub fn count_action(&self, action: &str) {
        self.actions.with_label_values(&[action]).inc();
    }

    /// Counts one stream received from an engine.
    pub fn count_engine_stream(&self, framing: &str, outcome: &str) {
        self.engine_streams.with_label_values(&[framing, outcome]).inc();
    }

    /// Counts preemptions that engines report.
    pub fn count_preemptions(&self, count: u64) {
        self.actions.with_label_values(&["preempted"]).inc_by(count);
    }

    /// Counts one finished request.
    pub fn count_request(&self, organisation: &str, workload: &str, outcome: &str) {
        self.requests.with_label_values(&[organisation, workload, outcome]).inc();
    }

    /// The metrics for one stream, whose labels are resolved only once.
    pub fn stream(&self, organisation: &name::Organisation, workload: &name::Workload) -> Stream {
        let labels = [organisation.as_str(), workload.as_str()];
        Stream {
            tokens: self.tokens.with_label_values(&labels),
            first_token: self.first_token.with_label_values(&labels),
            between_tokens: self.between_tokens.with_label_values(&labels),
            stall: self.stall.with_label_values(&labels),
        }
    }

    /// Renders all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns [`prometheus::Error`] if a metric cannot be encoded.
    pub fn render(&self) -> Result<String, prometheus::Error> {
        let mut out = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut out)?;
        Ok(String::from_utf8_lossy(&out).into_owned())
    }
}

/// The metrics for one stream.
pub struct Stream {
    /// Number of delivered tokens.
    pub tokens: prometheus::IntCounter,
    /// Time to the first token, in seconds.
    pub first_token: Histogram,
    /// Time between two tokens, in seconds.
    pub between_tokens: Histogram,
    /// Longest time without progress, in seconds.
    pub stall: Histogram,
}

fn counter(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntCounterVec, prometheus::Error> {
    let counter = IntCounterVec::new(Opts::new(name, help).namespace("nutmeghead"), labels)?;
    registry.register(Box::new(counter.clone()))?;
    Ok(counter)
}

fn histogram(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<HistogramVec, prometheus::Error> {
    let options =
        HistogramOpts::new(name, help).namespace("nutmeghead").buckets(BUCKETS_S.to_vec());
    let histogram = HistogramVec::new(options, labels)?;
    registry.register(Box::new(histogram.clone()))?;
    Ok(histogram)
}

fn gauge(registry: &Registry, name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
    let gauge = IntGauge::with_opts(Opts::new(name, help).namespace("nutmeghead"))?;
    registry.register(Box::new(gauge.clone()))?;
    Ok(gauge)
}
