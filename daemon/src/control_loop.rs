//! The control loop on the worker: lets time pass for the core, carries requests out, and ends the program once it has
//! drained.

use crate::change::{ChangeDriver, OperatorCommand, Reply, SlicePause};
use crate::dispatcher::Dispatcher;
use crate::membership::MembershipService;
use crate::operator_requests::{PendingCommand, Reload, RequestQueue};
use crate::peer_addresses::PeerAddresses;
use crate::shutdown::{close_connections, Shutdown};
use asterrill::Us;
use asterrill_net::{now, wait_until, yield_to_others};
use asterrill_rollout::SimpleCommand;
use asterrill_settings::SettingsError;
use signal_hook::iterator::Handle;
use slog::{info, warn};
use std::sync::Arc;

/// The loop goes round at least this often, in microseconds.
const MAX_WAIT: Us = 10_000_000;
/// A wake-up this late shows a pause of the process: what has arrived meanwhile is read first. In microseconds.
const LATE_WAKE_UP: Us = 20_000;
/// Time for that, in microseconds.
const CATCH_UP_TIME: Us = 5_000;

/// Owns all that is done on the worker beside RPCs.
pub struct ControlLoop {
    /// Where RPCs are decided.
    pub dispatcher: Arc<Dispatcher>,
    /// Requests from other threads.
    pub queue: Arc<RequestQueue>,
    /// Addresses that a reload may change.
    pub addresses: Arc<PeerAddresses>,
    /// The other backends, where they are configured.
    pub membership: Option<Arc<MembershipService>>,
    /// Graceful shutdown.
    pub shutdown: Shutdown,
    /// Changes of the configuration.
    pub changes: ChangeDriver,
    /// Ends the thread that waits for signals.
    pub signals: Handle,
}

impl ControlLoop {
    /// Runs until the program has drained.
    pub fn run(mut self) {
        self.dispatcher.timer_wakeup.register();
        self.dispatcher.with(|core, outbound, now| core.start(now, outbound));
        loop {
            let deadline = self.dispatcher.arm_timer(self.changes.next_deadline());
            // Who rang while a change went in slice by slice was not waited for.
            let waiting = self.queue.lock().is_waiting();
            wait_until(if waiting { 0 } else { deadline.min(now() + MAX_WAIT) });
            self.carry_out_requests();
            if now() > deadline.saturating_add(LATE_WAKE_UP) {
                wait_until(now() + CATCH_UP_TIME);
            }
            self.pass_time();
            if self.dispatcher.with(|core, _, _| core.is_drained()) {
                close_connections(&self.dispatcher);
                self.queue.close();
                self.signals.close();
                return;
            }
        }
    }

    fn carry_out_requests(&mut self) {
        let pending = self.queue.take();
        for reply_to in pending.context_requests {
            reply_to.try_send(self.changes.validation_context(&self.dispatcher)).unwrap_or_default();
        }
        if let Some(reload) = pending.reload {
            self.reload(reload, pending.shutdown);
        }
        for command in pending.commands {
            self.execute(command, pending.shutdown);
        }
        if pending.shutdown {
            self.shutdown.begin(&self.dispatcher);
            self.changes.begin_shutdown();
        } else {
            self.shutdown.save_learned(&self.dispatcher, false);
        }
    }

    fn pass_time(&mut self) {
        pass_time(&self.dispatcher);
        let (queue, shutdown) = (&self.queue, &mut self.shutdown);
        let pause: &mut SlicePause<'_> =
            &mut |dispatcher| pause_between_slices(dispatcher, queue, shutdown, false);
        self.changes.tick(&self.dispatcher, pause);
    }

    /// The configuration file was read again. One that can't be used changes nothing.
    fn reload(&mut self, reload: Result<Reload, SettingsError>, shutdown_requested: bool) {
        let dispatcher = &self.dispatcher;
        let is_ok = reload.is_ok();
        dispatcher.with(|core, _, _| {
            core.stats_mut().reloads += u64::from(is_ok);
            core.stats_mut().reloads_failed += u64::from(!is_ok);
        });
        let Reload { deployment, prepared } = match reload {
            Ok(reload) => reload,
            Err(fault) => {
                warn!(dispatcher.log, "configuration unchanged"; "why" => %fault);
                return;
            }
        };
        self.shutdown.grace = deployment.shutdown_grace;
        self.addresses.update(dispatcher, &deployment);
        info!(dispatcher.log, "configuration reloaded";
            "agent" => %deployment.agent, "naming" => %deployment.name_service);
        let (queue, shutdown) = (&self.queue, &mut self.shutdown);
        let pause: &mut SlicePause<'_> =
            &mut |dispatcher| pause_between_slices(dispatcher, queue, shutdown, shutdown_requested);
        self.changes.reload(dispatcher, deployment, prepared, pause);
    }

    fn execute(&mut self, PendingCommand { command, reply_to }: PendingCommand, shutdown_requested: bool) {
        let reply: Reply = match (command, &self.membership) {
            (OperatorCommand::Simple(SimpleCommand::Members), Some(membership)) => {
                membership.describe_members().into()
            }
            (OperatorCommand::Simple(SimpleCommand::Fleet), Some(membership)) => {
                membership.describe_agreed(None).into()
            }
            (OperatorCommand::AgreedList(kind), Some(membership)) => {
                membership.describe_agreed(Some(kind)).into()
            }
            (OperatorCommand::ProposeAgreed(proposal), Some(membership)) => {
                // Answers by itself, once that is settled.
                membership.propose(proposal, reply_to);
                return;
            }
            (command, _) => {
                let (queue, shutdown) = (&self.queue, &mut self.shutdown);
                let pause: &mut SlicePause<'_> =
                    &mut |dispatcher| pause_between_slices(dispatcher, queue, shutdown, shutdown_requested);
                self.changes.execute(&self.dispatcher, command, pause)
            }
        };
        // Whoever asked may have gone meanwhile.
        reply_to.try_send(reply).unwrap_or_default();
    }
}

/// Between two slices of a change: all others get their turn, time passes for the core, and the notice to shut down is
/// not held up. The module hears it with the version still in force; the slices that are left go in after it.
pub fn pause_between_slices(
    dispatcher: &Dispatcher, queue: &RequestQueue, shutdown: &mut Shutdown, shutdown_requested: bool,
) {
    yield_to_others();
    if !shutdown.has_begun() && (shutdown_requested || queue.lock().shutdown) {
        shutdown.begin(dispatcher);
    }
    pass_time(dispatcher);
}

/// Lets time pass for the core, if something is due.
fn pass_time(dispatcher: &Dispatcher) {
    dispatcher.with(|core, outbound, now| {
        if core.next_deadline().is_some_and(|at| at <= now) {
            core.tick(now, outbound);
        }
    });
}
