//! Start-up: reads and checks all that was configured, then makes the parts and starts their coroutines.

use crate::arguments::Arguments;
use crate::change::{ChangeDriver, RolloutPolicy, StartVersion};
use crate::clocks::read_clocks;
use crate::connection_limits::{max_connections, upstream_links};
use crate::control_loop::ControlLoop;
use crate::control_socket;
use crate::core::Core;
use crate::deployment::{choose_start_version, read_deployment};
use crate::dispatcher::{buffers_per_pool, Dispatcher};
use crate::membership::{self, MembershipConfig, MembershipService};
use crate::operator::{self, BrokerSetup, OperatorFile};
use crate::operator_requests::{RequestHandler, RequestQueue};
use crate::peer_addresses::PeerAddresses;
use crate::recovery::{RecoveryConfig, RecoveryTracker};
use crate::shutdown::Shutdown;
use crate::signals::SignalLoop;
use crate::store::{read_learned, read_members, Store};
use crate::tasks::Tasks;
use asterrill::Us;
use asterrill_net::{now, BufferPool, Outbox, TcpListener};
use asterrill_operator_config::OperatorConfig;
use asterrill_settings::{Deployment, ServerParts, SettingsError};
use signal_hook::consts::{SIGHUP, SIGTERM, SIGUSR1};
use signal_hook::iterator::Signals;
use slog::{info, Logger};
use std::path::Path;
use std::sync::Arc;

/// Bytes that may wait for the agent, the upstream or the broker.
const MAX_LINK_BACKLOG: usize = 1024 * 1024;

/// All that was configured, read and checked.
struct Config {
    deployment: Deployment,
    start: StartVersion,
    operator: Arc<OperatorConfig>,
    server_parts: ServerParts,
    broker: Option<BrokerSetup>,
}

impl Config {
    fn load(operator_file: OperatorFile, log: &Logger) -> Result<Config, SettingsError> {
        let mut deployment = read_deployment(None)?;
        let OperatorFile { config, text } = operator_file;
        let start = choose_start_version(&mut deployment, config, &text, log);
        let operator = start.content.operator_config.clone();
        let configuration = &start.content.configuration;
        let server_parts = asterrill_settings::server_parts(now(), deployment.seed, configuration, None)?;
        let body_buffers = buffers_per_pool(deployment.memory_mb) as u64;
        let broker = operator::broker_setup(now(), &operator, configuration, deployment.seed, body_buffers)?;
        if let Some(members) = &operator.members {
            membership::check(&deployment.name, members)?;
        }
        Ok(Config { deployment, start, operator, server_parts, broker })
    }

    fn policy(&self) -> RolloutPolicy {
        RolloutPolicy {
            probation: self.operator.changes.probation,
            max_change_factor: self.operator.changes.max_change_factor as f64,
        }
    }

    /// After how many microseconds a connection is idle too long: where callers close idle ones by themselves.
    fn idle_timeout(&self) -> Us {
        match self.start.content.configuration.globals().idle_timeout {
            0 => Us::MAX,
            timeout => timeout,
        }
    }
}

/// The dispatcher, and what it writes to.
struct Serving {
    dispatcher: Arc<Dispatcher>,
    /// Buffers of the sockets.
    pool: BufferPool,
    agent_link: Outbox,
    upstream_links: Vec<Outbox>,
}

impl Serving {
    fn new(deployment: &Deployment, server_parts: ServerParts, idle_timeout: Us, log: &Logger) -> Serving {
        // Two pools, so that queued bodies can't keep answers from being written.
        let [pool, body_pool] = [(); 2].map(|()| BufferPool::new(buffers_per_pool(deployment.memory_mb)));
        let link = || Outbox::new(&pool, MAX_LINK_BACKLOG);
        let link_count = if deployment.upstream.is_some() { upstream_links(deployment.sockets) } else { 0 };
        let agent_link = link();
        let upstream_links: Vec<Outbox> = (0..link_count).map(|_| link()).collect();
        let core = Core::new(now(), server_parts, body_pool.clone(), upstream_links.len());
        let dispatcher = Arc::new(Dispatcher::new(
            core,
            agent_link.clone(),
            upstream_links.clone(),
            max_connections(deployment.sockets),
            idle_timeout,
            [pool.clone(), body_pool],
            log.clone(),
        ));
        Serving { dispatcher, pool, agent_link, upstream_links }
    }
}

/// Runs one backend until it has shut down; with `--check` only reads and checks what was configured.
///
/// # Errors
/// What is wrong with the configuration, or could not be opened.
pub fn run(log: &Logger, arguments: &Arguments, operator_file: OperatorFile) -> Result<(), SettingsError> {
    let config = Config::load(operator_file, log)?;
    if arguments.check {
        return Ok(());
    }
    asterrill_net::start_worker()?;
    let listen = config.deployment.listen;
    let listener = asterrill_net::bind(listen).map_err(|e| SettingsError::new(format!("{listen}: {e}")))?;
    let signals = Signals::new([SIGTERM, SIGUSR1, SIGHUP])?;
    start(config, listener, signals, log)?.run();
    Ok(())
}

