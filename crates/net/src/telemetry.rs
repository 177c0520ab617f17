//! Logging and metrics of a process.

use std::io::{self, Write};
use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use crate::log_queue::LogQueue;

static METRICS: OnceLock<PrometheusHandle> = OnceLock::new();

/// Default log filter: own events from info, events of the HTTP libraries from warnings on.
const DEFAULT_FILTER: &str = "info,volo=warn,volo_http=warn";

/// Starts logging to stderr, one line of key=value pairs per event. `RUST_LOG` sets the filter.
pub fn init_logs() {
    init_logs_at(DEFAULT_FILTER);
}

/// Starts logging like [`init_logs`], with another default filter.
pub fn init_logs_at(filter: &str) {
    let env = env_logger::Env::default().default_filter_or(filter);
    let _ = env_logger::Builder::from_env(env)
        .format(write_line)
        .try_init();
}

fn write_line(buf: &mut env_logger::fmt::Formatter, record: &log::Record<'_>) -> io::Result<()> {
    let time = buf.timestamp_millis();
    let level = record.level().as_str().to_ascii_lowercase();
    writeln!(buf, "time={time} level={level} {}", record.args())
}

/// Starts logging to stdout through a bounded queue, so that a slow reader never blocks callers.
/// Lines are dropped and counted while the queue is full.
pub fn init_queued_logs() {
    let env = env_logger::Env::default().default_filter_or(DEFAULT_FILTER);
    let queue = Box::new(LogQueue::new(io::stdout()));
    let _ = env_logger::Builder::from_env(env)
        .format(write_line)
        .target(env_logger::Target::Pipe(queue))
        .try_init();
}

/// Starts collecting metrics. Later calls have no effect.
pub fn init_metrics() {
    METRICS.get_or_init(|| {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        let _ = metrics::set_global_recorder(recorder);
        handle
    });
}

/// Returns the metrics in Prometheus text format; empty before [`init_metrics`].
pub fn render_metrics() -> String {
    METRICS.get().map_or_else(String::new, |handle| {
        handle.run_upkeep();
        handle.render()
    })
}

/// Quotes a log value if it is empty or contains whitespace, double quotes or equals signs.
pub fn quote(text: &str) -> String {
    let plain = |c: char| !c.is_whitespace() && c != '"' && c != '=';
    if !text.is_empty() && text.chars().all(plain) {
        return text.to_owned();
    }
    format!("{text:?}")
}
