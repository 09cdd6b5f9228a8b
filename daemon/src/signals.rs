//! The thread that waits for signals: SIGTERM shuts down, SIGHUP reads the configuration again, SIGUSR1 logs counters.

use crate::change::RunningContent;
use crate::deployment::read_deployment;
use crate::membership::MembershipService;
use crate::operator_requests::RequestHandler;
use signal_hook::consts::{SIGHUP, SIGTERM};
use signal_hook::iterator::Signals;
use slog::{info, Logger};
use std::sync::Arc;

/// Takes signals to the worker.
pub struct SignalLoop {
    /// The signals that are waited for.
    pub signals: Signals,
    /// Takes requests to the worker.
    pub handler: RequestHandler,
    /// What runs, with which a file that is read again is compared.
    pub running: Arc<RunningContent>,
    /// The other backends, where they are configured.
    pub membership: Option<Arc<MembershipService>>,
    /// The log.
    pub log: Logger,
}

impl SignalLoop {
    /// Runs until the control loop closes the signals.
    pub fn run(mut self) {
        for signal in self.signals.forever() {
            match signal {
                SIGTERM => self.handler.queue.lock().shutdown = true,
                SIGHUP => {
                    let running = self.running.get().configuration;
                    let reload = read_deployment(Some(&running))
                        .map(|deployment| self.handler.prepare_reload(deployment, &self.running));
                    self.handler.queue.lock().reload = Some(reload);
                }
                _ => {
                    let members = self.membership.as_ref().map(|membership| membership.stats_line());
                    let counters = self.handler.dispatcher.stats_line();
                    info!(self.log, "counters"; "of" => counters, "members" => members);
                }
            }
            self.handler.dispatcher.timer_wakeup.notify();
        }
        info!(self.log, "ended"; "counters" => self.handler.dispatcher.stats_line());
    }
}
