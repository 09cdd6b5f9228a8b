//! asterrilld: one backend. Starts the parts, waits for signals, ends with code 0 after the notice to leave.

mod agent_session;
mod change;
mod connection;
mod control;
mod core;
mod dispatcher;
mod ids;
mod load_report;
mod membership;
mod name_table;
mod operator;
mod outbound;
mod queues;
mod recovery;
mod service_stats;
mod sidecar_registry;
mod stats;
mod store;
#[cfg(test)]
mod tests;
mod upstream;

use crate::change::{prepare, refused, Asked, Changes, Content, Glance, Pause, Prepared, Running, Told};
use crate::change::{Wanted, What};
use crate::connection::{AgentConnection, BrokerConnection, SidecarConnection, UpstreamConnection};
use crate::control::Request;
use crate::core::Core;
use crate::dispatcher::{buffers, Dispatcher};
use crate::ids::ConnectionId;
use crate::load_report::send_load_reports;
use crate::membership::{MembershipConfig, MembershipService};
use crate::recovery::{RecoveryConfig, RecoveryTracker};
use crate::store::{read_learned, read_members, Store};
use asterrill::Us;
use asterrill_net::{
    listen, now, run_connection, run_link, spawn, wait_until, yield_to_others, Address, Backoff, BufferPool,
    ConnectionEnd, Outbox,
};
use asterrill_operator_config::{LogFormat, OperatorConfig};
use asterrill_protocol::{agent, sidecar};
use asterrill_recovery::{phase, ClockReading};
use asterrill_rollout::{choose_start, RolledBack, StageOptions, StartDecision};
use asterrill_settings::{Deployment, SettingsError};
use nanorand::{Rng, WyRand};
use signal_hook::consts::{SIGHUP, SIGTERM, SIGUSR1};
use signal_hook::iterator::{Handle, Signals};
use slog::{info, o, warn, Drain, Logger};
use std::process::ExitCode;
use std::sync::mpsc::{sync_channel, SyncSender};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

const KEPT_BACK: u64 = 16; // descriptors: 13 are in use without a sidecar or a link below
const BELOW: u64 = 8; // of the descriptors, the share of one in so many for links below
const LEAST: u64 = 2; // links below, so that a call can go by another than the one before
const MOST: u64 = 1_024; // and no more than these, each has its coroutine
const LINE: usize = 192 * 1024; // bytes that may wait for a sidecar: more than all its answers at once
const LINK: usize = 1024 * 1024; // bytes that may wait for the agent or the layer below
const SWEEP: Us = 100_000; // between looks at idle connections
const LOOK: Us = 10_000_000; // the clock goes round at least this often
const LATE: Us = 20_000; // a clock this late tells of a pause: what has arrived meanwhile is read first
const SETTLE: Us = 5_000; // time for that
const CLOSING: Us = 70_000; // for all connections to be closed on both sides, before the kill

fn main() -> ExitCode {
    // A panic is a defect here. What is left would serve without one of its parts: better to start anew.
    std::panic::set_hook(Box::new(|panic| {
        eprintln!("asterrilld: {panic}");
        std::process::abort();
    }));
    let arguments = <Arguments as clap::Parser>::parse();
    let operator = match arguments.file.as_deref().map(operator::read).transpose() {
        Ok(operator) => operator.unwrap_or_default(),
        Err(fault) => {
            eprintln!("asterrilld: {fault}");
            return ExitCode::FAILURE;
        }
    };
    let (log, guard) = logs(operator.0.changes.log_format);
    let done = run(&log, &arguments, operator);
    drop(log);
    drop(guard);
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("asterrilld: {fault}");
            ExitCode::FAILURE
        }
    }
}

/// One backend: RPCs of sidecars, and of the queues that an operator's file names, under one admission. What it
/// needs to know of its place among the others is in the JSON file that the environment variable GW_CONFIG names.
#[derive(clap::Parser, Debug)]
#[command(version)]
struct Arguments {
    /// The operator's file (docs/operate/amqp.md); without it sidecars alone are served
    #[arg(long, value_name = "PATH")]
    file: Option<std::path::PathBuf>,
    /// Only checks both files; nothing is started
    #[arg(long)]
    check: bool,
}

