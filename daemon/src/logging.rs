//! The log on standard error, written by a thread of its own.

use asterrill_operator_config::LogFormat;
use slog::{o, Drain, Logger};

/// Records that may wait for the thread; more are dropped and counted by it.
const MAX_WAITING_RECORDS: usize = 512;

/// The log, and the guard that waits for its thread when dropped.
pub fn start(format: LogFormat) -> (Logger, slog_async::AsyncGuard) {
    let (drain, guard) = match format {
        LogFormat::Plain => {
            let plain = slog_term::PlainDecorator::new(std::io::stderr());
            in_background(slog_term::FullFormat::new(plain).build().fuse())
        }
        LogFormat::Json => in_background(slog_json::Json::default(std::io::stderr()).fuse()),
    };
    (Logger::root(drain.fuse(), o!()), guard)
}

fn in_background<D>(drain: D) -> (slog_async::Async, slog_async::AsyncGuard)
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    slog_async::Async::new(drain).chan_size(MAX_WAITING_RECORDS).build_with_guard()
}
