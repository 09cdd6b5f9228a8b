//! Load reports to the name service, which state whether this backend is serving.
//!
//! A report is sent once a second, and at once when the state or the address of the name service changes.

use crate::dispatcher::Dispatcher;
use asterrill::Us;
use asterrill_net::{exchange, now, wait_until, Address, Backoff, ReplyStatus};
use asterrill_protocol::name_service;
use asterrill_recovery::phase;
use slog::warn;
use std::time::Duration;

/// Interval between two reports, in microseconds.
const REPORT_INTERVAL_US: Us = 1_000_000;
/// Time after which a report without a complete reply counts as lost.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);
/// Divisor that gives the maximum jitter as a share of the interval. Reports are sent early by a random part of it, so
/// that the reports of many backends do not coincide.
const JITTER_DIVISOR: Us = 4;

/// Sends load reports during the life of the process.
///
/// A report that was sent may have been counted even without a reply, so the backoff applies only after a report that
/// could not be sent. `jitter_seed` spreads the reports of many backends; `None` disables the jitter.
pub fn send_load_reports(
    dispatcher: &Dispatcher, name: &str, address: &Address, mut backoff: Backoff, jitter_seed: Option<u64>,
) {
    dispatcher.load_report_wakeup.register();
    let mut target = address.get();
    let mut connection = None;
    let mut reports = 0_u64;
    loop {
        reports += 1;
        let Some(serving) = dispatcher.serving() else {
            wait_until(now() + REPORT_INTERVAL_US);
            continue;
        };
        if target != address.get() {
            target = address.get();
            connection = None;
        }
        let outdated = || dispatcher.serving() != Some(serving) || address.get() != target;
        let mut request = Vec::new();
        name_service::report(&mut request, name, &target.to_string(), serving);
        let started = now();
        let is_new_connection = connection.is_none();

        let mut reader = name_service::Reader::default();
        let mut counted = false;
        let read_reply = |mut bytes: &[u8]| match reader.next(&mut bytes) {
            Ok(None) => ReplyStatus::Incomplete,
            Ok(Some(reply)) => {
                counted = reply.accepted;
                if reply.keep_alive {
                    ReplyStatus::KeepAlive
                } else {
                    ReplyStatus::Close
                }
            }
            Err(error) => {
                warn!(dispatcher.log, "load report lost: invalid reply"; "why" => error.0);
                dispatcher.with(|core, _, _| core.stats_mut().name_service_protocol_errors += 1);
                ReplyStatus::Close
            }
        };
        let still_wanted = || !outdated();
        connection = exchange(connection.take(), target, &request, REPORT_TIMEOUT, still_wanted, read_reply);
        count_report(dispatcher, counted);

        if counted {
            backoff.reset();
            if !outdated() {
                let early = jitter_seed
                    .map_or(0, |seed| phase(seed ^ reports, "report", REPORT_INTERVAL_US / JITTER_DIVISOR));
                wait_until(started + REPORT_INTERVAL_US - early);
            }
        } else if is_new_connection && now() < started + REPORT_TIMEOUT.as_micros() as u64 {
            backoff.wait_unless(outdated);
        }
    }
}

fn count_report(dispatcher: &Dispatcher, counted: bool) {
    dispatcher.with(|core, _, _| {
        core.stats_mut().reports += u64::from(counted);
        core.stats_mut().reports_lost += u64::from(!counted);
    });
}
