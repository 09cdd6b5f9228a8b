//! Signal handling: SIGTERM shuts down, SIGHUP reloads the configuration, SIGUSR1 logs the counters.

use crate::change::RunningContent;
use crate::deployment::read_deployment;
use crate::membership::MembershipService;
use crate::operator_requests::RequestHandler;
use signal_hook::consts::{SIGHUP, SIGTERM};
use signal_hook::iterator::Signals;
use slog::{info, Logger};
use std::sync::Arc;

/// Loop that receives signals and queues requests for the worker.
pub struct SignalLoop {
    /// Registered signals.
    pub signals: Signals,
    /// Handler that queues requests for the worker.
    pub handler: RequestHandler,
    /// Running content, with which a reloaded file is compared.
    pub running: Arc<RunningContent>,
    /// Membership in the cluster of backends, if it is configured.
    pub membership: Option<Arc<MembershipService>>,
    /// Logger.
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
        info!(self.log, "stopped"; "counters" => self.handler.dispatcher.stats_line());
    }
}
