//! Test harness with the core and its fake peers, in virtual time.

use super::fake_peers::{FakePeers, Notice, Run};
use super::settings::{configuration, sample_settings, server_parts, version_switch};
use super::{DEADLINE, MAX_ANSWER_DELAY, MS, START};
use crate::core::Core;
use crate::ids::{ConnectionId, SidecarStream};
use asterrill::{CallEnd, CallerId, RpcId, RunEnd, Us};
use asterrill_engine::UpstreamLinkId;
use asterrill_entries::{Change, Configuration};
use asterrill_net::BufferPool;
use asterrill_protocol::agent::NoticeId;
use asterrill_protocol::sidecar::{RpcRequest, StreamId};
use serde_json::{json, Value};
use std::collections::{BTreeMap, VecDeque};

/// Core with fake peers and the requests sent to it.
pub(super) struct CoreHarness {
    pub(super) core: Core,
    pub(super) peers: FakePeers,
    pub(super) now: Us,
    /// The requests that the core accepted, and whether each was cancelled before its answer.
    pub(super) rpcs: BTreeMap<SidecarStream, (RpcRequest, bool)>,
    /// The number of notices delivered to the core.
    pub(super) notices_read: usize,
    pub(super) next_id: u64,
    pub(super) killed_at: Option<Us>,
    pub(super) version: u64,
    pub(super) entries: Configuration,
    /// The version that is being staged, and its changes that are not staged yet.
    pub(super) staging: Option<(Configuration, VecDeque<Change>)>,
}

impl CoreHarness {
    pub(super) fn new(seed: u64) -> CoreHarness {
        CoreHarness::with_settings(seed, &sample_settings())
    }
    pub(super) fn with_settings(seed: u64, settings: &Value) -> CoreHarness {
        let mut core = Core::new(START, server_parts(START, seed, settings, None), BufferPool::new(500), 4);
        let mut peers = FakePeers::default();
        core.start(START, &mut peers);
        core.agent_connected(START, &mut peers);
        core.agent_greeted(START, None, &mut peers);
        CoreHarness::with_core(core, peers, START, settings)
    }
    pub(super) fn with_core(core: Core, peers: FakePeers, now: Us, settings: &Value) -> CoreHarness {
        let entries = configuration(settings);
        CoreHarness {
            core,
            peers,
            now,
            rpcs: BTreeMap::new(),
            notices_read: 0,
            next_id: 0,
            killed_at: None,
            version: 1,
            entries,
            staging: None,
        }
    }

    /// Sends an RPC. Attempts of the same read have the same key and body.
    pub(super) fn send_rpc(
        &mut self, conn: u64, method: &str, timeout: Us, key: Option<u64>,
    ) -> SidecarStream {
        let subject = key.map_or_else(|| format!("own {}", self.next_id), |key| format!("of {key}"));
        self.send_rpc_with_body(conn, method, timeout, key, format!("body\r\n{subject}").into_bytes())
    }
    pub(super) fn send_rpc_with_body(
        &mut self, conn: u64, method: &str, timeout: Us, key: Option<u64>, body: Vec<u8>,
    ) -> SidecarStream {
        self.send_rpc_as(conn, CallerId(conn), method, timeout, key, body)
    }
    /// Sends an RPC on a connection that states to be this caller.
    pub(super) fn send_rpc_as(
        &mut self, conn: u64, caller: CallerId, method: &str, timeout: Us, key: Option<u64>, body: Vec<u8>,
    ) -> SidecarStream {
        self.next_id += 1;
        let id = RpcId::new(&format!("{:016x}", self.next_id)).unwrap();
        let stream = SidecarStream { conn: ConnectionId(conn), stream: StreamId(self.next_id as u32) };
        let deadline = Some(self.now + timeout);
        let (method, tenant) = (method.to_string(), "acme".to_string());
        let request = RpcRequest {
            id,
            method,
            tenant,
            caller,
            arrived_at: self.now - 3 * MS,
            deadline,
            size_kb: 20.0,
            key,
        };
        self.peers.bodies.insert(id, body.clone());
        self.peers.streams.insert(stream, id);
        if self.core.rpc_received(self.now, stream, request.clone(), &body, &mut self.peers).is_ok() {
            self.rpcs.insert(stream, (request, false));
        }
        stream
    }

