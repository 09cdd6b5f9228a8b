//! Messages from the agent: greetings, numbered notices about runs, gauge samples, refusals.

use super::state::{Core, EngineParts};
use crate::ids::Requester;
use crate::outbound::Outbound;
use asterrill::{RpcId, RunEnd, Us};
use asterrill_engine::Command;
use asterrill_protocol::agent::{self, NoticeId};
use asterrill_settings::ServerParts;

impl Core {
    /// Registers a new link to the agent and subscribes to the notices after the last one read.
    ///
    /// Returns the number of that notice.
    pub fn agent_connected(&mut self, now: Us, outbound: &mut dyn Outbound) -> NoticeId {
        self.now = self.engine.advance_to(now);
        let last_notice = self.state.agent.link_connected(self.now);
        outbound.open_agent_link(last_notice);
        last_notice
    }

    /// Handles the end of the link to the agent. Nothing is sent to the agent until the next one is connected.
    pub fn agent_disconnected(&mut self, outbound: &mut dyn Outbound) {
        self.state.agent.link_disconnected();
        outbound.close_agent_link();
    }

    /// Handles a greeting of the agent.
    ///
    /// At the first greeting, `rebuilt` is the decision module rebuilt for the time at which the agent started. The
    /// messages that were not sent or may have been lost with the previous link are handled once all notices missed in
    /// the meantime have been read.
    pub fn agent_greeted(&mut self, now: Us, rebuilt: Option<ServerParts>, outbound: &mut dyn Outbound) {
        self.now = self.engine.advance_to(now);
        self.state.stats.agent_greetings += 1;
        let unused = self.engine.stats.requests == 0 && self.state.stats.changes == 0;
        if let Some(server) = rebuilt.filter(|_| unused) {
            self.restart_engine(now, server, outbound);
        }
        if self.state.first_greeting_at.is_none() {
            self.state.first_greeting_at = Some(self.now);
            self.engine.enable_gauges();
            outbound.set_serving(self.state.healthy && !self.state.draining);
        }
        let tag = self.state.agent.greeted(self.now);
        outbound.request_sample(tag);
    }

    /// Replaces the decision module of the engine.
    ///
    /// All names keep their indices, because both servers were built from the same configuration version.
    fn restart_engine(&mut self, now: Us, server: ServerParts, outbound: &mut dyn Outbound) {
        let EngineParts { control, config } = EngineParts::new(server, self.result_bytes());
        self.with_engine(now, outbound, |engine, now, outputs| engine.restart(now, control, config, outputs));
        if let Some(fraction) = self.state.quota_fraction {
            self.with_engine(now, outbound, |engine, now, outputs| {
                engine.set_quota_fraction(now, fraction, outputs)
            });
        }
    }

    /// Reports whether the agent has ever sent a greeting.
    pub fn agent_has_greeted(&self) -> bool {
        self.state.first_greeting_at.is_some()
    }

    /// Handles a sample of the agent's gauges.
    pub fn sample_received(&mut self, now: Us, tag: u64, values: &[f64], outbound: &mut dyn Outbound) {
        self.now = self.engine.advance_to(now);
        self.state.agent.message_received();
        self.engine.gauges_sampled(now, agent::gauges(&self.state.names.gauges, values));
        if self.state.agent.sample_received(tag) {
            self.recover_unreceived_messages(outbound);
        }
    }

    /// Handles the messages that the agent may not have received on an earlier link: sends those that were not sent, and
    /// resends those that have no effect if they were received.
    fn recover_unreceived_messages(&mut self, outbound: &mut dyn Outbound) {
        let unreceived = self.state.agent.take_unreceived_messages(self.now);
        if !unreceived.unsent.is_empty() || !unreceived.uncertain.is_empty() {
            outbound.log(&format!(
                "agent link resynchronized: commands not sent {}, commands that may have been lost {}, stops resent {}",
                unreceived.unsent.len(),
                unreceived.uncertain.len(),
                unreceived.stops.len()
            ));
        }
        for id in unreceived.unsent {
            self.send_last_command(id, outbound);
        }
        for id in unreceived.uncertain {
            self.state.stats.commands_uncertain += 1;
            self.resend_if_repeatable(id, outbound);
        }
        for id in unreceived.stops {
            outbound.stop(id);
        }
        if self.state.exercise.is_running() {
            outbound.request_exercise(self.state.exercise.tag);
        }
    }

