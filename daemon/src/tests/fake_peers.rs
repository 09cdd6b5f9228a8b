//! Fake sidecars, agent and upstream, which record and check the core's messages.

use crate::ids::{ConnectionId, SidecarStream};
use crate::outbound::Outbound;
use asterrill::{FinalAnswer, RpcId, RunEnd, Us};
use asterrill_engine::UpstreamLinkId;
use asterrill_protocol::agent::NoticeId;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Notice of the fake agent.
pub(super) enum Notice {
    Ended(RpcId, RunEnd, Vec<u8>),
    CallNeeded(RpcId, Vec<u8>),
}

/// Run of an RPC on the fake agent.
pub(super) struct Run {
    /// The upstream call for which it waits: the number of its notice, and its body.
    pub(super) pending_call: Option<(u64, Vec<u8>)>,
    pub(super) ended: bool,
    pub(super) stopped: bool,
    /// The number of the link on which it was launched.
    pub(super) launch_link: u32,
    /// The number of the link on which its last reply arrived.
    pub(super) reply_link: Option<u32>,
}

/// Fake peers of the core. They carry out every command, and record unexpected ones as violations.
#[derive(Default)]
pub(super) struct FakePeers {
    pub(super) answers: BTreeMap<SidecarStream, (&'static str, Vec<u8>)>,
    pub(super) health: Vec<(SidecarStream, bool)>,
    pub(super) runs: BTreeMap<RpcId, Run>,
    pub(super) bodies: BTreeMap<RpcId, Vec<u8>>,
    /// The RPC of each stream.
    pub(super) streams: BTreeMap<SidecarStream, RpcId>,
    /// The RPCs that are answered or cancelled, for which the agent starts no run.
    pub(super) over: BTreeSet<RpcId>,
    /// The number of links to the agent so far.
    pub(super) agent_links: u32,
    pub(super) calls: BTreeMap<RpcId, UpstreamLinkId>,
    /// Whether calls can't be sent to the upstream.
    pub(super) fails_to_send_calls: bool,
    /// Whether messages to the agent are lost.
    pub(super) agent_unreachable: bool,
    /// Whether the core may resend launches and skips that the agent has already received.
    pub(super) allows_resends: bool,
    pub(super) samples: VecDeque<u64>,
    pub(super) exercises: VecDeque<u64>,
    pub(super) notices: Vec<Notice>,
    pub(super) serving: Vec<bool>,
    pub(super) closed_links: Vec<UpstreamLinkId>,
    pub(super) closed_connections: Vec<ConnectionId>,
    pub(super) drain_announced: bool,
    pub(super) agent_resets: u32,
    pub(super) violations: Vec<String>,
    /// The credit published with the last answer.
    pub(super) credit: Option<f64>,
}

impl FakePeers {
    /// Records a violation in the messages about an RPC.
    pub(super) fn record_violation(&mut self, message: &str, id: RpcId) {
        self.violations.push(format!("{message}: {id:?}"));
    }
    /// Queues a notice of the agent.
    pub(super) fn push_notice(&mut self, notice: Notice) {
        self.notices.push(notice);
    }
    /// Returns the reply to the call with this body.
    pub(super) fn reply(body: &[u8]) -> Vec<u8> {
        [b"re:\r\n", body].concat()
    }
    /// Returns the result of the run of this RPC.
    pub(super) fn result(id: RpcId) -> Vec<u8> {
        format!("{}\r\n\0made", id.as_str()).into_bytes()
    }
}

impl Outbound for FakePeers {
    fn answer(&mut self, to: SidecarStream, answer: FinalAnswer<'_>, credit: Option<f64>) {
        self.credit = credit;
        let (outcome, body) = match answer {
            FinalAnswer::Ok(result) => ("ok", result.to_vec()),
            FinalAnswer::Rejected { .. } => ("rejected", vec![]),
            FinalAnswer::Aborted => ("aborted", vec![]),
        };
        if self.answers.insert(to, (outcome, body)).is_some() {
            self.violations.push(format!("answered twice: {to:?}"));
        }
        self.over.extend(self.streams.get(&to));
    }
    fn answer_health_check(&mut self, to: SidecarStream, healthy: bool, _: Option<f64>) {
        self.health.push((to, healthy));
    }
    fn open_agent_link(&mut self, _: NoticeId) {
        self.agent_links += 1;
    }
    fn close_agent_link(&mut self) {
        self.agent_unreachable = true;
    }
    fn launch(&mut self, id: RpcId, method: &str, body: &[u8]) {
        if self.agent_unreachable {
            return;
        }
        if self.bodies.get(&id).is_none_or(|b| b != body) || !["look", "book", "pay"].contains(&method) {
            self.record_violation("launched with a wrong body or method", id);
        }
        let run = self.runs.get(&id);
        let launched_before = |run: &Run| run.ended && run.launch_link < self.agent_links;
        if self.over.contains(&id) && run.is_none_or(launched_before) {
            return self.push_notice(Notice::Ended(id, RunEnd::NotStarted, vec![]));
        }
        match run {
            // An idempotent run that ended before the resent launch arrived is run again.
            Some(run) if run.ended && self.allows_resends && method == "look" => {
                self.push_notice(Notice::Ended(id, RunEnd::Stopped, vec![]));
            }
            Some(run) if run.ended || !self.allows_resends => self.record_violation("launched twice", id),
            Some(_) => {}
            None => {
                let run = Run {
                    pending_call: None,
                    ended: false,
                    stopped: false,
                    launch_link: self.agent_links,
                    reply_link: None,
                };
                self.runs.insert(id, run);
            }
        }
    }
    fn stop(&mut self, id: RpcId) {
        let Some(run) = self.runs.get_mut(&id).filter(|_| !self.agent_unreachable) else { return };
        run.stopped = true;
        if run.pending_call.take().is_some() {
            run.ended = true;
            self.push_notice(Notice::Ended(id, RunEnd::Stopped, vec![]));
        }
    }
    fn deliver_reply(&mut self, id: RpcId, reply: &[u8]) {
        if self.agent_unreachable {
            return;
        }
        let link = self.agent_links;
        let Some(run) = self.runs.get_mut(&id) else {
            return self.record_violation("delivered to no run", id);
        };
        run.reply_link = Some(link);
        match run.pending_call.take() {
            Some((_, body)) if FakePeers::reply(&body) == reply => {}
            None if run.ended => {}
            _ => self.record_violation("delivered an unexpected reply", id),
        }
    }
    fn skip_call(&mut self, id: RpcId, notice: NoticeId) {
        if self.agent_unreachable {
            return;
        }
        let Some(run) = self.runs.get_mut(&id) else {
            return self.record_violation("skipped for no run", id);
        };
        if run.pending_call.take_if(|(number, _)| *number == notice.0).is_some() {
            return;
        }
        // A skip of an earlier call of the run has no effect. It is expected only after a link was lost.
        let reply_uncertain = run.reply_link.is_some_and(|link| link < self.agent_links);
        let number = (notice.0 as usize).checked_sub(1);
        let named = number.and_then(|index| self.notices.get(index));
        let is_earlier_call = matches!(named, Some(Notice::CallNeeded(of, _)) if *of == id);
        if !is_earlier_call || !self.allows_resends && !reply_uncertain {
            self.record_violation("skipped a call that was not requested", id);
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
        if !self.fails_to_send_calls && self.calls.insert(id, link).is_some() {
            self.record_violation("called twice", id);
        }
        !self.fails_to_send_calls
    }
    fn cancel_call(&mut self, link: UpstreamLinkId, id: RpcId) {
        if self.calls.remove(&id) != Some(link) {
            self.record_violation("cancelled a call that was not sent", id);
        }
    }
    fn close_upstream_link(&mut self, link: UpstreamLinkId) -> bool {
        let has_calls = self.calls.values().any(|call_link| *call_link == link);
        if has_calls {
            self.violations.push(format!("closed a link with a call in flight: {link:?}"));
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
    fn set_serving(&mut self, serving: bool) {
        self.serving.push(serving);
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
