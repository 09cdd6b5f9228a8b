//! What the core sends, played by a stand-in that takes every command at its word.

use crate::ids::{ConnectionId, SidecarStream};
use crate::outbound::Outbound;
use asterrill::{FinalAnswer, RpcId, RunEnd, Us};
use asterrill_engine::UpstreamLinkId;
use asterrill_protocol::agent::NoticeId;
use std::collections::{BTreeMap, VecDeque};

pub(super) enum Notice {
    Ended(RpcId, RunEnd, Vec<u8>),
    CallNeeded(RpcId, Vec<u8>),
}

pub(super) struct Run {
    pub(super) pending_call: Option<(u64, Vec<u8>)>,
    pub(super) ended: bool,
    pub(super) stopped: bool,
}

/// What has been written, played by a stand-in that takes every command at its word.
#[derive(Default)]
pub(super) struct FakePeers {
    pub(super) answers: BTreeMap<SidecarStream, (&'static str, Vec<u8>)>,
    pub(super) health: Vec<(SidecarStream, bool)>,
    pub(super) runs: BTreeMap<RpcId, Run>,
    pub(super) bodies: BTreeMap<RpcId, Vec<u8>>,
    pub(super) calls: BTreeMap<RpcId, UpstreamLinkId>,
    pub(super) refuses_calls: bool,
    pub(super) agent_unreachable: bool, // commands to the agent are lost
    pub(super) allows_repeats: bool,    // what the agent knows already may be said again
    pub(super) samples: VecDeque<u64>,
    pub(super) exercises: VecDeque<u64>,
    pub(super) notices: Vec<Notice>,
    pub(super) serving: Vec<bool>,
    pub(super) closed_links: Vec<UpstreamLinkId>,
    pub(super) closed_connections: Vec<ConnectionId>,
    pub(super) drain_announced: bool,
    pub(super) agent_resets: u32,
    pub(super) violations: Vec<String>,
    pub(super) credit: Option<f64>, // as it went with the last answer or check
}

impl FakePeers {
    pub(super) fn violation(&mut self, what: &str, id: RpcId) {
        self.violations.push(format!("{what} {id:?}"));
    }
    pub(super) fn notify(&mut self, notice: Notice) {
        self.notices.push(notice);
    }
    /// The reply to the call with this body, and the result of the run of this RPC.
    pub(super) fn reply(body: &[u8]) -> Vec<u8> {
        [b"re:\r\n", body].concat()
    }
    pub(super) fn result(id: RpcId) -> Vec<u8> {
        format!("{}\r\n\0made", id.as_str()).into_bytes()
    }
}

impl Outbound for FakePeers {
    fn answer(&mut self, to: SidecarStream, answer: FinalAnswer<'_>, credit: Option<f64>) {
        self.credit = credit;
        let (what, body) = match answer {
            FinalAnswer::Ok(result) => ("ok", result.to_vec()),
            FinalAnswer::Rejected { .. } => ("rejected", vec![]),
            FinalAnswer::Aborted => ("aborted", vec![]),
        };
        if self.answers.insert(to, (what, body)).is_some() {
            self.violations.push(format!("answered twice {to:?}"));
        }
    }
    fn answer_health_check(&mut self, to: SidecarStream, good: bool, _: Option<f64>) {
        self.health.push((to, good));
    }
    fn launch(&mut self, id: RpcId, method: &str, body: &[u8]) {
        if self.agent_unreachable {
            return;
        }
        if self.bodies.get(&id).is_none_or(|b| b != body) || (method != "look" && method != "book") {
            self.violation("launched with another body or method", id);
        }
        match self.runs.get(&id) {
            Some(run) if run.ended || !self.allows_repeats => self.violation("launched twice", id),
            Some(_) => {}
            None => drop(self.runs.insert(id, Run { pending_call: None, ended: false, stopped: false })),
        }
    }
    fn stop(&mut self, id: RpcId) {
        if let Some(run) = self.runs.get_mut(&id).filter(|_| !self.agent_unreachable) {
            run.stopped = true;
        }
    }
    fn deliver_reply(&mut self, id: RpcId, reply: &[u8]) {
        if self.agent_unreachable {
            return;
        }
        match self.runs.get_mut(&id).and_then(|run| run.pending_call.take()) {
            Some((_, body)) if FakePeers::reply(&body) == reply => {}
            None if self.allows_repeats => {}
            _ => self.violation("delivered what was not waited for", id),
        }
    }
    fn skip_call(&mut self, id: RpcId, asked: NoticeId) {
        if self.agent_unreachable {
            return;
        }
        match self.runs.get_mut(&id).and_then(|run| run.pending_call.take()) {
            Some((number, _)) if number == asked.0 => {}
            None if self.allows_repeats => {}
            _ => self.violation("skipped what was not waited for", id),
        }
    }
    fn request_sample(&mut self, tag: u64) {
        if !self.agent_unreachable {
            self.samples.push_back(tag);
        }
    }
    fn request_exercise(&mut self, tag: u64) {
        if !self.agent_unreachable {
            self.exercises.push_back(tag);
        }
    }
    fn send_call(&mut self, link: UpstreamLinkId, id: RpcId, _: Us, _: &[u8]) -> bool {
        if !self.refuses_calls && self.calls.insert(id, link).is_some() {
            self.violation("called twice", id);
        }
        !self.refuses_calls
    }
    fn cancel_call(&mut self, link: UpstreamLinkId, id: RpcId) {
        if self.calls.remove(&id) != Some(link) {
            self.violation("gave up what was not called", id);
        }
    }
    fn close_upstream_link(&mut self, link: UpstreamLinkId) -> bool {
        let busy = self.calls.values().any(|on| *on == link);
        if busy {
            self.violations.push(format!("closed {link:?} with a call on it"));
        }
        self.closed_links.push(link);
        true
    }
    fn close_unserviceable(&mut self, conn: ConnectionId) {
        self.closed_connections.push(conn);
    }
    fn reset_agent_link(&mut self) {
        self.agent_resets += 1;
    }
    fn set_serving(&mut self, yes: bool) {
        self.serving.push(yes);
    }
    fn announce_drain(&mut self) {
        self.drain_announced = true;
    }
    fn set_idle_timeout(&mut self, _: Us) {}
    fn log(&mut self, _: &str) {}
    fn send_to_broker(&mut self, _: &[u8]) -> bool {
        true
    }
    fn close_broker(&mut self, _: bool) {}
}
