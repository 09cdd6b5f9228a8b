//! What the core owns: the engine, and the state of everything that surrounds it.

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

/// Of the memory for bodies in flight, the results held for idempotency keys may take one part in so many.
const RESULT_MEMORY_DIVISOR: usize = 2;

/// The engine as the daemon uses it: answers go to [`Requester`]s, bodies are held in pooled buffers.
pub(super) type RpcEngine = Engine<Requester, PooledBuffer>;

/// The engine and all that surrounds it.
pub struct Core {
    /// All open RPCs around the decision module.
    pub(super) engine: RpcEngine,
    /// Holds the bodies of RPCs in flight.
    pub(super) body_pool: BufferPool,
    /// All that surrounds the engine.
    pub(super) state: CoreState,
    /// The moment of the present input; never goes back.
    pub(super) now: Us,
    /// Draws the ids of RPCs that come from queues.
    pub(super) rng: WyRand,
}

/// All that the core owns besides the engine.
pub(super) struct CoreState {
    /// The indices of method and tenant names.
    pub(super) names: NameTable,
    /// What was sent to the agent and read from it.
    pub(super) agent: AgentSession,
    /// The connections that have brought RPCs.
    pub(super) sidecars: SidecarRegistry,
    /// The links that calls take.
    pub(super) upstream_links: UpstreamLinks,
    /// The queues that are consumed, if any.
    pub(super) queues: Option<QueueConsumers>,
    /// The exercise that thorough health checks wait for.
    pub(super) exercise: Exercise,
    /// The decision module's health, as last reported.
    pub(super) healthy: bool,
    /// The graceful shutdown has begun.
    pub(super) draining: bool,
    /// When the agent greeted first; nothing was sent here before.
    pub(super) agent_up_since: Option<Us>,
    /// What was served of each method.
    pub(super) service: ServiceStats,
    /// The configuration version of each part.
    pub(super) versions: AppliedVersions,
    /// How far this server has recovered, where that is tracked.
    pub(super) recovery: Option<RecoveryTracker>,
    /// This server's quota of what the settings divide, over the even one; `None` without members.
    pub(super) quota_fraction: Option<f64>,
    /// The agreed deny lists in force; `None` where nothing is agreed on.
    pub(super) apply_policy: Option<ApplyPolicy>,
    /// The daemon's counters.
    pub(super) stats: Stats,
}

/// The configuration version that each part has taken up. They differ only while one is being applied, so never while
/// an RPC is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AppliedVersions {
    /// Of the decision module.
    pub(super) module: u64,
    /// Of the name table.
    pub(super) names: u64,
    /// Of the queues.
    pub(super) queues: u64,
}

impl AppliedVersions {
    /// All parts are at this version.
    pub(super) fn all(version: u64) -> AppliedVersions {
        AppliedVersions { module: version, names: version, queues: version }
    }

    /// Whether a version is being applied.
    pub(super) fn differ(&self) -> bool {
        self.module != self.names || self.names != self.queues
    }
}

/// The parts of a server that the engine is made from.
pub(super) struct EngineParts {
    /// The decision module.
    pub(super) control: Control,
    /// What the engine is to observe.
    pub(super) config: EngineConfig,
}

impl EngineParts {
    /// Takes them from a server; `result_bytes` bounds the results held for idempotency keys.
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
    /// A core for this server; bodies are held in `body_pool`, and calls go over `links` upstream links.
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
                agent_up_since: None,
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

    /// How many bytes the results held for idempotency keys may take.
    pub(super) fn result_bytes(&self) -> usize {
        result_bytes(&self.body_pool)
    }

    /// The counters that the daemon keeps; those of the engine are added by [`Core::stats`].
    pub fn stats_mut(&mut self) -> &mut Stats {
        &mut self.state.stats
    }

    /// All counters.
    pub fn stats(&self) -> Stats {
        let mut stats = self.state.stats.clone();
        stats.add_engine(&self.engine.stats);
        stats
    }
}

fn result_bytes(body_pool: &BufferPool) -> usize {
    body_pool.capacity_bytes() / RESULT_MEMORY_DIVISOR
}
