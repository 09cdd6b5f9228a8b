//! Where the engine meets what surrounds it here: sidecars, the agent that runs, and the layer below. Inputs go
//! in, what is to be written comes out, time is passed in. No socket, no clock, no decision about an RPC.

use crate::agent_session::AgentSession;
use crate::ids::{ConnectionId, Requester, SidecarStream};
use crate::name_table::NameTable;
use crate::outbound::Outbound;
use crate::queues::{QueueConsumers, QueueRequest};
use crate::recovery::{ActiveTerms, RecoveryTracker};
use crate::service_stats::ServiceStats;
use crate::sidecar_registry::SidecarRegistry;
use crate::stats::Stats;
use crate::upstream::UpstreamLinks;
use asterrill::{CallEnd, FinalAnswer, Idempotency, MethodId, RpcId, RunEnd, Us};
use asterrill_consensus::{caller_key, ApplyPolicy, ListKind};
use asterrill_engine::{
    Command, Engine, EngineConfig, IdempotencyKey, IncomingRpc, Outputs, RetentionLimits, Served,
    UpstreamLinkId,
};
use asterrill_entries::{Change, Name};
use asterrill_net::{BufferPool, PooledBuffer};
use asterrill_protocol::agent::{self, NoticeId};
use asterrill_protocol::sidecar::{RpcRequest, StreamId, MAX_STREAMS};
use asterrill_recovery::{ClockReading, Snapshot, StageTracker};
use asterrill_rollout::{ObservedLoad, ServiceSample};
use asterrill_settings::{GlobalParts, ServerParts};
use nanorand::{Rng, WyRand};

const EXERCISE: Us = 200_000; // a thorough check is answered by then
const ASKING: usize = 64; // thorough checks that wait at a time; more are answered from store
const IDS: usize = 4; // tried for a message of a queue, until it waits like one that was pushed back
const RESULTS: usize = 2; // results of tokened RPCs may take half of what bodies in hand may
const FLUSH: Us = 100_000; // kept free before the kill, to write out what is owed

/// Ids that may wait for the same exercise of the agent.
#[derive(Default)]
struct Exercise {
    asking: Vec<SidecarStream>,
    tag: u64,
    until: Us,
}

pub struct Core {
    engine: Engine<Requester, PooledBuffer>,
    held: BufferPool,
    around: Around,
    now: Us,
    chance: WyRand,
}

/// All but the engine.
struct Around {
    server: NameTable,
    agent: AgentSession,
    sidecars: SidecarRegistry,
    links: UpstreamLinks,
    queues: Option<QueueConsumers>,
    exercise: Exercise,
    healthy: bool,
    draining: bool,
    up: Option<Us>, // since the agent greeted: nothing was sent here before
    service: ServiceStats,
    stamps: AppliedVersions,
    returning: Option<RecoveryTracker>,
    /// Of what the settings divide, this server's part over the even one; none where nobody tells.
    part: Option<f64>,
    /// Whom the agreed lists turn away; none where nobody agrees.
    apply_policy: Option<ApplyPolicy>,
    counters: Stats,
}

/// The version of the configuration that each part has taken up. They differ only while one is being applied, so
/// never while anything is answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct AppliedVersions {
    module: u64,
    names: u64,
    queues: u64,
}

/// Takes a server apart: the module, its terms and its names.
fn parts(mut server: ServerParts, results: usize) -> (asterrill::Control, EngineConfig, NameTable) {
    let names = NameTable::new(&mut server);
    let terms = EngineConfig {
        coalescible_methods: server.coalescable,
        limits: RetentionLimits {
            result_ttl: server.response_ttl,
            idempotency_result_bytes: results,
            max_rpc_lifetime: server.longest_deadline,
        },
    };
    (server.control, terms, names)
}

/// The names of what is in force now.
struct ActiveNames<'a> {
    names: &'a NameTable,
    engine: &'a Engine<Requester, PooledBuffer>,
}

impl ActiveNames<'_> {
    fn of_method(&self, name: &str) -> Option<MethodId> {
        self.names.method(name).filter(|place| self.engine.has_method(*place))
    }
}

impl asterrill_consumer::Catalog for ActiveNames<'_> {
    fn method(&self, name: &str) -> Option<(MethodId, Idempotency)> {
        let place = self.of_method(name)?;
        Some((place, self.names.effect(place)?))
    }
    fn tenant(&self, name: &str) -> Option<usize> {
        self.names.tenant(name).filter(|place| self.engine.has_tenant(*place))
    }
    fn requires_tenant(&self) -> bool {
        self.names.tells_tenants
    }
}

impl asterrill_recovery::LatencyTargets for ActiveNames<'_> {
    fn target(&self, name: &str) -> Option<Us> {
        self.names.target(self.of_method(name)?)
    }
    fn shortest(&self) -> Us {
        let known = self.names.methods().filter(|place| self.engine.has_method(*place));
        known.filter_map(|place| self.names.target(place)).min().unwrap_or(0)
    }
}