/// The log on standard error, written by a thread of its own.
fn logs(form: LogFormat) -> (Logger, slog_async::AsyncGuard) {
    let (drain, guard) = match form {
        LogFormat::Plain => {
            let plain = slog_term::PlainDecorator::new(std::io::stderr());
            let drain = slog_term::FullFormat::new(plain).build().fuse();
            slog_async::Async::new(drain).chan_size(512).build_with_guard()
        }
        LogFormat::Json => {
            let drain = slog_json::Json::default(std::io::stderr()).fuse();
            slog_async::Async::new(drain).chan_size(512).build_with_guard()
        }
    };
    (Logger::root(drain.fuse(), o!()), guard)
}

/// Reads the configuration file; what it has in common with what runs is shared with that.
fn told(running: Option<&Content>) -> Result<Deployment, SettingsError> {
    let path = std::env::var("GW_CONFIG").map_err(|_| SettingsError::new("GW_CONFIG is not set".into()))?;
    let file = std::fs::File::open(&path).map_err(|e| SettingsError::new(format!("{path}: {e}")))?;
    let read = asterrill_settings::Deployment::from_reader(file, running.map(|running| &running.entries));
    read.map_err(|fault| SettingsError::new(format!("{path}: {fault}")))
}

fn run(log: &Logger, arguments: &Arguments, operator: (OperatorConfig, String)) -> Result<(), SettingsError> {
    let mut to = told(None)?;
    let (start, number, undone) = begin(&mut to, operator, log)?;
    let operator = start.file.clone();
    let server = asterrill_settings::server_parts(now(), to.seed, &start.entries, None)?;
    let bodies = buffers(to.memory_mb) as u64;
    let broker = operator::queues(now(), &operator, &start.entries, to.seed, bodies)?;
    if let Some(members) = &operator.members {
        membership::check(&to.name, members)?;
    }
    if arguments.check {
        return Ok(());
    }
    asterrill_net::start_worker()?;
    let listener =
        asterrill_net::bind(to.listen).map_err(|e| SettingsError::new(format!("{}: {e}", to.listen)))?;
    let mut signals = Signals::new([SIGTERM, SIGUSR1, SIGHUP])?;
    // Files may be copied: no two processes draw the same, nor one after a restart.
    let own = asterrill_recovery::seed(to.seed, &to.name, now(), std::process::id());
    let mut chance = WyRand::new_seed(own);
    // Two pools, so that what is held can't keep what is owed from being written.
    let [pool, held] = [(); 2].map(|()| BufferPool::new(buffers(to.memory_mb)));
    // Where callers close idle connections by themselves; not told, none is idle too long.
    let idle = start.entries.globals().idle_timeout;
    let idle = if idle > 0 { idle } else { Us::MAX };
    let agent_out = Outbox::new(&pool, LINK);
    let links = links(to.sockets);
    let below: Vec<Outbox> =
        to.upstream.iter().flat_map(|_| (0..links).map(|_| Outbox::new(&pool, LINK))).collect();
    let cores = server.cores;
    let core = Core::new(now(), server, held.clone(), below.len());
    let room = room(to.sockets);
    let (out, links) = (agent_out.clone(), below.clone());
    let pools = [pool.clone(), held];
    let dispatcher = Arc::new(Dispatcher::new(core, out, links, room, idle, pools, log.clone()));
    if let Some((queues, addresses, pause)) = broker {
        let out = Outbox::new(&pool, LINK);
        dispatcher.attach_queues(queues, out.clone());
        let (dispatcher, pool) = (dispatcher.clone(), pool.clone());
        let (least, most) = (Duration::from_micros(pause.0), Duration::from_micros(pause.1));
        let pause = Backoff::new(least, most, chance.generate());
        spawn("broker", move || {
            run_link(&addresses, &out, &pool, true, pause, &mut BrokerConnection { dispatcher })
        })?;
    }
    if let Some(terms) = operator.recovery {
        let (settings, moment) = (start.settings(), moment());
        let state = operator.changes.state_dir.as_deref();
        let kept = state.and_then(|dir| read_learned(dir, log));
        let (name, lasting, seed, memory_mb) = (to.name.clone(), state.is_some(), own, to.memory_mb);
        let begun = RecoveryConfig {
            name,
            settings,
            cores,
            memory_mb,
            moment,
            terms,
            snapshot: kept,
            seed,
            persistent: lasting,
        };
        dispatcher
            .with(|core, outbound, now| core.start_recovery(now, RecoveryTracker::new(now, begun), outbound));
    }
    let spread = operator.recovery.map(|_| own);
    let orders = Arc::new(Orders::default());
    let store = operator.changes.state_dir.as_deref().map(|dir| Store::start(dir, log)).transpose()?;
    let terms = change::Terms {
        probation: operator.changes.probation,
        factor: operator.changes.max_change_factor as f64,
    };
    let peers = match &operator.members {
        Some(file) => {
            let kept = operator.changes.state_dir.as_deref().and_then(|dir| read_members(dir, log));
            let fleet = operator.fleet.as_ref().zip(operator.changes.state_dir.as_deref());
            let (peers, socket) = MembershipService::open(
                MembershipConfig { name: &to.name, file, persisted: kept, seed: own, fleet },
                log,
            )?;
            peers.start(socket, &dispatcher, store.clone())?;
            Some(peers)
        }
        None => None,
    };
    let changes = Changes::new(start, number, undone, terms, to.seed, store.clone());
    let running = changes.running();
    if let Some(path) = &operator.changes.control_socket {
        let (orders, dispatcher, seed) = (orders.clone(), dispatcher.clone(), to.seed);
        let want = move |request| orders.request(request, &dispatcher, terms, seed);
        control::listen(path, Arc::new(want), log)?;
    }
    let places = Arc::new(Places {
        agent: Address::new(to.agent),
        naming: Address::new(to.name_service),
        records: to.upstream.map(Address::new),
        links: std::iter::once(&agent_out).chain(&below).cloned().collect(),
    });
    info!(log, "started"; "name" => &to.name, "listen" => %to.listen);

    {
        let (dispatcher, orders, places) = (dispatcher.clone(), orders.clone(), places.clone());
        let (handle, stop, peers) = (signals.handle(), to.shutdown_grace, peers.clone());
        let leaving = Leaving { peers, store, stop, came: false };
        spawn("clock", move || clock(&dispatcher, &orders, &places, leaving, changes, &handle))?;
    }
    {
        let (dispatcher, seed, running) = (dispatcher.clone(), to.seed, running.clone());
        let (pool, pause) = (pool.clone(), Backoff::new(ms(10), ms(1000), chance.generate()));
        let places = places.clone();
        spawn("agent", move || {
            let make = move |at, cold| {
                asterrill_settings::server_parts(at, seed, &running.get().entries, Some(cold)).ok()
            };
            let (out, make) = (agent_out.clone(), Box::new(make));
            let mut party =
                AgentConnection { dispatcher, out, notices: agent::Reader::default(), make, useful: false };
            run_link(&places.agent, &agent_out, &pool, true, pause, &mut party);
        })?;
    }
    for (i, out) in below.into_iter().enumerate() {
        let (dispatcher, pool, pause) =
            (dispatcher.clone(), pool.clone(), Backoff::new(ms(10), ms(200), chance.generate()));
        let Some(records) = places.records.clone() else { break };
        spawn("below", move || {
            let (link, replies) =
                (asterrill_engine::UpstreamLinkId(i), asterrill_protocol::upstream::Reader::default());
            let mut party = UpstreamConnection { dispatcher, out: out.clone(), link, replies, useful: false };
            run_link(&records, &out, &pool, false, pause, &mut party);
        })?;
    }
    {
        let (dispatcher, pause) = (dispatcher.clone(), Backoff::new(ms(50), ms(1000), chance.generate()));
        let (name, places) = (to.name.clone(), places.clone());
        spawn("naming", move || send_load_reports(&dispatcher, &name, &places.naming, pause, spread))?;
    }
    {
        let dispatcher = dispatcher.clone();
        spawn("sweep", move || {
            wait_until(now() + spread.map_or(0, |seed| phase(seed, "sweep", SWEEP)));
            loop {
                wait_until(now() + SWEEP);
                dispatcher.sweep_connections();
            }
        })?;
    }
    {
        let (dispatcher, log) = (dispatcher.clone(), log.clone());
        let crowd = dispatcher.clone();
        spawn("listener", move || {
            listen(
                listener,
                &crowd.listener_gate,
                dispatcher.capacity.clone(),
                log,
                || crowd.evict_idle(),
                |stream, place| {
                    // Known before the next one may find no room.
                    let out = Outbox::new(&dispatcher.pool, LINE);
                    let conn: ConnectionId = dispatcher.connection_opened(out.clone());
                    let (dispatcher, parted) = (dispatcher.clone(), dispatcher.clone());
                    let taken = spawn("sidecar", move || {
                        let frames = sidecar::Reader::default();
                        let mut peer = SidecarConnection {
                            dispatcher: dispatcher.clone(),
                            conn,
                            frames,
                            has_spoken: false,
                        };
                        let end = run_connection(&stream, &out, &dispatcher.pool, &mut peer);
                        dispatcher.connection_closed(conn, end == ConnectionEnd::Broken);
                        drop(stream);
                        drop(place);
                    });
                    if taken.is_err() {
                        parted.connection_closed(conn, true);
                    }
                },
            )
        })?;
    }
    for signal in signals.forever() {
        match signal {
            SIGTERM => orders.lock().leave = true,
            SIGHUP => {
                let read =
                    told(Some(&running.get())).map(|to| orders.reread(to, &running, &dispatcher, terms));
                orders.lock().reload = Some(read);
            }
            _ => {
                info!(log, "counters"; "of" => dispatcher.stats_line(), "members" => peers.as_ref().map(|p| p.stats_line()))
            }
        }
        dispatcher.clock.notify();
    }
    info!(log, "ended"; "counters" => dispatcher.stats_line());
    Ok(())
}

