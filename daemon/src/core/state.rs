//! State of the core: the engine, and the state of its environment.

use super::exercise::Exercise;
use crate::agent_session::AgentSession;
use crate::ids::Requester;
use crate::name_table::NameTable;
use crate::queues::QueueConsumers;
use crate::recovery::RecoveryTracker;
use crate::service_stats::ServiceStats;
use crate::sidecar_registry::SidecarRegistry;
use crate::stats::Stats;
use crate::upstream::UpstreamLinks;
use asterrill::{Control, Us};
use asterrill_consensus::ApplyPolicy;
use asterrill_engine::{Engine, EngineConfig, RetentionLimits};
use asterrill_net::{BufferPool, PooledBuffer};
use asterrill_settings::ServerParts;
use nanorand::WyRand;

/// Divisor that gives the share of the body memory available to results held for idempotency keys.
const RESULT_MEMORY_DIVISOR: usize = 2;

/// Engine type of the daemon, which sends answers to [`Requester`]s and holds bodies in pooled buffers.
pub(super) type RpcEngine = Engine<Requester, PooledBuffer>;

/// The engine together with the state of its environment.
pub struct Core {
    /// The engine, which holds all open RPCs and the decision module.
    pub(super) engine: RpcEngine,
    /// The buffers for bodies of RPCs in flight.
    pub(super) body_pool: BufferPool,
    /// All state besides the engine.
    pub(super) state: CoreState,
    /// The time of the current input; never decreases.
    pub(super) now: Us,
    /// The generator of ids for RPCs from queues.
    pub(super) rng: WyRand,
}

/// State of the core besides the engine.
pub(super) struct CoreState {
    /// The indices of method and tenant names.
    pub(super) names: NameTable,
    /// The session with the agent.
    pub(super) agent: AgentSession,
    /// The sidecar connections on which an RPC was received.
    pub(super) sidecars: SidecarRegistry,
    /// The links over which upstream calls are sent.
    pub(super) upstream_links: UpstreamLinks,
    /// The consumed queues, if any.
    pub(super) queues: Option<QueueConsumers>,
    /// The exercise for which thorough health checks wait.
    pub(super) exercise: Exercise,
    /// The last reported health of the decision module.
    pub(super) healthy: bool,
    /// Whether the graceful shutdown has begun.
    pub(super) draining: bool,
    /// The time of the agent's first greeting. Before it this server did not report itself as serving.
    pub(super) first_greeting_at: Option<Us>,
    /// The service figures of each method.
    pub(super) service: ServiceStats,
    /// The configuration version that each part has applied.
    pub(super) versions: AppliedVersions,
    /// The recovery of this server, if it is tracked.
    pub(super) recovery: Option<RecoveryTracker>,
    /// This server's share of the quotas that the members divide, relative to an equal share; `None` without members.
    pub(super) quota_fraction: Option<f64>,
    /// The agreed deny lists to enforce; `None` if there are none.
    pub(super) apply_policy: Option<ApplyPolicy>,
    /// The daemon's counters.
    pub(super) stats: Stats,
}

/// Configuration version that each part has applied.
///
/// The versions differ only while a new one is being applied, never while an RPC is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AppliedVersions {
    /// The version of the decision module.
    pub(super) module: u64,
    /// The version of the name table.
    pub(super) names: u64,
    /// The version of the queues.
    pub(super) queues: u64,
}

impl AppliedVersions {
    /// Returns the state in which all parts are at this version.
    pub(super) fn all(version: u64) -> AppliedVersions {
        AppliedVersions { module: version, names: version, queues: version }
    }

    /// Reports whether the parts are at different versions.
    pub(super) fn differ(&self) -> bool {
        self.module != self.names || self.names != self.queues
    }
}

/// Parts of a server from which the engine is built.
pub(super) struct EngineParts {
    /// The decision module.
    pub(super) control: Control,
    /// The configuration of the engine.
    pub(super) config: EngineConfig,
}

impl EngineParts {
    /// Extracts the parts from a server. `result_bytes` bounds the results held for idempotency keys.
    pub(super) fn new(server: ServerParts, result_bytes: usize) -> EngineParts {
        let limits = RetentionLimits {
            result_ttl: server.response_ttl,
            idempotency_result_bytes: result_bytes,
            max_rpc_lifetime: server.longest_deadline,
        };
        let config = EngineConfig { coalescible_methods: server.coalescable, limits };
        EngineParts { control: server.control, config }
    }
}

impl Core {
    /// Creates the core of this server. Bodies are held in `body_pool`, and calls use `links` upstream links.
    pub fn new(now: Us, mut server: ServerParts, body_pool: BufferPool, links: usize) -> Core {
        let service = ServiceStats::new(now, server.latency_targets.clone());
        let mut agent = AgentSession::default();
        agent.set_longest_latency_target(server.latency_targets.iter().max().copied().unwrap_or(0));
        let names = NameTable::new(&mut server);
        let parts = EngineParts::new(server, result_bytes(&body_pool));
        let engine_pool = body_pool.clone();
        let hold = Box::new(move |bytes: &[u8]| engine_pool.copy_from(bytes));
        Core {
            engine: Engine::new(now, parts.control, parts.config, hold),
            body_pool,
            state: CoreState {
                names,
                agent,
                sidecars: SidecarRegistry::default(),
                upstream_links: UpstreamLinks::new(links),
                queues: None,
                exercise: Exercise::default(),
                healthy: true,
                draining: false,
                first_greeting_at: None,
                service,
                versions: AppliedVersions::all(1),
                recovery: None,
                quota_fraction: None,
                apply_policy: None,
                stats: Stats::default(),
            },
            now,
            rng: WyRand::new_seed(now),
        }
    }

    /// Returns the maximum number of bytes of results held for idempotency keys.
    pub(super) fn result_bytes(&self) -> usize {
        result_bytes(&self.body_pool)
    }

    /// Returns the daemon's own counters; [`Core::stats`] adds those of the engine.
    pub fn stats_mut(&mut self) -> &mut Stats {
        &mut self.state.stats
    }

    /// Returns all counters, including those of the engine.
    pub fn stats(&self) -> Stats {
        let mut stats = self.state.stats.clone();
        stats.add_engine(&self.engine.stats);
        stats
    }
}

fn result_bytes(body_pool: &BufferPool) -> usize {
    body_pool.capacity_bytes() / RESULT_MEMORY_DIVISOR
}
