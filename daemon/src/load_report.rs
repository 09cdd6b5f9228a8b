//! Load reports to the name service: whether this backend takes work, once a second and at once when that, or the name
//! service's address, changes.

use crate::dispatcher::Dispatcher;
use asterrill::Us;
use asterrill_net::{exchange, now, wait_until, Address, Backoff, ReplyStatus};
use asterrill_protocol::name_service;
use asterrill_recovery::phase;
use slog::warn;
use std::time::Duration;

/// Microseconds between two reports.
const REPORT_INTERVAL_US: Us = 1_000_000;
/// A report that takes longer is lost.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);
/// Reports are sent early by up to this part of the interval, so that many backends do not report in step.
const JITTER_DIVISOR: Us = 4;

/// Sends load reports for as long as the process lives.
///
/// A report that was sent may count though it was not answered, so only one that could not be sent makes the next one
/// back off. `jitter_seed` spreads the reports of many backends; `None` sends them without jitter.
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