    /// Ends a run on the agent, or lets it wait for a call. The notice is delivered by
    /// [`CoreHarness::deliver_notices`].
    pub(super) fn advance_run(&mut self, n: usize, call: bool) {
        let is_active = |run: &&mut Run| !run.ended && run.pending_call.is_none();
        let count = self.peers.runs.values_mut().filter(|run| is_active(run)).count().max(1);
        let Some((id, run)) = self.peers.runs.iter_mut().filter(|(_, run)| is_active(run)).nth(n % count)
        else {
            return;
        };
        let id = *id;
        let notice = if call && !run.stopped {
            let body = format!("call {n}").into_bytes();
            run.pending_call = Some((self.peers.notices.len() as u64 + 1, body.clone()));
            Notice::CallNeeded(id, body)
        } else {
            run.ended = true;
            let end = match (run.stopped, n % 5) {
                (true, _) => RunEnd::Stopped,
                (_, 0) => RunEnd::Aborted,
                _ => RunEnd::Ok,
            };
            Notice::Ended(id, end, if end == RunEnd::Ok { FakePeers::result(id) } else { vec![] })
        };
        self.peers.push_notice(notice);
    }

    /// Ends the runs that wait for a call although their RPC is answered or cancelled.
    pub(super) fn end_abandoned_runs(&mut self) {
        let answered = |id: &RpcId| {
            self.rpcs.iter().any(|(stream, (request, cancelled))| {
                request.id == *id && (*cancelled || self.peers.answers.contains_key(stream))
            })
        };
        let abandoned: Vec<RpcId> = self
            .peers
            .runs
            .iter()
            .filter(|(id, r)| r.pending_call.is_some() && answered(id))
            .map(|(id, _)| *id)
            .collect();
        for id in abandoned {
            if let Some(run) = self.peers.runs.get_mut(&id) {
                (run.ended, run.pending_call) = (true, None);
            }
            self.peers.push_notice(Notice::Ended(id, RunEnd::Stopped, vec![]));
        }
    }

    /// Delivers up to `limit` pending notices to the core.
    pub(super) fn deliver_notices(&mut self, limit: usize) {
        for _ in 0..limit {
            if self.peers.agent_unreachable || self.notices_read >= self.peers.notices.len() {
                return;
            }
            let number = NoticeId(self.notices_read as u64 + 1);
            self.notices_read += 1;
            let notice = std::mem::replace(
                &mut self.peers.notices[self.notices_read - 1],
                Notice::CallNeeded(empty_id(), vec![]),
            );
            match &notice {
                Notice::Ended(id, end, result) => {
                    self.core.run_ended(self.now, number, *id, *end, result, &mut self.peers)
                }
                Notice::CallNeeded(id, body) => {
                    self.core.call_needed(self.now, number, *id, Some(body), &mut self.peers)
                }
            }
            self.peers.notices[number.0 as usize - 1] = notice;
        }
    }

    /// Ends the upstream call at index `n`, modulo the number of calls in flight.
    pub(super) fn end_call(&mut self, n: usize, end: CallEnd) {
        let count = self.peers.calls.len().max(1);
        let Some((id, link)) = self.peers.calls.iter().nth(n % count).map(|(id, link)| (*id, *link)) else {
            return;
        };
        self.peers.calls.remove(&id);
        let body =
            self.peers.runs.get(&id).and_then(|r| r.pending_call.clone()).map_or(vec![], |(_, body)| body);
        let reply = if end == CallEnd::Ok { FakePeers::reply(&body) } else { vec![] };
        self.core.call_ended(self.now, link, id, end, &reply, &mut self.peers);
    }

    /// Reconnects the agent, which then resends the unread notices.
    pub(super) fn reconnect_agent(&mut self) {
        self.reconnect_agent_while(|_| ());
    }

    /// Reconnects the agent. `meanwhile` happens at the agent after it has answered the sample that follows the unread
    /// notices, and before any resent command arrives.
    pub(super) fn reconnect_agent_while(&mut self, meanwhile: impl FnOnce(&mut CoreHarness)) {
        self.peers.agent_unreachable = false;
        self.peers.samples.clear();
        let last = self.core.agent_connected(self.now, &mut self.peers);
        self.notices_read = last.0 as usize;
        self.core.agent_greeted(self.now, None, &mut self.peers);
        self.deliver_notices(usize::MAX);
        meanwhile(self);
        self.peers.allows_resends = true;
        self.deliver_samples();
        self.peers.allows_resends = false;
    }