/// Links below, and connections, that there is room for with so many descriptors.
fn links(sockets: u64) -> u64 {
    (sockets / BELOW).clamp(LEAST, MOST)
}
fn room(sockets: u64) -> usize {
    sockets.saturating_sub(KEPT_BACK + links(sockets)).max(1) as usize
}

/// Now, by all clocks that there are. What can't be read counts as not told.
fn moment() -> ClockReading {
    let read = |path: &str| std::fs::read_to_string(path).unwrap_or_default();
    let up = read("/proc/uptime").split(' ').next().and_then(|s| s.parse::<f64>().ok()).unwrap_or(0.0);
    let boot = read("/proc/sys/kernel/random/boot_id");
    let boot =
        if boot.trim().is_empty() || up <= 0.0 { 0 } else { asterrill_recovery::seed(0, boot.trim(), 0, 0) };
    ClockReading { wall: now(), uptime: (up * 1e6) as Us, boot_id: boot }
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// What signals asked for: taken on a thread of their own, carried out on the worker.
#[derive(Default)]
struct Orders(Mutex<Order>);

#[derive(Default)]
struct Order {
    leave: bool,
    reload: Option<Result<Reread, SettingsError>>,
    /// Who waits to be told what a change is to be checked against.
    glances: Vec<SyncSender<Glance>>,
    /// What operators want, and who waits for the answer.
    wants: Vec<(Wanted, SyncSender<Told>)>,
    /// Nobody looks at orders any more.
    over: bool,
}

impl Order {
    /// Something is to be done.
    fn waits(&self) -> bool {
        self.leave || self.reload.is_some() || !self.glances.is_empty() || !self.wants.is_empty()
    }
}

/// A configuration that was read again, and how its entries stood against what ran then, if they differ.
struct Reread {
    to: Deployment,
    prepared: Option<Result<Prepared, Told>>,
}

const WANTS: usize = 16; // that wait at a time

/// A version with its number, and what was undone.
type Begin = (Content, u64, Vec<RolledBack>);

/// What a start begins with: the configuration as it was told, or the last good version if that was on probation
/// when the process before ended, or had been undone.
fn begin(
    to: &mut Deployment, (file, text): (OperatorConfig, String), log: &Logger,
) -> Result<Begin, SettingsError> {
    let told = Content::new(to.configuration.clone(), file, &text);
    let Some(dir) = told.file.changes.state_dir.clone() else { return Ok((told, 1, Vec::new())) };
    std::fs::create_dir_all(&dir).unwrap_or_default(); // one that can't be made shows when it is written
    match choose_start(&told.hash(), store::read_versions(&dir, log)) {
        StartDecision::Configured { number, rolled_back: undone } => Ok((told, number, undone)),
        StartDecision::LastGood { good, rolled_back: undone, why } => match Content::recall(&good) {
            Ok(content) => {
                info!(log, "started on the last good version"; "version" => good.number, "why" => why);
                let frame = content.entries.globals();
                (to.memory_mb, to.sockets, to.configuration) =
                    (frame.memory_mb, frame.sockets, content.entries.clone());
                Ok((content, good.number, undone))
            }
            Err(fault) => {
                warn!(log, "the last good version can't be used"; "why" => %fault);
                Ok((told, good.number + 1, undone))
            }
        },
    }
}

const READINGS: usize = 4; // of a change that another one crossed
const PATIENCE: Duration = Duration::from_secs(5); // the worker answers by then

impl Orders {
    /// Carries a request out: a change is read and checked here, on the thread of who asks.
    fn request(&self, request: Request, dispatcher: &Dispatcher, terms: change::Terms, seed: u64) -> Told {
        let ring = || dispatcher.clock.notify();
        let read = |asked| match self.glance(ring) {
            Some(glance) => prepare(&glance, asked, terms, seed),
            None => Err(refused("nobody answers")),
        };
        let (told, is_change) = match request {
            Request::Diff(asked) => (read(asked).map_or_else(|told| told, |prepared| prepared.told()), true),
            Request::Stage(asked) => {
                let stage = |prepared| self.ask(Wanted::Stage(Box::new(prepared)), ring);
                let mut again = asked.short().then(|| asked.clone());
                let mut told = read(asked).map_or_else(|told| told, stage);
                // Another version came into force meanwhile, of a signal say: it is read against that one.
                for _ in 0..READINGS {
                    let Some(asked) = again.take_if(|_| told["crossed"] == true) else { break };
                    again = Some(asked.clone());
                    told = read(asked).map_or_else(|told| told, stage);
                }
                (told, true)
            }
            Request::Do(wanted) => {
                let is_change = matches!(wanted, Wanted::Apply { .. });
                (self.ask(wanted, ring), is_change)
            }
        };
        if is_change && told["ok"] != serde_json::json!(true) {
            dispatcher.with(|core, _, _| core.stats_mut().changes_refused += 1);
        }
        told
    }

    /// A configuration was read again: what differs from what runs is checked here, if anything does.
    fn reread(
        &self, to: Deployment, running: &Running, dispatcher: &Dispatcher, terms: change::Terms,
    ) -> Reread {
        if to.configuration.digest() == running.get().entries.digest() {
            return Reread { to, prepared: None };
        }
        let what = What::Entries(to.configuration.clone());
        let asked = Asked { what, base: None, options: StageOptions::default() };
        let glance = self.glance(|| dispatcher.clock.notify());
        let prepared = glance.map(|glance| prepare(&glance, asked, terms, to.seed));
        Reread { to, prepared }
    }

    /// What a change is to be read and checked against; none where the worker does not answer.
    fn glance(&self, ring: impl Fn()) -> Option<Glance> {
        let (told, answer) = sync_channel(1);
        {
            let mut order = self.lock();
            if order.over || order.glances.len() >= WANTS {
                return None;
            }
            order.glances.push(told);
        }
        ring();
        answer.recv_timeout(PATIENCE).ok()
    }

    /// Brings what an operator wants to the worker and waits for the answer, so long at most.
    fn ask(&self, wanted: Wanted, ring: impl Fn()) -> Told {
        let (told, answer) = sync_channel(1);
        {
            let mut order = self.lock();
            if order.over {
                return refused("the server leaves");
            }
            if order.wants.len() >= WANTS {
                return refused("too many wait to be answered");
            }
            order.wants.push((wanted, told));
        }
        ring();
        answer.recv_timeout(PATIENCE).unwrap_or_else(|_| refused("no answer within 5 s: ask for the status"))
    }
    fn lock(&self) -> MutexGuard<'_, Order> {
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// Where the other sides are, and the links to them.
struct Places {
    agent: Address,
    naming: Address,
    records: Option<Address>,
    links: Vec<Outbox>, // the agent's first
}

impl Places {
    /// Goes over to where the other sides are now.
    fn go_over(&self, dispatcher: &Dispatcher, to: &Deployment) {
        if self.agent.set(to.agent) {
            self.links.iter().take(1).for_each(Outbox::close_now);
        }
        if let (Some(records), Some(at)) = (&self.records, to.upstream) {
            if records.set(at) {
                dispatcher.with(|core, outbound, _| core.upstream_moved(outbound));
            }
        }
        self.naming.set(to.name_service);
        self.links.iter().for_each(Outbox::wake_owner);
        dispatcher.load_report_bell.notify();
    }
}

/// The configuration was read again. One that can't be used changes nothing.
fn reload(
    dispatcher: &Dispatcher, places: &Places, stop: &mut Us, read: Result<Reread, SettingsError>,
) -> Option<(Deployment, Option<Result<Prepared, Told>>)> {
    let fine = read.is_ok();
    dispatcher.with(|core, _, _| {
        core.stats_mut().reloads += u64::from(fine);
        core.stats_mut().reloads_failed += u64::from(!fine);
    });
    match read {
        Ok(Reread { to, prepared }) => {
            *stop = to.shutdown_grace;
            places.go_over(dispatcher, &to);
            info!(dispatcher.log, "the configuration was read again"; "agent" => %to.agent, "naming" => %to.name_service);
            Some((to, prepared))
        }
        Err(fault) => {
            warn!(dispatcher.log, "the configuration stays as it was"; "why" => %fault);
            None
        }
    }
}

/// What is done at the notice to leave.
struct Leaving {
    peers: Option<Arc<MembershipService>>,
    store: Option<Store>,
    stop: Us,
    came: bool,
}

impl Leaving {
    /// What was learned is written down, at its beat or since the notice came.
    fn save_learned(&self, dispatcher: &Dispatcher, leaving: bool) {
        if let Some(learned) = dispatcher.with(|core, _, now| core.take_snapshot(now, moment, leaving)) {
            self.store.iter().for_each(|store| store.save_learned(learned.clone()));
        }
    }
    /// The notice came. Of the moment before it leaves: what a drain does to the figures is not worth learning.
    fn notice(&mut self, dispatcher: &Dispatcher) {
        let first = !std::mem::replace(&mut self.came, true);
        self.save_learned(dispatcher, first);
        self.peers.iter().for_each(|peers| peers.leave());
        dispatcher.with(|core, outbound, now| core.drain(now, self.stop, outbound));
    }
}

/// Between two slices of a change: all others get their turn, time passes for the core, and the notice to leave is not
/// held up. It is told to the module as it is in force; the slices that are left go in after it.
fn between(dispatcher: &Dispatcher, orders: &Orders, leaving: &mut Leaving, came: bool) {
    yield_to_others();
    if !leaving.came && (came || orders.lock().leave) {
        leaving.notice(dispatcher);
    }
    pass(dispatcher);
}

/// Lets time pass for the core, if something is due.
fn pass(dispatcher: &Dispatcher) {
    dispatcher.with(|core, outbound, now| {
        if core.next_deadline().is_some_and(|at| at <= now) {
            core.tick(now, outbound);
        }
    });
}

/// Lets time pass for the core, and ends the program once it has left.
fn clock(
    dispatcher: &Dispatcher, orders: &Orders, places: &Places, mut leaving: Leaving, mut changes: Changes,
    handle: &Handle,
) {
    let peers = leaving.peers.clone();
    dispatcher.clock.register();
    dispatcher.with(|core, outbound, now| core.start(now, outbound));
    loop {
        let at = dispatcher.arm_clock(changes.next());
        // Who rang while a change went in slice by slice was not waited for.
        wait_until(if orders.lock().waits() { 0 } else { at.min(now() + LOOK) });
        let order = std::mem::take(&mut *orders.lock());
        for told in order.glances {
            told.try_send(changes.glance(dispatcher)).unwrap_or_default();
        }
        let reread = order.reload.and_then(|read| reload(dispatcher, places, &mut leaving.stop, read));
        let pause: &mut Pause<'_> = &mut |dispatcher| between(dispatcher, orders, &mut leaving, order.leave);
        if let Some((to, prepared)) = reread {
            changes.reread(dispatcher, to, prepared, pause);
        }
        for (wanted, told) in order.wants {
            let answer = match (&wanted, &peers) {
                (Wanted::Members, Some(peers)) => peers.describe_members(),
                (Wanted::Fleet, Some(peers)) => peers.describe_agreed(None),
                (Wanted::List(kind), Some(peers)) => peers.describe_agreed(Some(*kind)),
                (Wanted::Propose(proposal), Some(peers)) => {
                    peers.propose(proposal.clone(), told);
                    continue;
                }
                _ => changes.want(dispatcher, wanted, pause),
            };
            // Whoever asked may have gone meanwhile.
            told.try_send(answer).unwrap_or_default();
        }
        if order.leave {
            leaving.notice(dispatcher);
            changes.leave();
        } else {
            leaving.save_learned(dispatcher, false);
        }
        if now() > at.saturating_add(LATE) {
            wait_until(now() + SETTLE);
        }
        pass(dispatcher);
        changes.tick(dispatcher, &mut |dispatcher| between(dispatcher, orders, &mut leaving, false));
        if dispatcher.with(|core, _, _| core.is_drained()) {
            dispatcher.close_all();
            let until = now() + CLOSING;
            while !dispatcher.all_closed() && now() < until {
                wait_until(now() + SETTLE);
            }
            // Whoever waits for an answer is not kept waiting.
            *orders.lock() = Order { over: true, ..Order::default() };
            handle.close();
            return;
        }
    }
}