impl ActiveTerms for ActiveNames<'_> {
    fn targets(&self) -> &dyn asterrill_recovery::LatencyTargets {
        self
    }
    fn named(&self, method: MethodId) -> Option<(&Name, Us)> {
        let known = self.engine.has_method(method);
        self.names.name(method).zip(self.names.target(method)).filter(|_| known)
    }
    fn place(&self, method: &str) -> Option<MethodId> {
        self.of_method(method)
    }
    fn tenant(&self, name: &str) -> Option<usize> {
        asterrill_consumer::Catalog::tenant(self, name)
    }
    fn tenants(&self) -> Vec<(&Name, usize)> {
        self.names.tenants().filter(|(_, place)| self.engine.has_tenant(*place)).collect()
    }
}

/// What comes into force together with the entries that were staged.
pub struct VersionSwitch {
    pub number: u64,
    /// The parts of the module that are no entries, where the frame or a method changes.
    pub bare: Option<GlobalParts>,
    /// The longest latency target, in the same case.
    pub longest: Us,
    pub queues: Vec<asterrill_consumer::ConsumerConfig>,
    /// Tenants are told apart.
    pub tells_tenants: bool,
}

/// By what the tries of one tokened RPC are known. The protocol has no field for it, and each try has an id of its own;
/// what stays the same is the method, the tenant and the body. A client that asks again may come by another sidecar, so
/// the caller is left out (`docs/program.md`).
fn idempotency_key(method: &str, tenant: &str, body: &[u8]) -> IdempotencyKey {
    let mut hash = blake3::Hasher::new();
    for name in [method, tenant] {
        hash.update(&(name.len() as u64).to_be_bytes()).update(name.as_bytes());
    }
    let mut token = [0; 16];
    hash.update(body).finalize_xof().fill(&mut token);
    IdempotencyKey(token)
}

/// The engine's outputs, carried out by what surrounds it.
struct EngineOutputs<'a> {
    now: Us,
    around: &'a mut Around,
    outbound: &'a mut dyn Outbound,
}

impl Outputs<Requester> for EngineOutputs<'_> {
    fn answer(&mut self, to: Requester, answer: FinalAnswer<'_>, credit: Option<f64>, of: Option<Served>) {
        let AppliedVersions { module, names, queues } = self.around.stamps;
        self.around.counters.half_applied += u64::from(module != names || names != queues);
        if let Some(of) = of {
            self.around.service.record_answered(of, matches!(answer, FinalAnswer::Ok(_)));
        }
        match to {
            Requester::Sidecar(place) => self.outbound.answer(place, answer, credit),
            Requester::Queue(work) => {
                let now = self.now;
                self.around.queues.iter_mut().for_each(|queues| queues.answered(now, work, answer));
            }
        }
    }
    fn closed(&mut self, id: RpcId) {
        self.around.agent.run_closed(id);
    }
    fn launch(&mut self, at: Requester, id: RpcId, method: MethodId, body: &[u8]) {
        if let Requester::Queue(work) = at {
            self.around.queues.iter_mut().for_each(|queues| queues.launched(work));
        }
        self.around.agent.command_sent(self.now, id);
        let name = self.around.server.name(method).map_or("", |name| name);
        self.outbound.launch(id, name, body);
    }
    fn stop(&mut self, id: RpcId) {
        self.around.agent.stop_sent(self.now, id);
        self.outbound.stop(id);
    }
    fn resume(&mut self, id: RpcId, reply: &[u8]) {
        self.around.agent.command_sent(self.now, id);
        self.outbound.deliver_reply(id, reply);
    }
    fn skip(&mut self, id: RpcId) {
        let asked = self.around.agent.command_sent(self.now, id);
        self.outbound.skip_call(id, asked);
    }
    fn run_completed(&mut self, at: Requester) {
        match at {
            Requester::Sidecar(place) => self.around.sidecars.run_completed(place.conn),
            Requester::Queue(_) => {}
        }
    }
    fn request_gauges(&mut self) {
        self.outbound.request_sample(self.around.agent.next_tag(self.now));
    }
    fn send_call(
        &mut self, last: Option<UpstreamLinkId>, id: RpcId, wait: Us, body: &[u8],
    ) -> Option<UpstreamLinkId> {
        let by = self.around.links.select(last).filter(|by| self.outbound.send_call(*by, id, wait, body))?;
        self.around.links.call_placed(by);
        Some(by)
    }
    fn cancel_call(&mut self, by: UpstreamLinkId, id: RpcId) {
        self.outbound.cancel_call(by, id);
    }
    fn call_finished(&mut self, by: UpstreamLinkId, late: bool) {
        self.around.links.call_finished(by, late, self.outbound);
    }
    fn set_health(&mut self, good: bool) {
        self.around.healthy = good;
        if self.around.up.is_some() {
            self.outbound.set_serving(good && !self.around.draining);
        }
    }
    fn close_idle(&mut self, span: Us) {
        self.outbound.set_idle_timeout(span);
        if span == 0 {
            self.outbound.announce_drain();
        }
    }
    fn log(&mut self, line: &str) {
        self.outbound.log(line);
    }
}

