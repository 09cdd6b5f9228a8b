//! Encoding of the core's messages into the outboxes.

use super::outboxes::Outboxes;
use crate::ids::{ConnectionId, SidecarStream};
use crate::outbound::Outbound;
use crate::sidecar_registry::SidecarFault;
use asterrill::{FinalAnswer, RpcId, Us};
use asterrill_engine::UpstreamLinkId;
use asterrill_net::Outbox;
use asterrill_protocol::agent::{self, NoticeId};
use asterrill_protocol::sidecar::{self, MAX_ANSWER_OVERHEAD_BYTES};
use asterrill_protocol::{upstream, MAX_BODY_BYTES};
use slog::info;

impl Outbound for Outboxes {
    fn answer(&mut self, to: SidecarStream, answer: FinalAnswer<'_>, credit: Option<f64>) {
        self.scratch.reserve(MAX_ANSWER_OVERHEAD_BYTES + MAX_BODY_BYTES);
        self.send_to_sidecar(to, |bytes| sidecar::answer(bytes, to.stream, answer, credit));
    }
    fn answer_health_check(&mut self, to: SidecarStream, healthy: bool, credit: Option<f64>) {
        self.send_to_sidecar(to, |bytes| sidecar::health(bytes, to.stream, healthy, credit));
    }

    fn open_agent_link(&mut self, last: NoticeId) {
        self.agent_connected = true;
        self.send_to_agent(|bytes| agent::subscribe(bytes, last));
    }
    fn close_agent_link(&mut self) {
        self.agent_connected = false;
    }
    fn launch(&mut self, id: RpcId, method: &str, body: &[u8]) {
        self.send_body_to_agent(|bytes| agent::launch(bytes, id, method, body.len()), body);
    }
    fn stop(&mut self, id: RpcId) {
        self.send_to_agent(|bytes| agent::stop(bytes, id));
    }
    fn deliver_reply(&mut self, id: RpcId, reply: &[u8]) {
        self.send_body_to_agent(|bytes| agent::deliver(bytes, id, reply.len()), reply);
    }
    fn skip_call(&mut self, id: RpcId, notice: NoticeId) {
        self.send_to_agent(|bytes| agent::skip(bytes, id, notice));
    }
    fn request_sample(&mut self, tag: u64) {
        self.send_to_agent(|bytes| agent::sample(bytes, tag));
    }
    fn request_exercise(&mut self, tag: u64) {
        self.send_to_agent(|bytes| agent::exercise(bytes, tag));
    }
    fn reset_agent_link(&mut self) {
        self.agent.close_now();
    }

    fn send_call(&mut self, link: UpstreamLinkId, id: RpcId, timeout: Us, body: &[u8]) -> bool {
        self.scratch.clear();
        upstream::call(&mut self.scratch, id, timeout, body.len());
        self.upstream.get(link.0).is_some_and(|link| link.out.put(&[&self.scratch, body, b"\r\n"]))
    }
    fn cancel_call(&mut self, link: UpstreamLinkId, id: RpcId) {
        self.scratch.clear();
        upstream::cancel(&mut self.scratch, id);
        if let Some(link) = self.upstream.get(link.0) {
            link.out.put(&[&self.scratch]);
        }
    }
    fn close_upstream_link(&mut self, link: UpstreamLinkId) -> bool {
        self.upstream.get(link.0).is_some_and(|link| link.out.finish_if_connected())
    }

    fn close_unserviceable(&mut self, conn: ConnectionId) {
        self.close_with_error(conn, SidecarFault::NothingRunnable.reason());
    }
    fn announce_drain(&mut self) {
        self.draining = true;
        self.listener.close();
        self.send_goaway_to_all();
    }
    fn set_idle_timeout(&mut self, timeout: Us) {
        // During a drain the sidecars close their connections themselves, so that no RPC in transit is lost.
        self.idle_timeout = if timeout > 0 { timeout } else { Us::MAX };
    }

    fn set_serving(&mut self, serving: bool) {
        self.serving = Some(serving);
    }

    fn send_to_broker(&mut self, bytes: &[u8]) -> bool {
        self.broker.as_ref().is_some_and(|out| out.put(&[bytes]))
    }
    fn close_broker(&mut self, at_once: bool) {
        match &self.broker {
            Some(out) if at_once => out.close_now(),
            Some(out) => drop(Outbox::finish_if_connected(out)),
            None => {}
        }
    }

    fn log(&mut self, line: &str) {
        info!(self.log, "{}", line; "version" => self.version);
    }
}