/// Makes the parts and starts their coroutines. Returns what waits for signals.
fn start(
    config: Config, listener: TcpListener, signals: Signals, log: &Logger,
) -> Result<SignalLoop, SettingsError> {
    let (policy, idle_timeout) = (config.policy(), config.idle_timeout());
    let Config { deployment, start, operator, server_parts, broker } = config;
    // Files may be copied: no two processes draw the same, nor one after a restart.
    let process_seed = asterrill_recovery::seed(deployment.seed, &deployment.name, now(), std::process::id());
    let cores = server_parts.cores;
    let Serving { dispatcher, pool, agent_link, upstream_links } =
        Serving::new(&deployment, server_parts, idle_timeout, log);
    // Periodic work is spread over processes that started together, where that is configured.
    let jitter_seed = operator.recovery.map(|_| process_seed);
    let mut tasks = Tasks::new(dispatcher.clone(), pool, process_seed, jitter_seed);
    if let Some(broker) = broker {
        tasks.spawn_broker(broker, MAX_LINK_BACKLOG)?;
    }
    let site = Site { deployment: &deployment, operator: &operator, process_seed, log };
    site.start_recovery(&dispatcher, start.content.settings_hash(), cores);
    let store = site.state_dir().map(|dir| Store::start(dir, log)).transpose()?;
    let membership = site.start_membership(&dispatcher, store.clone())?;
    let changes = ChangeDriver::new(start, policy, deployment.seed, store.clone());
    let running = changes.running();
    let queue = Arc::new(RequestQueue::default());
    let seed = deployment.seed;
    let handler = RequestHandler { queue: queue.clone(), dispatcher: dispatcher.clone(), policy, seed };
    if let Some(path) = &operator.changes.control_socket {
        let handler = handler.clone();
        control_socket::listen(path, Arc::new(move |request| handler.handle(request)), log)?;
    }
    let addresses = Arc::new(PeerAddresses::new(&deployment, agent_link.clone(), upstream_links.clone()));
    info!(log, "started"; "name" => &deployment.name, "listen" => %deployment.listen);

    let shutdown = Shutdown::new(membership.clone(), store, deployment.shutdown_grace);
    tasks.spawn_control_loop(ControlLoop {
        dispatcher,
        queue,
        addresses: addresses.clone(),
        membership: membership.clone(),
        shutdown,
        changes,
        signals: signals.handle(),
    })?;
    tasks.spawn_agent(agent_link, addresses.clone(), running.clone(), seed)?;
    tasks.spawn_upstream(upstream_links, &addresses)?;
    tasks.spawn_load_reports(deployment.name.clone(), addresses)?;
    tasks.spawn_sweep()?;
    tasks.spawn_listener(listener)?;
    Ok(SignalLoop { signals, handler, running, membership, log: log.clone() })
}

/// What parts need to know of the process that they start in.
struct Site<'a> {
    deployment: &'a Deployment,
    operator: &'a OperatorConfig,
    process_seed: u64,
    log: &'a Logger,
}

impl Site<'_> {
    fn state_dir(&self) -> Option<&Path> {
        self.operator.changes.state_dir.as_deref()
    }

    /// Recovery from a snapshot of learned values, where that is configured.
    fn start_recovery(&self, dispatcher: &Dispatcher, settings: u64, cores: f64) {
        let Some(terms) = self.operator.recovery else { return };
        let state_dir = self.state_dir();
        let config = RecoveryConfig {
            name: self.deployment.name.clone(),
            settings_hash: settings,
            cores,
            memory_mb: self.deployment.memory_mb,
            clocks: read_clocks(),
            settings: terms,
            snapshot: state_dir.and_then(|dir| read_learned(dir, self.log)),
            seed: self.process_seed,
            persistent: state_dir.is_some(),
        };
        dispatcher.with(|core, outbound, now| {
            core.start_recovery(now, RecoveryTracker::new(now, config), outbound)
        });
    }

    /// Membership among the other backends, where that is configured.
    fn start_membership(
        &self, dispatcher: &Arc<Dispatcher>, store: Option<Store>,
    ) -> Result<Option<Arc<MembershipService>>, SettingsError> {
        let Some(file) = &self.operator.members else { return Ok(None) };
        let state_dir = self.state_dir();
        let config = MembershipConfig {
            name: &self.deployment.name,
            file,
            persisted: state_dir.and_then(|dir| read_members(dir, self.log)),
            seed: self.process_seed,
            fleet: self.operator.fleet.as_ref().zip(state_dir),
        };
        let (membership, socket) = MembershipService::open(config, self.log)?;
        membership.start(socket, dispatcher, store)?;
        Ok(Some(membership))
    }
}
