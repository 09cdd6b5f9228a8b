//! Messages of the agent: greetings, numbered notices about runs, samples of its gauges, refusals.

use super::state::{Core, EngineParts};
use crate::ids::Requester;
use crate::outbound::Outbound;
use asterrill::{RpcId, RunEnd, Us};
use asterrill_engine::Command;
use asterrill_protocol::agent::{self, NoticeId};
use asterrill_settings::ServerParts;

impl Core {
    /// A new link to the agent is connected. Returns the number of the last notice read.
    pub fn agent_connected(&mut self, now: Us) -> NoticeId {
        self.now = self.engine.advance_to(now);
        self.state.agent.link_connected(self.now)
    }

    /// The agent has greeted. `fresh` is the decision module rebuilt for the moment that the agent started, if this
    /// is its first greeting. Once all notices are read that were missed without a link, what may have been lost with
    /// the link before is sent again.
    pub fn agent_up(&mut self, now: Us, fresh: Option<ServerParts>, outbound: &mut dyn Outbound) {
        self.now = self.engine.advance_to(now);
        self.state.stats.agent_greetings += 1;
        let unused = self.engine.stats.requests == 0 && self.state.stats.changes == 0;
        if let Some(server) = fresh.filter(|_| unused) {
            self.restart_engine(now, server, outbound);
        }
        if self.state.agent_up_since.is_none() {
            self.state.agent_up_since = Some(self.now);
            self.engine.enable_gauges();
            outbound.set_serving(self.state.healthy && !self.state.draining);
        }
        let tag = self.state.agent.greeted(self.now);
        outbound.request_sample(tag);
    }

    /// Its names have the indices that they have already: both servers were made of the same version.
    fn restart_engine(&mut self, now: Us, server: ServerParts, outbound: &mut dyn Outbound) {
        let EngineParts { control, config } = EngineParts::new(server, self.result_bytes());
        self.with_engine(now, outbound, |engine, now, outputs| engine.restart(now, control, config, outputs));
        if let Some(fraction) = self.state.quota_fraction {
            self.with_engine(now, outbound, |engine, now, outputs| {
                engine.set_quota_fraction(now, fraction, outputs)
            });
        }
    }

    /// Whether the agent has ever greeted.
    pub fn agent_has_greeted(&self) -> bool {
        self.state.agent_up_since.is_some()
    }

    /// The agent has sent a sample of its gauges.
    pub fn sample_received(&mut self, now: Us, tag: u64, values: &[f64], outbound: &mut dyn Outbound) {
        self.now = self.engine.advance_to(now);
        self.state.agent.message_received();
        self.engine.gauges_sampled(now, agent::gauges(&self.state.names.gauges, values));
        if self.state.agent.sample_received(tag) {
            self.resend_lost_messages(outbound);
        }
    }

    /// Sends again what may have been lost with an earlier link; it changes nothing where it had arrived.
    fn resend_lost_messages(&mut self, outbound: &mut dyn Outbound) {
        let lost = self.state.agent.take_lost_messages(self.now);
        for id in lost.commands {
            match self.engine.last_command(id) {
                Some(Command::Launch { method, body }) => {
                    let name = self.state.names.name(method).map_or("", |name| name);
                    outbound.launch(id, name, body);
                }
                Some(Command::Resume { reply }) => outbound.deliver_reply(id, reply),
                Some(Command::Skip) => {
                    let notice = self.state.agent.command_sent(self.now, id);
                    outbound.skip_call(id, notice);
                }
                None => {}
            }
        }
        for id in lost.stops {
            outbound.stop(id);
        }
        if self.state.exercise.is_running() {
            outbound.request_exercise(self.state.exercise.tag);
        }
    }

    /// Registers a numbered notice; every one comes by here first. False if it was read before.
    fn is_new_notice(&mut self, number: NoticeId) -> bool {
        self.state.agent.message_received();
        let is_new = self.state.agent.is_new_notice(number);
        self.state.stats.stale_notices += u64::from(!is_new);
        is_new
    }

    /// A notice came that nothing here depends on.
    pub fn notice_ignored(&mut self, number: NoticeId) {
        self.is_new_notice(number);
    }

    /// A run has ended.
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

    /// A run waits for an upstream call with this body.
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

    /// The agent refused a command. A launch that it refuses has not started.
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

    /// Reconnects to the agent if it, or one of its runs, has been silent for too long.
    pub(super) fn check_agent_silence(&mut self, outbound: &mut dyn Outbound) {
        if let Some(silence) = self.state.agent.check_silence(self.now) {
            self.state.stats.agent_silence_resets += 1;
            outbound.log(&format!("reconnecting to the agent: {silence}"));
            outbound.reset_agent_link();
        }
    }
}