    /// Resends the last command about a run if that has no effect on a run that has already received it.
    fn resend_if_repeatable(&mut self, id: RpcId, outbound: &mut dyn Outbound) {
        let repeatable = match self.engine.last_command(id) {
            Some(Command::Launch { .. }) => self.engine.may_launch_again(id),
            // The command names the call, so that it does not affect a later one.
            Some(Command::Skip) => true,
            // A reply does not name its call: a run that has received it and goes on could take it for the next one.
            Some(Command::Resume { .. }) | None => false,
        };
        if repeatable {
            self.send_last_command(id, outbound);
        }
    }

    /// Sends the last command about a run on the current link.
    fn send_last_command(&mut self, id: RpcId, outbound: &mut dyn Outbound) {
        let Some(command) = self.engine.last_command(id) else { return };
        let notice = self.state.agent.command_sent(self.now, id);
        self.state.stats.commands_resent += 1;
        match command {
            Command::Launch { method, body } => {
                let name = self.state.names.name(method).map_or("", |name| name);
                outbound.launch(id, name, body);
            }
            Command::Resume { reply } => outbound.deliver_reply(id, reply),
            Command::Skip => outbound.skip_call(id, notice),
        }
    }

    /// Handles the commands that are still uncertain although a notice should have arrived by now.
    pub(super) fn recover_overdue_commands(&mut self, outbound: &mut dyn Outbound) {
        for id in self.state.agent.take_overdue_uncertain(self.now) {
            self.resend_if_repeatable(id, outbound);
            self.with_engine(self.now, outbound, |engine, now, outputs| {
                engine.reply_uncertain(now, id, outputs)
            });
        }
    }

    /// Registers a numbered notice and reports whether it is new. Every notice is registered before it is handled.
    fn is_new_notice(&mut self, number: NoticeId) -> bool {
        self.state.agent.message_received();
        let is_new = self.state.agent.is_new_notice(number);
        self.state.stats.stale_notices += u64::from(!is_new);
        is_new
    }

    /// Registers a notice that needs no handling.
    pub fn notice_ignored(&mut self, number: NoticeId) {
        self.is_new_notice(number);
    }

    /// Handles the end of a run.
    pub fn run_ended(
        &mut self, now: Us, number: NoticeId, id: RpcId, end: RunEnd, result: &[u8],
        outbound: &mut dyn Outbound,
    ) {
        if self.is_new_notice(number) {
            self.with_engine(now, outbound, |engine, now, outputs| {
                engine.run_ended(now, id, end, result, outputs)
            });
        }
    }

    /// Handles a run's request for an upstream call with this body.
    pub fn call_needed(
        &mut self, now: Us, number: NoticeId, id: RpcId, body: Option<&[u8]>, outbound: &mut dyn Outbound,
    ) {
        if self.is_new_notice(number) {
            self.state.agent.call_requested(id, number);
            self.with_engine(now, outbound, |engine, now, outputs| {
                engine.call_needed(now, id, body, outputs)
            });
        }
    }

    /// Handles the agent's refusal of a command. A run whose launch is refused has not started.
    pub fn command_refused(&mut self, now: Us, launch: Option<RpcId>, outbound: &mut dyn Outbound) {
        self.state.stats.commands_refused += 1;
        self.state.agent.message_received();
        let Some(id) = launch else { return };
        let requester =
            self.with_engine(now, outbound, |engine, now, outputs| engine.launch_failed(now, id, outputs));
        if let Some(Requester::Sidecar(stream)) = requester {
            self.count_unrunnable(stream.conn, outbound);
        }
    }

    /// Reconnects to the agent if nothing was received from it, or about one of its runs, for too long.
    pub(super) fn check_agent_silence(&mut self, outbound: &mut dyn Outbound) {
        if let Some(silence) = self.state.agent.check_silence(self.now) {
            self.state.stats.agent_silence_resets += 1;
            outbound.log(&format!("agent timed out; reconnecting: {silence}"));
            outbound.reset_agent_link();
        }
    }
}
