//! Coroutines of the daemon, with one function to start each.

use crate::change::RunningContent;
use crate::connection::{AgentConnection, BrokerConnection, SidecarConnection, UpstreamConnection};
use crate::control_loop::ControlLoop;
use crate::dispatcher::Dispatcher;
use crate::load_report::send_load_reports;
use crate::operator::BrokerSetup;
use crate::peer_addresses::PeerAddresses;
use asterrill::Us;
use asterrill_engine::UpstreamLinkId;
use asterrill_net::{
    listen, now, run_connection, run_link, spawn, wait_until, Backoff, BufferPool, ConnectionEnd,
    ConnectionPermit, Outbox, TcpListener, TcpStream,
};
use asterrill_protocol::{agent, sidecar, upstream};
use asterrill_recovery::phase;
use nanorand::{Rng, WyRand};
use std::io;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of bytes waiting to be written to a sidecar; more than all its pending answers together.
const MAX_SIDECAR_BACKLOG_BYTES: usize = 192 * 1024;
/// Interval between two sweeps of idle connections, in microseconds.
const SWEEP_INTERVAL_US: Us = 100_000;

/// Minimum and maximum backoff before a link is connected again.
struct BackoffRange {
    min: Duration,
    max: Duration,
}

const AGENT_BACKOFF: BackoffRange =
    BackoffRange { min: Duration::from_millis(10), max: Duration::from_secs(1) };
const UPSTREAM_BACKOFF: BackoffRange =
    BackoffRange { min: Duration::from_millis(10), max: Duration::from_millis(200) };
const REPORT_BACKOFF: BackoffRange =
    BackoffRange { min: Duration::from_millis(50), max: Duration::from_secs(1) };

/// Starter of coroutines, with the resources that they share.
pub struct Tasks {
    dispatcher: Arc<Dispatcher>,
    pool: BufferPool,
    rng: WyRand,
    /// The seed that spreads the periodic work of processes started at the same time; `None` disables the jitter.
    jitter_seed: Option<u64>,
}

impl Tasks {
    /// Creates the starter for a dispatcher. `seed` determines the jitter of backoffs.
    pub fn new(dispatcher: Arc<Dispatcher>, pool: BufferPool, seed: u64, jitter_seed: Option<u64>) -> Tasks {
        Tasks { dispatcher, pool, rng: WyRand::new_seed(seed), jitter_seed }
    }

    fn backoff(&mut self, range: &BackoffRange) -> Backoff {
        Backoff::new(range.min, range.max, self.rng.generate())
    }

    /// Starts the link to the broker from which queues are consumed.
    pub fn spawn_broker(&mut self, broker: BrokerSetup, max_backlog: usize) -> io::Result<()> {
        let BrokerSetup { queues, addresses, reconnect_backoff } = broker;
        let outbox = Outbox::new(&self.pool, max_backlog);
        self.dispatcher.attach_queues(queues, outbox.clone());
        let min = Duration::from_micros(reconnect_backoff.min);
        let max = Duration::from_micros(reconnect_backoff.max);
        let backoff = self.backoff(&BackoffRange { min, max });
        let (dispatcher, pool) = (self.dispatcher.clone(), self.pool.clone());
        spawn("broker", move || {
            run_link(&addresses, &outbox, &pool, true, backoff, &mut BrokerConnection { dispatcher })
        })
    }

    /// Starts the control loop, which ends the program after the drain.
    pub fn spawn_control_loop(&mut self, control_loop: ControlLoop) -> io::Result<()> {
        spawn("clock", move || control_loop.run())
    }

