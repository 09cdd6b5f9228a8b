//! Logging of membership events.

use super::shared::MembershipService;
use asterrill_membership::{Event, MemberName};
use slog::{info, warn, Logger};

/// Maximum number of events logged in one tick. Further events are only counted.
const MAX_LOGGED_EVENTS_PER_TICK: usize = 20;

impl MembershipService {
    /// Logs the events of one tick.
    pub(super) fn log_events(&self, events: Vec<Event>) {
        let unlogged = events.len().saturating_sub(MAX_LOGGED_EVENTS_PER_TICK) as u64;
        for event in events.into_iter().take(MAX_LOGGED_EVENTS_PER_TICK) {
            log_event(&self.log, event);
        }
        self.lock().unlogged_events += unlogged;
    }
}

fn log_event(log: &Logger, event: Event) {
    match event {
        Event::Alive { name, addr, generation } => {
            info!(log, "member up"; "member" => %name, "at" => %addr, "start" => generation)
        }
        Event::Suspect { name, reason } => {
            info!(log, "member suspected"; "member" => %name, "why" => reason.as_str())
        }
        Event::Dead { name } => info!(log, "member failed"; "member" => %name),
        Event::Left { name } => info!(log, "member left"; "member" => %name),
        Event::Flapping { name } => {
            warn!(log, "member is flapping; it does not count until it is stable"; "member" => %name)
        }
        Event::Stable { name } => info!(log, "member is stable again"; "member" => %name),
        Event::DuplicateName { addr, displaced } => {
            warn!(log, "another process uses this member's name"; "at" => %addr, "displaced" => displaced)
        }
        Event::Rejoined => warn!(log, "the other members had declared this member failed; it has rejoined"),
        Event::Paused { duration } => {
            warn!(log, "this process was paused; its view is not trusted until a majority has answered";
                "ms" => duration / 1_000)
        }
        Event::ViewChanged { view, evidence } => {
            let missing: Vec<&str> = evidence.missing.iter().map(MemberName::as_str).collect();
            info!(log, "view changed"; "view" => view.name(), "there" => evidence.present,
                "of" => evidence.agreed_size, "missing" => missing.join(" "))
        }
        Event::QuotaChanged { per_mille } => info!(log, "quota changed"; "per_mille" => per_mille),
    }
}
