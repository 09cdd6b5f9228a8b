//! Startup: loads and validates the configuration, then builds the components and starts their coroutines.

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

/// Maximum number of bytes queued for one link to the agent, the upstream or the broker.
const MAX_LINK_BACKLOG_BYTES: usize = 1024 * 1024;

/// Validated configuration of the process.
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
            membership::read_name_and_key(&deployment.name, members)?;
        }
        Ok(Config { deployment, start, operator, server_parts, broker })
    }

    fn policy(&self) -> RolloutPolicy {
        RolloutPolicy {
            probation: self.operator.changes.probation,
            max_change_factor: self.operator.changes.max_change_factor as f64,
        }
    }

    /// Returns the time in microseconds after which an idle connection is closed.
    ///
    /// This is the time after which callers close idle connections themselves; `Us::MAX` if they never do.
    fn idle_timeout(&self) -> Us {
        match self.start.content.configuration.globals().idle_timeout {
            0 => Us::MAX,
            timeout => timeout,
        }
    }
}

/// Dispatcher and the outboxes that it writes to.
struct ServingParts {
    dispatcher: Arc<Dispatcher>,
    /// Socket buffers.
    pool: BufferPool,
    agent_link: Outbox,
    upstream_links: Vec<Outbox>,
}

impl ServingParts {
    fn new(
        deployment: &Deployment, server_parts: ServerParts, idle_timeout: Us, log: &Logger,
    ) -> ServingParts {
        // Bodies have a pool of their own, so that queued bodies can't exhaust the buffers needed to write answers.
        let [pool, body_pool] = [(); 2].map(|()| BufferPool::new(buffers_per_pool(deployment.memory_mb)));
        let link = || Outbox::new(&pool, MAX_LINK_BACKLOG_BYTES);
        let link_count = if deployment.upstream.is_some() { upstream_links(deployment.sockets) } else { 0 };
        let agent_link = link();
        let upstream_links: Vec<Outbox> = (0..link_count).map(|_| link()).collect();
        let core = Core::new(now(), server_parts, body_pool.clone(), upstream_links.len());
        let dispatcher = Arc::new(Dispatcher::new(
            core,
            agent_link.clone(),
            upstream_links.clone(),
            max_connections(deployment.sockets, deployment.memory_mb),
            idle_timeout,
            [pool.clone(), body_pool],
            log.clone(),
        ));
        ServingParts { dispatcher, pool, agent_link, upstream_links }
    }
}

/// Runs one backend until it has shut down. With `--check`, only loads and validates the configuration.
///
/// # Errors
/// The configuration is invalid, or a file or socket can't be opened.
pub fn run(log: &Logger, arguments: &Arguments, operator_file: OperatorFile) -> Result<(), SettingsError> {
    let config = Config::load(operator_file, log)?;
    if arguments.check {
        return Ok(());
    }
    asterrill_net::start_worker()?;
    let listen = config.deployment.listen;
    let listener = asterrill_net::bind(listen)
        .map_err(|e| SettingsError::new(format!("can't listen on {listen}: {e}")))?;
    let signals = Signals::new([SIGTERM, SIGUSR1, SIGHUP])?;
    start(config, listener, signals, log)?.run();
    Ok(())
}

/// Builds the components and starts their coroutines. Returns the loop that waits for signals.
fn start(
    config: Config, listener: TcpListener, signals: Signals, log: &Logger,
) -> Result<SignalLoop, SettingsError> {
    let (policy, idle_timeout) = (config.policy(), config.idle_timeout());
    let Config { deployment, start, operator, server_parts, broker } = config;
    // The seed differs for every process and after each restart, even if several hosts use copies of the same files.
    let process_seed = asterrill_recovery::seed(deployment.seed, &deployment.name, now(), std::process::id());
    let cores = server_parts.cores;
    let ServingParts { dispatcher, pool, agent_link, upstream_links } =
        ServingParts::new(&deployment, server_parts, idle_timeout, log);
    // With [recovery] configured, periodic work of processes that started together is spread over time.
    let jitter_seed = operator.recovery.map(|_| process_seed);
    let mut tasks = Tasks::new(dispatcher.clone(), pool, process_seed, jitter_seed);
    if let Some(broker) = broker {
        tasks.spawn_broker(broker, MAX_LINK_BACKLOG_BYTES)?;
    }
    let context = ProcessContext { deployment: &deployment, operator: &operator, process_seed, log };
    context.start_recovery(&dispatcher, start.content.settings_hash(), cores);
    let store = context.state_dir().map(|dir| Store::start(dir, log)).transpose()?;
    let membership = context.start_membership(&dispatcher, store.clone())?;
    let changes = ChangeDriver::new(start, policy, deployment.seed, store.clone(), log);
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

/// Process-wide values that recovery and membership are started with.
struct ProcessContext<'a> {
    deployment: &'a Deployment,
    operator: &'a OperatorConfig,
    process_seed: u64,
    log: &'a Logger,
}

impl ProcessContext<'_> {
    fn state_dir(&self) -> Option<&Path> {
        self.operator.changes.state_dir.as_deref()
    }

    /// Starts recovery from a snapshot of learned values, if it is configured.
    fn start_recovery(&self, dispatcher: &Dispatcher, settings_hash: u64, cores: f64) {
        let Some(recovery) = self.operator.recovery else { return };
        let state_dir = self.state_dir();
        let config = RecoveryConfig {
            name: self.deployment.name.clone(),
            settings_hash,
            cores,
            memory_mb: self.deployment.memory_mb,
            clocks: read_clocks(),
            settings: recovery,
            snapshot: state_dir.and_then(|dir| read_learned(dir, self.log)),
            seed: self.process_seed,
            persistent: state_dir.is_some(),
        };
        dispatcher.with(|core, outbound, now| {
            core.start_recovery(now, RecoveryTracker::new(now, config), outbound)
        });
    }

    /// Joins the cluster of backends, if it is configured.
    fn start_membership(
        &self, dispatcher: &Arc<Dispatcher>, store: Option<Store>,
    ) -> Result<Option<Arc<MembershipService>>, SettingsError> {
        let Some(section) = &self.operator.members else { return Ok(None) };
        let state_dir = self.state_dir();
        let config = MembershipConfig {
            name: &self.deployment.name,
            section,
            persisted: state_dir.and_then(|dir| read_members(dir, self.log)),
            seed: self.process_seed,
            fleet: self.operator.fleet.as_ref().zip(state_dir),
        };
        let (membership, socket) = MembershipService::open(config, self.log)?;
        membership.start(socket, dispatcher, store)?;
        Ok(Some(membership))
    }
}