    /// Breaks the link to the agent, which the core notices.
    pub(super) fn disconnect_agent(&mut self) {
        self.core.agent_disconnected(&mut self.peers);
    }

    /// Delivers all requested samples to the core.
    pub(super) fn deliver_samples(&mut self) {
        while let Some(tag) = self.peers.samples.pop_front() {
            self.core.sample_received(self.now, tag, &[1.0, 1.0], &mut self.peers);
        }
    }

    /// Advances the virtual time and processes the timers that become due.
    pub(super) fn advance(&mut self, duration: Us) {
        let until = self.now + duration;
        while let Some(at) = self.core.next_deadline().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            self.core.tick(self.now, &mut self.peers);
            self.deliver_samples();
        }
        self.now = until;
    }

    /// Cancels an RPC.
    pub(super) fn cancel(&mut self, stream: SidecarStream) {
        if let Some((_, cancelled)) = self.rpcs.get_mut(&stream) {
            *cancelled |= !self.peers.answers.contains_key(&stream);
        }
        self.peers.over.extend(self.peers.streams.get(&stream));
        self.core.rpc_cancelled(self.now, stream, &mut self.peers);
    }

    /// Switches to another version, with methods in another order or one fewer, and with other memory and cores. A
    /// version that is being staged is activated first.
    pub(super) fn switch_version(&mut self, n: usize) {
        self.begin_staging(n);
        self.continue_staging(usize::MAX);
    }

    /// Begins to stage another version, after activating the one that is being staged.
    pub(super) fn begin_staging(&mut self, n: usize) {
        self.continue_staging(usize::MAX);
        let mut settings = sample_settings();
        let methods = settings["Categories"].as_array_mut().unwrap();
        match n % 4 {
            0 => {}
            1 => methods.reverse(),
            2 => drop(methods.pop()),
            _ => methods.insert(
                0,
                json!({"Name": "more", "AimMs": 100, "DeadlineMs": 200, "Effect": "free", "Worth": 9}),
            ),
        }
        settings["FamilyInfo"]["NCores"] = json!(1 + n % 3);
        settings["FamilyInfo"]["RamKb"] = json!(2_000 + 500 * (n % 5));
        settings["FamilyInfo"]["RunFactor"] = json!(2 + n % 4);
        settings["FamilyInfo"]["ClassSkipWorth"] = json!([]);
        if n % 5 == 4 {
            // The tenant of all RPCs in flight gets another index, or is removed.
            let other = json!({"Name": "other", "QuotaRps": 5});
            let acme = json!({"Name": "acme", "QuotaRps": 1_000_000});
            settings["Tenants"] = if n % 10 == 4 { json!([other, acme]) } else { json!([other]) };
        }
        let to = configuration(&settings);
        let changes = self.entries.changes_to(&to);
        self.core.check_capacity_for(&changes, &[]).unwrap();
        self.staging = Some((to, changes.into()));
    }

    /// Stages up to `entries` more entries of the version that is being staged. The version is activated after its last
    /// entry.
    pub(super) fn continue_staging(&mut self, entries: usize) {
        let Some((to, mut changes)) = self.staging.take() else { return };
        let slice: Vec<Change> = changes.drain(..entries.min(changes.len())).collect();
        self.core.stage(&slice);
        if !changes.is_empty() {
            self.staging = Some((to, changes));
            return;
        }
        self.version += 1;
        self.core.switch_version(self.now, version_switch(self.now, self.version, &to), &mut self.peers);
        self.entries = to;
        if self.version.is_multiple_of(2) {
            self.core.commit_change();
        }
        let _ = self.core.take_service_sample();
    }

    /// Performs the action selected by `kind`, with parameters derived from `n`, and checks the invariants.
    pub(super) fn random_step(&mut self, kind: u8, n: usize) {
        match kind % 16 {
            0..=3 => {
                let method = ["look", "look", "book"][n % 3];
                let key = Some((n % 4) as u64).filter(|_| n.is_multiple_of(2));
                self.send_rpc(n as u64 % 3, method, [60, 400, 900][n / 3 % 3] * MS, key);
            }
            4 | 5 => self.advance_run(n, false),
            6 => self.advance_run(n, true),
            7 | 8 => self.deliver_notices(1 + n % 3),
            9 => self.end_call(n, [CallEnd::Ok, CallEnd::Ok, CallEnd::TimedOut, CallEnd::Rejected][n % 4]),
            10 => {
                let count = self.rpcs.len().max(1);
                if let Some(stream) = self.rpcs.keys().nth(n % count).copied().filter(|_| n.is_multiple_of(3))
                {
                    self.cancel(stream);
                }
            }
            11 if n.is_multiple_of(4) => {
                let streams: Vec<SidecarStream> =
                    self.rpcs.keys().filter(|stream| stream.conn.0 == n as u64 % 3).copied().collect();
                for stream in streams {
                    if let Some((_, cancelled)) = self.rpcs.get_mut(&stream) {
                        *cancelled |= !self.peers.answers.contains_key(&stream);
                    }
                    self.peers.over.extend(self.peers.streams.get(&stream));
                }
                self.core.connection_closed(self.now, ConnectionId(n as u64 % 3), &mut self.peers);
            }
            12 if n.is_multiple_of(6) => self.disconnect_agent(),
            12 if n.is_multiple_of(3) => self.peers.agent_unreachable = true,
            12 => self.reconnect_agent_while(|harness| harness.advance_run(n, n.is_multiple_of(2))),
            11 if n % 4 == 1 => self.switch_version(n / 4),
            11 if n % 4 == 2 => self.begin_staging(n / 4),
            11 => self.continue_staging(1 + n % 2),
            13 if n.is_multiple_of(8) => {
                let link = UpstreamLinkId(n / 8 % 4);
                self.peers.calls.retain(|_, call_link| *call_link != link);
                self.core.link_ended(self.now, link, n.is_multiple_of(16), &mut self.peers);
                self.core.link_backoff_ended(link);
                self.peers.fails_to_send_calls = n.is_multiple_of(3);
            }
            14 if n.is_multiple_of(50) && self.killed_at.is_none() => {
                self.killed_at = Some(self.now + 1_500 * MS);
                self.core.drain(self.now, 1_500 * MS, &mut self.peers);
            }
            _ => self.advance((n as Us % 30) * MS),
        }
        self.end_abandoned_runs();
        self.check_invariants();
    }

    /// Checks that there are no violations, that no answer is overdue, and that each result is that of a completed run.
    pub(super) fn check_invariants(&self) {
        assert_eq!(self.peers.violations, Vec::<String>::new());
        for (stream, (request, cancelled)) in &self.rpcs {
            let answer = self.peers.answers.get(stream);
            assert!(
                answer.is_some()
                    || *cancelled
                    || self.now
                        <= request.deadline.unwrap_or(request.arrived_at + DEADLINE) + MAX_ANSWER_DELAY,
                "no answer to {request:?}"
            );
            if let Some(("ok", body)) = answer {
                // A read may be answered with the result of the run of another attempt.
                let is_result_of = |id: RpcId| {
                    FakePeers::result(id) == *body && self.peers.runs.get(&id).is_some_and(|run| run.ended)
                };
                let is_attempt = |other: &RpcRequest| {
                    other.key.is_some() && (&other.method, other.key) == (&request.method, request.key)
                };
                let coalesced =
                    self.rpcs.values().any(|(other, _)| is_attempt(other) && is_result_of(other.id));
                assert!(is_result_of(request.id) || coalesced, "ok without the result of a run: {request:?}");
            }
        }
    }

    /// Runs until all RPCs are answered, and checks that none is left in the tables.
    pub(super) fn run_to_completion(&mut self) {
        self.reconnect_agent();
        for _ in 0..400 {
            self.advance(5 * MS);
            self.advance_run(1, false);
            self.end_abandoned_runs();
            self.deliver_notices(usize::MAX);
            self.check_invariants();
        }
        assert_eq!((self.core.unanswered_rpcs(), self.core.open_rpcs()), (0, 0));
        assert_eq!(self.core.stats().half_applied, 0);
    }
}

/// Returns a placeholder id.
pub(super) fn empty_id() -> RpcId {
    RpcId::new("").unwrap()
}
