//! Control loop on the worker: advances the core's time, executes requests, and ends the process once it has drained.

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

/// Maximum time between two iterations of the loop, in microseconds.
const MAX_WAIT_US: Us = 10_000_000;
/// Delay of a wakeup, in microseconds, beyond which the process counts as having been paused. Input that arrived
/// during the pause is then read before timers expire.
const LATE_WAKEUP_US: Us = 20_000;
/// Time for reading the input that arrived during a pause, in microseconds.
const CATCH_UP_US: Us = 5_000;

/// Owner of all work on the worker that is not part of an RPC.
pub struct ControlLoop {
    /// Dispatcher that decides RPCs.
    pub dispatcher: Arc<Dispatcher>,
    /// Requests from other threads.
    pub queue: Arc<RequestQueue>,
    /// Addresses that a reload may change.
    pub addresses: Arc<PeerAddresses>,
    /// Membership in the cluster of backends, if it is configured.
    pub membership: Option<Arc<MembershipService>>,
    /// Graceful shutdown.
    pub shutdown: Shutdown,
    /// Driver of configuration changes.
    pub changes: ChangeDriver,
    /// Handle that ends the signal loop.
    pub signals: Handle,
}

impl ControlLoop {
    /// Runs until the backend has drained.
    pub fn run(mut self) {
        self.dispatcher.timer_wakeup.register();
        self.dispatcher.with(|core, outbound, now| core.start(now, outbound));
        loop {
            let deadline = self.dispatcher.arm_timer(self.changes.next_deadline());
            // A notification that arrived while a change was installed in slices does not end the next wait, so the
            // queue is checked first.
            let has_requests = !self.queue.lock().is_empty();
            wait_until(if has_requests { 0 } else { deadline.min(now() + MAX_WAIT_US) });
            self.process_requests();
            if now() > deadline.saturating_add(LATE_WAKEUP_US) {
                wait_until(now() + CATCH_UP_US);
            }
            self.tick();
            if self.dispatcher.with(|core, _, _| core.is_drained()) {
                close_connections(&self.dispatcher);
                self.queue.close();
                self.signals.close();
                return;
            }
        }
    }

    fn process_requests(&mut self) {
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

    fn tick(&mut self) {
        tick_core(&self.dispatcher);
        let (queue, shutdown) = (&self.queue, &mut self.shutdown);
        let pause: &mut SlicePause<'_> =
            &mut |dispatcher| yield_between_slices(dispatcher, queue, shutdown, false);
        self.changes.tick(&self.dispatcher, pause);
    }

    /// Applies a reloaded configuration file. An invalid file changes nothing.
    fn reload(&mut self, reload: Result<Reload, SettingsError>, shutdown_requested: bool) {
        let dispatcher = &self.dispatcher;
        let is_ok = reload.is_ok();
        dispatcher.with(|core, _, _| {
            core.stats_mut().reloads += u64::from(is_ok);
            core.stats_mut().reloads_failed += u64::from(!is_ok);
        });
        let Reload { deployment, prepared } = match reload {
            Ok(reload) => reload,
            Err(error) => {
                warn!(dispatcher.log, "configuration unchanged"; "why" => %error);
                return;
            }
        };
        self.shutdown.grace = deployment.shutdown_grace;
        self.addresses.update(dispatcher, &deployment);
        info!(dispatcher.log, "configuration reloaded";
            "agent" => %deployment.agent, "naming" => %deployment.name_service);
        let (queue, shutdown) = (&self.queue, &mut self.shutdown);
        let pause: &mut SlicePause<'_> =
            &mut |dispatcher| yield_between_slices(dispatcher, queue, shutdown, shutdown_requested);
        self.changes.reload(dispatcher, deployment, prepared, pause);
    }

    fn execute(&mut self, PendingCommand { command, reply_to }: PendingCommand, shutdown_requested: bool) {
        let reply: Reply = match (command, &self.membership) {
            (OperatorCommand::Simple(SimpleCommand::Members), Some(membership)) => {
                membership.describe_members().into()
            }
            (OperatorCommand::Simple(SimpleCommand::Fleet), Some(membership)) => {
                membership.describe_agreed_lists(None).into()
            }
            (OperatorCommand::AgreedList(kind), Some(membership)) => {
                membership.describe_agreed_lists(Some(kind)).into()
            }
            (OperatorCommand::ProposeAgreed(proposal), Some(membership)) => {
                // The membership service sends the reply once the outcome of the proposal is known.
                membership.propose(proposal, reply_to);
                return;
            }
            (command, _) => {
                let (queue, shutdown) = (&self.queue, &mut self.shutdown);
                let pause: &mut SlicePause<'_> =
                    &mut |dispatcher| yield_between_slices(dispatcher, queue, shutdown, shutdown_requested);
                self.changes.execute(&self.dispatcher, command, pause)
            }
        };
        // Sending fails if the client has stopped waiting.
        reply_to.try_send(reply).unwrap_or_default();
    }
}

/// Yields to the other coroutines between two slices of a change, and advances the core's time.
///
/// A shutdown request is not delayed by the change: the drain starts with the version that is still active, and the
/// remaining slices follow it.
pub fn yield_between_slices(
    dispatcher: &Dispatcher, queue: &RequestQueue, shutdown: &mut Shutdown, shutdown_requested: bool,
) {
    yield_to_others();
    if !shutdown.has_begun() && (shutdown_requested || queue.lock().shutdown) {
        shutdown.begin(dispatcher);
    }
    tick_core(dispatcher);
}

/// Advances the core's time if one of its timers is due.
fn tick_core(dispatcher: &Dispatcher) {
    dispatcher.with(|core, outbound, now| {
        if core.next_deadline().is_some_and(|at| at <= now) {
            core.tick(now, outbound);
        }
    });
}
