//! Outputs of the engine: sends its messages to sidecars, agent and upstream, and records them.

use super::state::CoreState;
use crate::ids::Requester;
use crate::outbound::Outbound;
use asterrill::{FinalAnswer, MethodId, RpcId, Us};
use asterrill_engine::{AnsweredRpc, Outputs, UpstreamConnectionId, UpstreamLinkId};

/// Receiver of the engine's outputs during one input.
pub(super) struct EngineOutputs<'a> {
    /// The time of the input.
    pub(super) now: Us,
    /// The state in which the outputs are recorded.
    pub(super) state: &'a mut CoreState,
    /// The destination of messages.
    pub(super) outbound: &'a mut dyn Outbound,
}

impl Outputs<Requester> for EngineOutputs<'_> {
    fn answer(
        &mut self, to: Requester, answer: FinalAnswer<'_>, credit: Option<f64>, served: Option<AnsweredRpc>,
    ) {
        self.state.stats.half_applied += u64::from(self.state.versions.differ());
        if let Some(served) = served {
            self.state.service.record_answered(served, matches!(answer, FinalAnswer::Ok(_)));
        }
        match to {
            Requester::Sidecar(stream) => self.outbound.answer(stream, answer, credit),
            Requester::Queue(delivery) => {
                if let Some(queues) = &mut self.state.queues {
                    queues.answered(self.now, delivery, answer);
                }
            }
        }
    }

    fn closed(&mut self, id: RpcId) {
        self.state.agent.run_closed(id);
    }

    fn launch(&mut self, requester: Requester, id: RpcId, method: MethodId, body: &[u8]) {
        if let (Requester::Queue(delivery), Some(queues)) = (requester, &mut self.state.queues) {
            queues.launched(delivery);
        }
        self.state.agent.command_sent(self.now, id);
        let name = self.state.names.name(method).map_or("", |name| name);
        self.outbound.launch(id, name, body);
    }

    fn stop(&mut self, id: RpcId) {
        self.state.agent.stop_sent(self.now, id);
        self.outbound.stop(id);
    }

    fn resume(&mut self, id: RpcId, reply: &[u8]) {
        self.state.agent.command_sent(self.now, id);
        self.outbound.deliver_reply(id, reply);
    }

    fn skip(&mut self, id: RpcId) {
        let notice = self.state.agent.command_sent(self.now, id);
        self.outbound.skip_call(id, notice);
    }

    fn run_completed(&mut self, requester: Requester) {
        match requester {
            Requester::Sidecar(stream) => self.state.sidecars.run_completed(stream.conn),
            Requester::Queue(_) => {}
        }
    }

    fn request_gauges(&mut self) {
        let tag = self.state.agent.next_tag(self.now);
        self.outbound.request_sample(tag);
    }

    fn send_call(
        &mut self, used: &mut Vec<UpstreamConnectionId>, id: RpcId, timeout: Us, body: &[u8],
    ) -> Option<UpstreamLinkId> {
        let links = &mut self.state.upstream_links;
        links.remove_ended(used);
        let Some(selected) = links.select(used) else {
            links.renew_used(used, self.outbound);
            return None;
        };
        if !self.outbound.send_call(selected.link, id, timeout, body) {
            return None;
        }
        links.call_placed(selected.link);
        used.push(selected);
        links.renew_used(used, self.outbound);
        Some(selected.link)
    }

    fn cancel_call(&mut self, link: UpstreamLinkId, id: RpcId) {
        self.outbound.cancel_call(link, id);
    }

    fn call_finished(&mut self, link: UpstreamLinkId, late: bool) {
        self.state.upstream_links.call_finished(link, late, self.outbound);
    }

    fn set_health(&mut self, healthy: bool) {
        self.state.healthy = healthy;
        if self.state.first_greeting_at.is_some() {
            self.outbound.set_serving(healthy && !self.state.draining);
        }
    }

    fn close_idle(&mut self, timeout: Us) {
        self.outbound.set_idle_timeout(timeout);
        if timeout == 0 {
            self.outbound.announce_drain();
        }
    }

    fn log(&mut self, line: &str) {
        self.outbound.log(line);
    }
}