    /// Starts the link to the agent.
    pub fn spawn_agent(
        &mut self, outbox: Outbox, addresses: Arc<PeerAddresses>, running: Arc<RunningContent>, seed: u64,
    ) -> io::Result<()> {
        let backoff = self.backoff(&AGENT_BACKOFF);
        let (dispatcher, pool) = (self.dispatcher.clone(), self.pool.clone());
        spawn("agent", move || {
            let build_server = move |at, cold| {
                let configuration = running.get().configuration;
                asterrill_settings::server_parts(at, seed, &configuration, Some(cold)).ok()
            };
            let mut connection = AgentConnection {
                dispatcher,
                out: outbox.clone(),
                notices: agent::Reader::default(),
                build_server: Box::new(build_server),
                received_notice: false,
            };
            run_link(&addresses.agent, &outbox, &pool, true, backoff, &mut connection);
        })
    }

    /// Starts the links to the upstream, if there is one.
    pub fn spawn_upstream(&mut self, outboxes: Vec<Outbox>, addresses: &PeerAddresses) -> io::Result<()> {
        let Some(address) = &addresses.upstream else { return Ok(()) };
        for (index, outbox) in outboxes.into_iter().enumerate() {
            let backoff = self.backoff(&UPSTREAM_BACKOFF);
            let (dispatcher, pool, address) = (self.dispatcher.clone(), self.pool.clone(), address.clone());
            spawn("upstream", move || {
                let mut connection = UpstreamConnection {
                    dispatcher,
                    out: outbox.clone(),
                    link: UpstreamLinkId(index),
                    replies: upstream::Reader::default(),
                    received_reply: false,
                };
                run_link(&address, &outbox, &pool, false, backoff, &mut connection);
            })?;
        }
        Ok(())
    }

    /// Starts the load reports to the name service.
    pub fn spawn_load_reports(&mut self, name: String, addresses: Arc<PeerAddresses>) -> io::Result<()> {
        let backoff = self.backoff(&REPORT_BACKOFF);
        let (dispatcher, jitter_seed) = (self.dispatcher.clone(), self.jitter_seed);
        spawn("naming", move || {
            send_load_reports(&dispatcher, &name, &addresses.name_service, backoff, jitter_seed)
        })
    }

    /// Starts the periodic sweep of idle connections.
    pub fn spawn_sweep(&mut self) -> io::Result<()> {
        let (dispatcher, jitter_seed) = (self.dispatcher.clone(), self.jitter_seed);
        spawn("sweep", move || {
            wait_until(now() + jitter_seed.map_or(0, |seed| phase(seed, "sweep", SWEEP_INTERVAL_US)));
            loop {
                wait_until(now() + SWEEP_INTERVAL_US);
                dispatcher.sweep_connections();
            }
        })
    }

    /// Starts the listener that accepts connections of sidecars.
    pub fn spawn_listener(&mut self, listener: TcpListener) -> io::Result<()> {
        let dispatcher = self.dispatcher.clone();
        let log = dispatcher.log.clone();
        spawn("listener", move || {
            listen(
                listener,
                &dispatcher.listener,
                dispatcher.connection_limit.clone(),
                log,
                || dispatcher.evict_idle(),
                |stream, permit| accept(&dispatcher, stream, permit),
            )
        })
    }
}

/// Starts the coroutine of a sidecar connection.
fn accept(dispatcher: &Arc<Dispatcher>, stream: TcpStream, permit: ConnectionPermit) {
    // The connection is registered here, so that it can be evicted as soon as the next one finds no free slot.
    let outbox = Outbox::new(&dispatcher.pool, MAX_SIDECAR_BACKLOG_BYTES);
    let conn = dispatcher.connection_opened(outbox.clone());
    let task_dispatcher = dispatcher.clone();
    let spawned = spawn("sidecar", move || {
        let frames = sidecar::Reader::default();
        let mut connection = SidecarConnection {
            dispatcher: task_dispatcher.clone(),
            conn,
            frames,
            has_received_frame: false,
        };
        let end = run_connection(&stream, &outbox, &task_dispatcher.pool, &mut connection);
        task_dispatcher.connection_closed(conn, end == ConnectionEnd::Broken);
        drop(stream);
        drop(permit);
    });
    if spawned.is_err() {
        dispatcher.connection_closed(conn, true);
    }
}