impl Core {
    pub fn new(now: Us, server: ServerParts, pool: BufferPool, links: usize) -> Core {
        let service = ServiceStats::new(now, server.latency_targets.clone());
        let (mut agent, longest) = (AgentSession::default(), server.latency_targets.iter().max().copied());
        agent.set_longest_latency_target(longest.unwrap_or(0));
        let (control, terms, server) = parts(server, pool.capacity_bytes() / RESULTS);
        let held = pool.clone();
        Core {
            engine: Engine::new(now, control, terms, Box::new(move |bytes| pool.copy_from(bytes))),
            held,
            around: Around {
                server,
                agent,
                sidecars: SidecarRegistry::default(),
                links: UpstreamLinks::new(links),
                queues: None,
                exercise: Exercise::default(),
                healthy: true,
                draining: false,
                up: None,
                service,
                stamps: AppliedVersions { module: 1, names: 1, queues: 1 },
                returning: None,
                part: None,
                apply_policy: None,
                counters: Stats::default(),
            },
            now,
            chance: WyRand::new_seed(now),
        }
    }

    /// Brings an input to the engine, together with what carries out its outputs.
    fn with<R>(
        &mut self, now: Us, outbound: &mut dyn Outbound,
        input: impl FnOnce(&mut Engine<Requester, PooledBuffer>, Us, &mut EngineOutputs<'_>) -> R,
    ) -> R {
        self.now = self.engine.advance_to(now);
        let mut carry = EngineOutputs { now: self.now, around: &mut self.around, outbound };
        let result = input(&mut self.engine, self.now, &mut carry);
        if self.around.queues.is_some() {
            self.attend_queues(outbound);
        }
        result
    }

    /// Messages of queues are taken in from now on.
    pub fn attach_queues(&mut self, queues: QueueConsumers) {
        self.around.queues = Some(queues);
    }
    pub fn queues(&self) -> Option<&QueueConsumers> {
        self.around.queues.as_ref()
    }

    /// Does all that the queues want done, and writes what is to go to the broker.
    fn attend_queues(&mut self, outbound: &mut dyn Outbound) {
        let now = self.now;
        while let Some(ask) = self.around.queues.as_mut().and_then(|queues| queues.ask(now)) {
            let mut out = EngineOutputs { now, around: &mut self.around, outbound };
            match ask {
                QueueRequest::Offer(mut read, work, body) => {
                    out.around.service.record_received(read.method);
                    let at = Requester::Queue(work);
                    // Of all ids it may be one that is open; hardly so several times.
                    let mut taken = false;
                    for _ in 0..IDS {
                        taken = taken || self.engine.request_received(now, at, read.clone(), &body, &mut out);
                        read.id = RpcId::from_number(self.chance.generate());
                    }
                    if !taken {
                        let answer = FinalAnswer::Rejected { terminal: false, retry_after: 0 };
                        out.answer(at, answer, None, None);
                    }
                }
                QueueRequest::Withdraw(work) => {
                    let at = Requester::Queue(work);
                    if !self.engine.is_launched(at) && self.engine.caller_gone(now, at, &mut out) {
                        self.around.queues.iter_mut().for_each(|queues| queues.withdrawn(now, work));
                    }
                }
                QueueRequest::Log(line) => outbound.log(&line),
            }
        }
        if let Some(queues) = &mut self.around.queues {
            let session = queues.out();
            if !session.out.is_empty() {
                outbound.send_to_broker(&session.out);
                session.mark_written(now);
            }
            if queues.done() {
                outbound.close_broker(false);
            }
        }
    }

    /// A connection to the broker stands.
    pub fn broker_connected(&mut self, now: Us, outbound: &mut dyn Outbound) {
        self.with(now, outbound, |_, now, out| out.around.queues.iter_mut().for_each(|q| q.connected(now)));
    }
    /// The connection to the broker is gone, or could not be made. True if it had been of use.
    pub fn broker_disconnected(&mut self, now: Us, outbound: &mut dyn Outbound) -> bool {
        self.with(now, outbound, |_, _, out| out.around.queues.as_mut().is_some_and(QueueConsumers::down))
    }
    /// No connection to the broker is wanted any more.
    pub fn broker_done(&self) -> bool {
        self.around.queues.as_ref().is_some_and(QueueConsumers::done)
    }
    /// Takes what the broker sent. False if the connection is of no more use.
    pub fn broker_read(&mut self, now: Us, bytes: &[u8], outbound: &mut dyn Outbound) -> bool {
        let mut logs = Vec::new();
        let fine = self.with(now, outbound, |engine, now, out| {
            let Around { queues, server, .. } = &mut *out.around;
            let known = ActiveNames { names: server, engine };
            queues.as_mut().map_or(Ok(()), |queues| queues.read(now, bytes, &mut logs, &known))
        });
        logs.iter().for_each(|line| outbound.log(line));
        self.broker_fine(fine, false, outbound)
    }
    /// A connection of no more use ends: once what it was told is written, or at once if nobody may read that.
    fn broker_fine(&mut self, fine: Result<(), String>, at_once: bool, outbound: &mut dyn Outbound) -> bool {
        if let Err(why) = &fine {
            outbound.log(&format!("reconnecting to the broker: {why}"));
            outbound.close_broker(at_once);
        }
        fine.is_ok()
    }

    /// The version of the configuration that is in force.
    pub fn version(&self) -> u64 {
        self.around.stamps.module
    }
    /// What was served since the last time, for the watch over a change.
    pub fn take_service_sample(&mut self) -> ServiceSample {
        let (engine, names) = (&self.engine, &self.around.server);
        self.around.service.advance_to(self.now);
        self.around.service.take_sample(|method| names.name(method).cloned(), |method| engine.cost(method))
    }
    /// What was seen in the last minute, and is held now.
    pub fn recent_load(&self) -> ObservedLoad {
        let (engine, names) = (&self.engine, &self.around.server);
        let name = |method| names.name(method).cloned();
        let mut seen = self.around.service.observed_load(self.now, name, |method| engine.cost(method));
        seen.in_use_kb = engine.memory_in_use_kb();
        seen
    }
    /// From now on service is judged by the targets of the version that runs, and nothing goes back behind it.
    pub fn commit_change(&mut self) {
        let engine = &self.engine;
        self.around.service.commit_targets();
        self.around.server.settled(|tenant| engine.has_tenant(tenant));
    }

    /// Whether a change could be staged, and these queues be taken up with it.
    pub fn check_capacity_for(
        &self, changes: &[Change], terms: &[asterrill_consumer::ConsumerConfig],
    ) -> Result<(), String> {
        if self.around.queues.as_ref().is_some_and(|queues| !queues.could_take(terms)) {
            return Err("there were too many queues since the start: start anew".into());
        }
        self.around.server.could_take(changes)
    }
    /// Takes entries of a change in beside those in force: nothing shows of them until [`Core::change`]. Of a long
    /// change a slice at a time, so that nobody waits for it.
    pub fn stage(&mut self, changes: &[Change]) {
        let terms = self.around.server.stage(changes);
        self.engine.stage(&terms);
    }
    /// Another version of the configuration from now on, whole, with all that was staged: all that follows is decided
    /// under it, and what is in hand keeps the terms under which it was read.
    pub fn switch_version(&mut self, now: Us, flip: VersionSwitch, outbound: &mut dyn Outbound) {
        let VersionSwitch { number, bare, longest, queues: terms, tells_tenants } = flip;
        let results = self.held.capacity_bytes() / RESULTS;
        let bounds = bare.as_ref().map(|bare| RetentionLimits {
            result_ttl: bare.response_ttl,
            idempotency_result_bytes: results,
            max_rpc_lifetime: bare.longest_deadline,
        });
        self.with(now, outbound, |engine, now, out| {
            let Around { counters, stamps, service, queues, server, agent, .. } = &mut *out.around;
            counters.changes += 1;
            service.advance_to(now);
            for (method, target) in server.change(tells_tenants) {
                service.set_target(method.0, target);
            }
            stamps.names = number;
            if let Some(queues) = queues {
                queues.change(now, terms);
            }
            stamps.queues = number;
            let frame = bare.map(|bare| {
                agent.set_longest_latency_target(longest);
                server.gauges = bare.gauges;
                bare.control
            });
            stamps.module = number;
            engine.apply_staged(now, frame, bounds, out);
        });
    }

    /// What members tell of each other comes down to this one figure.
    pub fn share(&mut self, now: Us, part: f64, outbound: &mut dyn Outbound) {
        if self.around.part.replace(part) != Some(part) {
            self.with(now, outbound, |engine, now, out| engine.share(now, part, out));
        }
    }

    /// What the agreed lists say from now on.
    pub fn set_apply_policy(&mut self, policy: ApplyPolicy) {
        self.around.apply_policy = Some(policy);
    }
    /// The lease of what they say is over.
    pub fn expire_policy_lease(&mut self) {
        self.around.apply_policy = self.around.apply_policy.as_ref().map(ApplyPolicy::after_lease_expiry);
    }

    /// How this server comes back is attended to from now on.
    pub fn start_recovery(&mut self, now: Us, returning: RecoveryTracker, outbound: &mut dyn Outbound) {
        let care = returning.care();
        self.around.returning = Some(returning);
        self.with(now, outbound, |engine, now, out| engine.careful(now, care, out));
    }
    /// The agent has greeted: what was kept is weighed, the first time.
    pub fn agent_greeted(&mut self, now: Us, empty: bool, outbound: &mut dyn Outbound) {
        let (standing, engine) = (self.engine.standing(), &self.engine);
        let Around { returning, server, .. } = &mut self.around;
        let Some(returning) = returning else { return };
        let recall = returning.greeted(now, empty, standing, &ActiveNames { names: server, engine });
        let care = returning.care();
        self.with(now, outbound, |engine, now, out| {
            engine.careful(now, care, out);
            if let Some((experience, told)) = recall {
                out.outbound.log(&format!("snapshot restored: {told}"));
                engine.recall(now, experience, out);
            }
        });
    }
    /// Looks at how far it is back.
    fn attend_return(&mut self, now: Us, outbound: &mut dyn Outbound) {
        let Some(returning) = &mut self.around.returning else { return };
        let (care, entered) = returning.look(now, &self.engine.stats, self.engine.standing());
        if let Some(stage) = entered {
            let why = returning.stages().reason().as_str();
            outbound.log(&format!("stage {}: {why}", stage.name()));
        }
        if let Some(care) = care {
            self.with(now, outbound, |engine, now, out| engine.careful(now, care, out));
        }
    }
    /// What the module has learned.
    #[cfg(test)]
    pub fn learned(&self) -> asterrill::LearnedState {
        self.engine.learned()
    }
    #[cfg(test)]
    pub fn knows_tenant(&self, name: &str) -> bool {
        let known = ActiveNames { names: &self.around.server, engine: &self.engine };
        asterrill_consumer::Catalog::tenant(&known, name).is_some()
    }
    /// Places of tenants that there ever were.
    #[cfg(test)]
    pub fn places(&self) -> usize {
        self.around.server.places()
    }
    /// Other settings came into force; their hash.
    pub fn set_settings_hash(&mut self, hash: u64) {
        self.around.returning.iter_mut().for_each(|returning| returning.change(hash));
    }
    /// What is to be kept now, if a snapshot is due or the server leaves.
    pub fn take_snapshot(
        &mut self, now: Us, moment: impl Fn() -> ClockReading, leaving: bool,
    ) -> Option<Snapshot> {
        let returning = self.around.returning.as_mut()?;
        if !returning.snapshot_due(now, leaving) {
            return None;
        }
        self.around.counters.snapshots += 1;
        let (engine, names) = (&self.engine, &self.around.server);
        Some(returning.snapshot(moment(), engine.learned(), &ActiveNames { names, engine }))
    }
    /// How far it is back, and the outages of the layer below that were noticed; none where nobody attends to it.
    pub fn recovery_stages(&self) -> Option<(&StageTracker, u64)> {
        self.around.returning.as_ref().map(|returning| (returning.stages(), returning.outages()))
    }

    /// The start: the module says what to publish.
    pub fn start(&mut self, now: Us, outbound: &mut dyn Outbound) {
        self.with(now, outbound, |engine, now, out| engine.start(now, out));
    }

    /// What was counted, besides what the engine counts.
    pub fn stats_mut(&mut self) -> &mut Stats {
        &mut self.around.counters
    }
    /// All that was counted.
    pub fn stats(&self) -> Stats {
        let mut counters = self.around.counters.clone();
        counters.add_engine(&self.engine.stats);
        counters
    }

    /// An RPC came whole. False if nothing more is taken from its connection: too many streams are open, or
    /// nothing that came on it could be run.
    pub fn rpc_received(
        &mut self, now: Us, place: SidecarStream, ask: RpcRequest, body: &[u8], outbound: &mut dyn Outbound,
    ) -> bool {
        let fine = self.around.sidecars.accepts_rpc(place.conn);
        if self.owed_on(place.conn) >= MAX_STREAMS || !fine {
            return false;
        }
        if let Some(policy) = &self.around.apply_policy {
            let caller = caller_key(ask.caller.0, &mut [0; 20]).to_string();
            let named = [
                (ListKind::Tenants, &ask.tenant),
                (ListKind::Callers, &caller),
                (ListKind::Methods, &ask.method),
            ];
            if named.into_iter().any(|(kind, key)| policy.rejects(kind, key)) {
                self.around.counters.denied_by_policy += 1;
                self.with(now, outbound, |engine, now, out| {
                    engine.reject(now, Requester::Sidecar(place), out)
                });
                return true;
            }
        }
        let server = &self.around.server;
        let in_force = ActiveNames { names: server, engine: &self.engine };
        let tenant = asterrill_consumer::Catalog::tenant(&in_force, &ask.tenant);
        // Where tenants are told apart, an RPC is of one of them.
        let known = tenant.is_some() || !server.tells_tenants;
        let (Some(method), true) = (in_force.of_method(&ask.method), known) else {
            self.refuse(now, place, outbound);
            return true;
        };
        // What the agent may never have heard of is not joined to anything, and nothing to it.
        let shares = self.around.sidecars.is_proven(place.conn);
        let tokened = server.effect(method) == Some(Idempotency::Keyed);
        let known = (tokened || ask.key.is_some() && shares && self.engine.is_coalescible(method))
            .then(|| idempotency_key(&ask.method, &ask.tenant, body));
        // An answer carries what a run made for this RPC: of reads with one key, only tries of the same one share.
        let key =
            known.and_then(|IdempotencyKey(bytes)| bytes.first_chunk().map(|half| u64::from_be_bytes(*half)));
        let (token, key) = if tokened { (known, None) } else { (None, key) };
        let at = self.engine.advance_to(now);
        let read = IncomingRpc {
            id: ask.id,
            method,
            tenant,
            caller: ask.caller,
            deadline: ask.due,
            time_unread: at.saturating_sub(ask.born.max(self.around.up.unwrap_or(at))),
            size_kb: ask.size_kb,
            cache_key: key,
            coalescible: shares,
            idempotency_key: token,
        };
        self.around.service.record_received(method);
        let asker = Requester::Sidecar(place);
        if !self.with(now, outbound, |engine, now, out| engine.request_received(now, asker, read, body, out))
        {
            self.refuse(now, place, outbound);
        }
        true
    }

    /// An RPC that can't be understood. False if nothing more is taken from its connection.
    pub fn malformed_rpc(&mut self, now: Us, place: SidecarStream, outbound: &mut dyn Outbound) -> bool {
        let fine = self.around.sidecars.accepts_rpc(place.conn);
        if fine {
            self.refuse(now, place, outbound);
        }
        fine
    }

    /// For an RPC that could never be run here.
    fn refuse(&mut self, now: Us, place: SidecarStream, outbound: &mut dyn Outbound) {
        self.around.counters.malformed += 1;
        self.with(now, outbound, |engine, now, out| {
            engine.abort_unserviceable(now, Requester::Sidecar(place), out)
        });
        self.nonsense(place.conn, outbound);
    }

    fn nonsense(&mut self, conn: ConnectionId, outbound: &mut dyn Outbound) {
        if self.around.sidecars.count_unrunnable(conn) {
            self.around.counters.bad_sidecar += 1;
            outbound.close_untrusted(conn);
        }
    }

    /// Nobody waits for this stream any more.
    pub fn rpc_cancelled(&mut self, now: Us, place: SidecarStream, outbound: &mut dyn Outbound) {
        self.with(now, outbound, |engine, now, out| engine.caller_gone(now, Requester::Sidecar(place), out));
    }

    /// A connection ended: nobody waits for anything on it.
    pub fn connection_closed(&mut self, now: Us, conn: ConnectionId, outbound: &mut dyn Outbound) {
        self.around.exercise.asking.retain(|place| place.conn != conn);
        let places: Vec<Requester> = self.on(conn).copied().collect();
        for place in places {
            self.with(now, outbound, |engine, now, out| engine.caller_gone(now, place, out));
        }
        self.around.sidecars.remove(conn);
    }

    fn on(&self, conn: ConnectionId) -> impl Iterator<Item = &Requester> {
        let at = |stream| Requester::Sidecar(SidecarStream { conn, stream: StreamId(stream) });
        self.engine.unanswered_in(at(0)..=at(u32::MAX))
    }
    fn asking(&self, conn: ConnectionId) -> impl Iterator<Item = &SidecarStream> {
        self.around.exercise.asking.iter().filter(move |place| place.conn == conn)
    }
    /// Answers owed on a connection, those to health checks included.
    pub fn owed_on(&self, conn: ConnectionId) -> usize {
        self.on(conn).count() + self.asking(conn).count()
    }
    /// A run was made for this connection: its RPCs are those of a sidecar that the agent knows of.
    pub fn proven(&self, conn: ConnectionId) -> bool {
        self.around.sidecars.is_proven(conn)
    }
    /// An answer is owed on a connection.
    pub fn owes(&self, conn: ConnectionId) -> bool {
        self.on(conn).next().is_some() || self.asking(conn).next().is_some()
    }
    /// RPCs that are not over.
    pub fn open(&self) -> usize {
        self.engine.open_rpcs()
    }
    /// Answers owed in all.
    pub fn owed(&self) -> usize {
        self.engine.unanswered()
    }

    /// A health check: a thorough one waits for an exercise of the agent, which all that ask share.
    pub fn health_check(
        &mut self, now: Us, place: SidecarStream, thorough: bool, outbound: &mut dyn Outbound,
    ) {
        self.now = self.engine.advance_to(now);
        let Around { exercise, agent, counters, healthy, up, .. } = &mut self.around;
        counters.health_checks += 1;
        let asking = exercise.asking.len();
        if !thorough || !*healthy || up.is_none() || asking >= ASKING {
            return outbound.answer_health_check(place, *healthy, self.engine.credit());
        }
        counters.thorough_checks += 1;
        if exercise.asking.is_empty() {
            (exercise.tag, exercise.until) = (agent.next_tag(self.now), self.now + EXERCISE);
            outbound.request_exercise(exercise.tag);
        }
        exercise.asking.push(place);
    }

    pub fn exercise_finished(&mut self, now: Us, tag: u64, good: bool, outbound: &mut dyn Outbound) {
        self.now = self.engine.advance_to(now);
        self.around.agent.message_received();
        if tag == self.around.exercise.tag {
            self.answer_checks(good, outbound);
        }
    }

    fn answer_checks(&mut self, good: bool, outbound: &mut dyn Outbound) {
        for place in std::mem::take(&mut self.around.exercise.asking) {
            outbound.answer_health_check(place, good && self.around.healthy, self.engine.credit());
        }
    }

    /// A new link to the agent stands. Hands back the number of the last notice read.
    pub fn agent_connected(&mut self, now: Us) -> NoticeId {
        self.now = self.engine.advance_to(now);
        self.around.agent.link_connected(self.now)
    }

    /// The agent greets: at its start, `ago`, it was `empty` or warm. Once all is read that was missed while
    /// there was no link, what may have been lost on the way is sent again.
    pub fn agent_up(&mut self, now: Us, fresh: Option<ServerParts>, outbound: &mut dyn Outbound) {
        self.now = self.engine.advance_to(now);
        self.around.counters.agent_greetings += 1;
        if let Some(server) =
            fresh.filter(|_| self.engine.stats.requests == 0 && self.around.counters.changes == 0)
        {
            // Its names stand at the places at which they stand already: both were made of the same version.
            let results = self.held.capacity_bytes() / RESULTS;
            let terms = EngineConfig {
                coalescible_methods: server.coalescable,
                limits: RetentionLimits {
                    result_ttl: server.response_ttl,
                    idempotency_result_bytes: results,
                    max_rpc_lifetime: server.longest_deadline,
                },
            };
            self.with(now, outbound, |engine, now, out| engine.restart(now, server.control, terms, out));
            if let Some(part) = self.around.part {
                self.with(now, outbound, |engine, now, out| engine.share(now, part, out));
            }
        }
        if self.around.up.is_none() {
            self.around.up = Some(self.now);
            self.engine.gauges_available();
            outbound.set_serving(self.around.healthy && !self.around.draining);
        }
        outbound.request_sample(self.around.agent.greeted(self.now));
    }

    /// The agent has greeted before.
    pub fn agent_has_greeted(&self) -> bool {
        self.around.up.is_some()
    }

    /// What may have been lost with an earlier link is sent again; for what arrived it changes nothing.
    fn send_again(&mut self, outbound: &mut dyn Outbound) {
        let lost = self.around.agent.take_lost_messages(self.now);
        for id in lost.commands {
            match self.engine.last_command(id) {
                Some(Command::Launch(method, body)) => {
                    let name = self.around.server.name(method).map_or("", |name| name);
                    outbound.launch(id, name, body);
                }
                Some(Command::Resume(reply)) => outbound.deliver_reply(id, reply),
                Some(Command::Skip) => {
                    let asked = self.around.agent.command_sent(self.now, id);
                    outbound.skip_call(id, asked);
                }
                None => {}
            }
        }
        lost.stops.into_iter().for_each(|id| outbound.stop(id));
        if !self.around.exercise.asking.is_empty() {
            outbound.request_exercise(self.around.exercise.tag);
        }
    }

    pub fn sample_received(&mut self, now: Us, tag: u64, values: &[f64], outbound: &mut dyn Outbound) {
        self.now = self.engine.advance_to(now);
        self.around.agent.message_received();
        self.engine.gauges_sampled(now, agent::gauges(&self.around.server.gauges, values));
        if self.around.agent.sample_received(tag) {
            self.send_again(outbound);
        }
    }

    /// Every numbered notice comes by here first. False if it was read before.
    fn fresh_notice(&mut self, number: NoticeId) -> bool {
        self.around.agent.message_received();
        let fresh = self.around.agent.is_new_notice(number);
        self.around.counters.stale_notices += u64::from(!fresh);
        fresh
    }

    pub fn notice_ignored(&mut self, number: NoticeId) {
        self.fresh_notice(number);
    }

    /// A run is over.
    pub fn run_ended(
        &mut self, now: Us, number: NoticeId, id: RpcId, end: RunEnd, result: &[u8],
        outbound: &mut dyn Outbound,
    ) {
        if self.fresh_notice(number) {
            self.with(now, outbound, |engine, now, out| engine.run_ended(now, id, end, result, out));
        }
    }

    /// The agent refused a command: a launch that it refuses is not started.
    pub fn command_refused(&mut self, now: Us, launch: Option<RpcId>, outbound: &mut dyn Outbound) {
        self.around.counters.commands_refused += 1;
        self.around.agent.message_received();
        let Some(id) = launch else { return };
        match self.with(now, outbound, |engine, now, out| engine.launch_failed(now, id, out)) {
            Some(Requester::Sidecar(place)) => self.nonsense(place.conn, outbound),
            Some(Requester::Queue(_)) | None => {}
        }
    }

    /// A run waits for a call with this body.
    pub fn call_needed(
        &mut self, now: Us, number: NoticeId, id: RpcId, body: Option<&[u8]>, outbound: &mut dyn Outbound,
    ) {
        if self.fresh_notice(number) {
            self.around.agent.call_requested(id, number);
            self.with(now, outbound, |engine, now, out| engine.call_needed(now, id, body, out));
        }
    }

    /// A reply came from below.
    pub fn call_ended(
        &mut self, now: Us, by: UpstreamLinkId, id: RpcId, end: CallEnd, reply: &[u8],
        outbound: &mut dyn Outbound,
    ) {
        self.with(now, outbound, |engine, now, out| engine.call_ended(now, by, id, end, reply, out));
    }

    /// A link below is gone with all calls on it. `refused` proves that none of them ran.
    pub fn link_ended(&mut self, now: Us, by: UpstreamLinkId, refused: bool, outbound: &mut dyn Outbound) {
        let end = if refused { CallEnd::Rejected } else { CallEnd::Aborted };
        let some = self.around.links.has_calls(by);
        self.around.links.disconnected(by);
        if some {
            self.with(now, outbound, |engine, now, out| engine.upstream_link_ended(now, by, end, out));
        }
        self.around.links.calls_drained(by);
    }

    /// A link below may be made again.
    pub fn link_ready(&mut self, by: UpstreamLinkId) {
        self.around.links.ready(by);
    }
    /// A link below is not used again as it stands.
    pub fn retire(&mut self, by: UpstreamLinkId, outbound: &mut dyn Outbound) {
        self.around.links.retire(by, outbound);
    }
    /// The layer below is to be found elsewhere. What is in hand may still end where it was.
    pub fn upstream_moved(&mut self, outbound: &mut dyn Outbound) {
        self.around.links.retire_all(outbound);
    }
    /// Calls are in hand on this link.
    pub fn calls_on(&self, by: UpstreamLinkId) -> bool {
        self.around.links.has_calls(by)
    }

    /// The notice to leave: the process is killed after `span`.
    pub fn drain(&mut self, now: Us, span: Us, outbound: &mut dyn Outbound) {
        if std::mem::replace(&mut self.around.draining, true) {
            return;
        }
        outbound.set_serving(false);
        let flush = span.saturating_sub(FLUSH);
        self.with(now, outbound, |engine, now, out| {
            out.around.queues.iter_mut().for_each(|queues| queues.leave(now));
            engine.drain(now, now + flush, out);
        });
    }

    /// The notice to leave has run out, and nothing is owed any more.
    pub fn is_drained(&self) -> bool {
        self.engine.is_drained()
    }

    /// When `tick` is wanted next.
    pub fn next_deadline(&self) -> Option<Us> {
        let exercise = &self.around.exercise;
        let exercise = Some(exercise.until).filter(|_| !exercise.asking.is_empty());
        let queues = self.around.queues.as_ref().and_then(QueueConsumers::next);
        let returning = self.around.returning.as_ref().map(RecoveryTracker::next);
        let agent = self.around.agent.next_deadline();
        [self.engine.next_timer(), exercise, queues, agent, returning].into_iter().flatten().min()
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Us, outbound: &mut dyn Outbound) {
        self.now = self.engine.advance_to(now);
        if !self.around.exercise.asking.is_empty() && self.around.exercise.until <= self.now {
            self.answer_checks(false, outbound);
        }
        if let Some(silence) = self.around.agent.check_silence(self.now) {
            self.around.counters.agent_silent += 1;
            outbound.log(&format!("reconnecting to the agent: {silence}"));
            outbound.reset_agent_link();
        }
        let fine = self.with(now, outbound, |engine, now, out| {
            engine.tick(now, out);
            let (credit, runs) = (engine.credit(), out.around.up.is_some());
            match out.around.queues.as_mut().filter(|queues| queues.next().is_some_and(|at| at <= now)) {
                Some(queues) => queues.tick(now, credit, runs),
                None => Ok(()),
            }
        });
        self.broker_fine(fine, true, outbound);
        self.attend_return(self.now, outbound);
    }
}
