//! Log on standard error, written by a dedicated thread.

use asterrill_operator_config::LogFormat;
use slog::{o, Drain, Logger};

/// Maximum number of records that wait for the log thread. The thread counts and drops those beyond it.
const MAX_QUEUED_RECORDS: usize = 512;

/// Starts the log thread. Returns the logger, and a guard that waits for the thread when it is dropped.
pub fn start(format: LogFormat) -> (Logger, slog_async::AsyncGuard) {
    let (drain, guard) = match format {
        LogFormat::Plain => {
            let plain = slog_term::PlainDecorator::new(std::io::stderr());
            spawn_log_thread(slog_term::FullFormat::new(plain).build().fuse())
        }
        LogFormat::Json => spawn_log_thread(slog_json::Json::default(std::io::stderr()).fuse()),
    };
    (Logger::root(drain.fuse(), o!()), guard)
}

fn spawn_log_thread<D>(drain: D) -> (slog_async::Async, slog_async::AsyncGuard)
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    slog_async::Async::new(drain).chan_size(MAX_QUEUED_RECORDS).build_with_guard()
}
