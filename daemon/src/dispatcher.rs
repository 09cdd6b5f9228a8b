//! Where the core meets the sockets: each input is brought to it alone, and what it has written goes into the
//! outboxes. Nothing here waits, and nothing is decided.

use crate::core::Core;
use crate::ids::{ConnectionId, SidecarStream};
use crate::outbound::Outbound;
use crate::queues::QueueConsumers;
use crate::stats::Stats;
use asterrill::{FinalAnswer, RpcId, Us};
use asterrill_consensus::LeasedPolicy;
use asterrill_engine::UpstreamLinkId;
use asterrill_net::{
    monotonic_now, now, BufferPool, ConnectionLimit, ListenerHandle, Notify, Outbox, BUFFER_SIZE,
};
use asterrill_protocol::agent::{self, NoticeId};
use asterrill_protocol::sidecar::{self, ANSWER_OVERHEAD_BYTES};
use asterrill_protocol::upstream;
use slog::{info, warn, Logger};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard};

const HALF: Us = 1_500_000; // a frame that came by half is waited for so long
const FIRST: Us = 2_000_000; // a connection says something whole within this time, or is of no use
const NEW: Us = 100_000; // one this young may be about to say something, even at the cap
const SPARE: usize = 8; // of the connections there is room for, the share of one in so many kept free
const QUIET: Us = 1_000_000; // idle ones are asked to leave for that once they have been quiet so long
const LINES: u32 = 5; // of the log in a second about sidecars; more are counted only
const LEAVE: Us = 1_000_000; // a sidecar told that a connection is not wanted closes it within this time
const SLOW: Us = 10_000_000; // to take what is owed, once a connection is to be closed: then it is cut off
const BELOW: Us = 500_000; // an unused link below is closed before the other side does, or forgets it
const STALL: Us = 200_000; // a reply from below that stopped halfway is waited for so long

const BUFFERS: u64 = 6; // of the memory, a share of one in so many each for sockets and for bodies held

/// The buffers of each pool for so much memory.
pub fn buffers(memory_mb: u64) -> usize {
    (memory_mb * 1024 * 1024 / BUFFERS / BUFFER_SIZE as u64) as usize
}

/// A sidecar's connection.
struct Line {
    out: Outbox,
    since: Us,
    /// It has said something whole.
    heard: bool,
    halfway: Option<Us>,
    /// When the sidecar was told that it is not wanted any more.
    leaving: Option<Us>,
    /// Its place is wanted for another.
    crowded: bool,
}

/// Of how much use a connection is while it is idle.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Worth {
    /// It has said nothing, though it had time to.
    Mute,
    /// No run was ever made for it.
    Unproven,
    /// It may be about to say something.
    New,
    /// A sidecar's, whose next RPC may be on its way.
    Proven,
}

impl Line {
    fn worth(&self, proven: bool, now: Us) -> Worth {
        match (self.heard, proven) {
            (false, _) if self.since + NEW < now => Worth::Mute,
            (true, false) => Worth::Unproven,
            (false, _) => Worth::New,
            (true, true) => Worth::Proven,
        }
    }
    /// How long it may be quiet once room gets scarce.
    fn patience(&self) -> Us {
        if self.heard {
            QUIET
        } else {
            NEW
        }
    }
    /// When it last carried something, or came.
    fn used(&self) -> Us {
        self.out.last_used().max(self.since)
    }
}

/// The outboxes: what the core has written goes through here.
struct Ports {
    lines: BTreeMap<ConnectionId, Line>,
    /// Connections that are closed once nothing is owed on them, and since when that has been said to their drivers.
    ending: BTreeMap<ConnectionId, Option<Us>>,
    door: ListenerHandle,
    agent: Outbox,
    below: Vec<Outbox>,
    broker: Option<Outbox>,
    room: usize,              // for connections
    told: (Us, u32),          // the second in which so many lines about sidecars were logged
    stalled: Vec<Option<Us>>, // of each link below, since when a reply has come by half
    serving: Option<bool>,
    idle: Us,
    draining: bool,
    /// All connections are being closed, those that still come in as well.
    closing: bool,
    /// The version of the configuration that is in force, for the log.
    version: u64,
    scratch: Vec<u8>,
    log: Logger,
}

struct Inner {
    core: Core,
    ports: Ports,
    armed: Us,
    conns: u64,
    /// Until when, by the clock that nobody sets, the part that members told is good.
    lease: Us,
    /// The same of what the agreed lists say.
    policy_until: Us,
}

pub struct Dispatcher {
    inner: Mutex<Inner>,
    pub pool: BufferPool,
    /// Bodies of RPCs.
    held: BufferPool,
    /// For connections.
    pub capacity: ConnectionLimit,
    /// Of the listening socket.
    pub listener_gate: ListenerHandle,
    pub log: Logger,
    /// Rings when the clock is wanted earlier than it was set.
    pub clock: Notify,
    /// Rings when the name service is to be told something new.
    pub load_report_bell: Notify,
    /// Changes of the settings are taken: this one is not cut off from the others.
    pub changes_allowed: AtomicBool,
}

impl Dispatcher {
    pub fn new(
        core: Core, agent: Outbox, below: Vec<Outbox>, room: usize, idle: Us, pools: [BufferPool; 2],
        log: Logger,
    ) -> Dispatcher {
        let door = ListenerHandle::default();
        let ports = Ports {
            lines: BTreeMap::new(),
            ending: BTreeMap::new(),
            door: door.clone(),
            agent,
            room,
            told: (0, 0),
            stalled: vec![None; below.len()],
            below,
            broker: None,
            serving: None,
            idle,
            draining: false,
            closing: false,
            version: 1,
            scratch: Vec::with_capacity(512),
            log: log.clone(),
        };
        let ([pool, held], taken) = (pools, ConnectionLimit::new(room));
        let inner = Inner { core, ports, armed: Us::MAX, conns: 0, lease: Us::MAX, policy_until: Us::MAX };
        Dispatcher {
            inner: Mutex::new(inner),
            pool,
            held,
            capacity: taken,
            listener_gate: door,
            log,
            clock: Notify::default(),
            load_report_bell: Notify::default(),
            changes_allowed: AtomicBool::new(true),
        }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Messages of queues are taken in from now on, over this outbox.
    pub fn attach_queues(&self, queues: QueueConsumers, out: Outbox) {
        let mut inner = self.inner();
        inner.core.attach_queues(queues);
        inner.ports.broker = Some(out);
    }

    /// Brings one input to the core. Held for the time of the input only, and never over a wait.
    pub fn with<R>(&self, input: impl FnOnce(&mut Core, &mut dyn Outbound, Us) -> R) -> R {
        let mut inner = self.inner();
        let Inner { core, ports, armed, lease, policy_until, .. } = &mut *inner;
        let told = ports.serving;
        if *lease != Us::MAX && monotonic_now() > *lease {
            // Whatever it was told is not known any more: it was paused, or starved.
            *lease = Us::MAX;
            core.set_quota_fraction(now(), asterrill_membership::STATIC_QUOTA_FRACTION, ports);
        }
        if *policy_until != Us::MAX && monotonic_now() >= *policy_until {
            *policy_until = Us::MAX;
            core.expire_policy_lease();
        }
        let result = input(core, ports, now());
        ports.version = core.version();
        ports.finish(core);
        if ports.serving != told {
            self.load_report_bell.notify();
        }
        let next = core.next_deadline().unwrap_or(Us::MAX);
        if next < *armed {
            *armed = next;
            self.clock.notify();
        }
        result
    }

    /// The part that was told last is good until then, by [`monotonic_now`]; and whether changes are taken here.
    pub fn lease(&self, until: Us, changes: bool) {
        self.inner().lease = until;
        self.changes_allowed.store(changes, Ordering::Release);
    }

    /// What the agreed lists say, and until when without another word.
    pub fn set_apply_policy(&self, leased: LeasedPolicy) {
        let mut inner = self.inner();
        inner.core.set_apply_policy(leased.policy);
        inner.policy_until = leased.until;
    }

    /// The clock is set to what the core wants next; hands that back.
    pub fn arm_clock(&self, least: Us) -> Us {
        let mut inner = self.inner();
        inner.armed = inner.core.next_deadline().unwrap_or(Us::MAX).min(least);
        inner.armed
    }

    /// What the name service is to be told, once there is something.
    pub fn serving(&self) -> Option<bool> {
        self.inner().ports.serving
    }

    /// A connection was taken in.
    pub fn connection_opened(&self, out: Outbox) -> ConnectionId {
        let mut inner = self.inner();
        inner.conns += 1;
        inner.core.stats_mut().connections += 1;
        let conn = ConnectionId(inner.conns);
        if inner.ports.draining {
            inner.ports.leave(&out);
        }
        let line = Line { out, since: now(), heard: false, halfway: None, leaving: None, crowded: false };
        inner.ports.lines.insert(conn, line);
        if inner.ports.closing {
            inner.ports.close(conn);
            let Inner { core, ports, .. } = &mut *inner;
            ports.finish(core);
        }
        conn
    }

    /// A connection has ended.
    pub fn connection_closed(&self, conn: ConnectionId, broken: bool) {
        self.with(|core, outbound, now| {
            core.stats_mut().connections_broken += u64::from(broken);
            core.connection_closed(now, conn, outbound);
        });
        let mut inner = self.inner();
        inner.ports.lines.remove(&conn);
        inner.ports.ending.remove(&conn);
    }

    /// After bytes of a connection were taken: whether it has said something whole so far, and whether it
    /// stands in the middle of a frame.
    pub fn frame_progress(&self, conn: ConnectionId, heard: bool, halfway: bool) {
        let mut inner = self.inner();
        let Inner { core, ports, .. } = &mut *inner;
        let Some(line) = ports.lines.get_mut(&conn) else { return };
        line.heard = heard;
        line.halfway = if halfway { line.halfway.or_else(|| Some(now())) } else { None };
        // Something came on one that was about to be closed: that waits until it has been dealt with.
        if let Some(told) = ports.ending.get_mut(&conn) {
            *told = None;
            ports.finish(core);
        }
    }

    /// Whether a link below stands in the middle of a reply.
    pub fn reply_progress(&self, link: UpstreamLinkId, halfway: bool) {
        if let Some(since) = self.inner().ports.stalled.get_mut(link.0) {
            *since = if halfway { since.or_else(|| Some(now())) } else { None };
        }
    }

    /// No more is read from a connection: it is closed once nothing is owed on it. An error tells the
    /// sidecar.
    pub fn close_when_answered(&self, conn: ConnectionId, error: Option<&str>) {
        let mut inner = self.inner();
        let Inner { core, ports, .. } = &mut *inner;
        match error {
            Some(why) => core.stats_mut().bad_sidecar += u64::from(ports.end(conn, why)),
            None if ports.lines.contains_key(&conn) => ports.close(conn),
            None => {}
        }
        ports.finish(core);
    }

    /// Lets connections go that have carried nothing for as long as was decided, those that stopped in the
    /// middle of a frame or never said anything whole, and the least useful before there is no room left.
    pub fn sweep_connections(&self) {
        self.sweep_at(now());
    }
    pub fn sweep_at(&self, now: Us) {
        let mut inner = self.inner();
        let Inner { core, ports, .. } = &mut *inner;
        let (mut stuck, mut mute, mut quiet, mut staying) = (Vec::new(), Vec::new(), Vec::new(), 0_usize);
        for (conn, line) in &mut ports.lines {
            if line.halfway.is_some_and(|since| since + HALF < now) {
                line.halfway = None;
                stuck.push(*conn);
            } else if !line.heard && line.since + FIRST < now {
                mute.push(*conn);
            } else if line.leaving.is_some_and(|since| since + LEAVE < now) {
                ports.ending.entry(*conn).or_default();
            } else if line.leaving.is_none() {
                staying += 1;
                if line.used().saturating_add(ports.idle) < now && !core.has_pending_answers(*conn) {
                    quiet.push(*conn);
                }
            }
        }
        // Who reads so slowly that what it is owed is not written in time holds a place that others want.
        for (conn, told) in &ports.ending {
            if let Some(line) = ports.lines.get(conn).filter(|_| told.is_some_and(|since| since + SLOW < now))
            {
                line.out.close_now();
            }
        }
        for (conns, why) in [(stuck, "a frame stopped halfway"), (mute, "nothing whole came")] {
            for conn in conns {
                core.stats_mut().bad_sidecar += u64::from(ports.end(conn, why));
            }
        }
        ports.finish(core);
        let over = staying.saturating_sub(ports.room - ports.room / SPARE);
        if over > quiet.len() {
            let of = |(conn, line): &(&ConnectionId, &Line)| {
                (line.worth(core.is_proven(**conn), now), line.used())
            };
            let mut others: Vec<_> =
                ports.lines.iter().filter(|(conn, _)| !core.has_pending_answers(**conn)).collect();
            others.retain(|(_, line)| line.leaving.is_none() && line.used() + line.patience() < now);
            others.sort_by_cached_key(of);
            quiet = others.into_iter().take(over).map(|(conn, _)| *conn).collect();
        }
        for conn in quiet {
            core.stats_mut().closed_idle += 1;
            ports.let_go(conn, now);
        }
        for link in (0..ports.below.len()).map(UpstreamLinkId) {
            let out = &ports.below[link.0];
            if ports.stalled[link.0].is_some_and(|since| since + STALL < now) {
                ports.stalled[link.0] = None;
                core.stats_mut().bad_upstream += 1;
                warn!(ports.log, "reconnecting an upstream link"; "why" => "a reply stopped halfway");
                out.close_now();
            } else if out.last_used() > 0 && out.last_used() + BELOW < now && !core.link_has_calls(link) {
                core.retire_link(link, ports);
            }
        }
    }

    /// There is no room for another connection: some go at once on which nothing is owed. Nothing more is read
    /// from them, so what crosses was never taken. Those of use go one at a time only.
    pub fn evict_idle(&self) {
        let now = now();
        let mut inner = self.inner();
        let Inner { core, ports, .. } = &mut *inner;
        let idle = ports
            .lines
            .iter()
            .filter(|(conn, line)| line.leaving.is_none() && !core.has_pending_answers(**conn));
        let worth = |(conn, line): (&ConnectionId, &Line)| {
            (line.worth(core.is_proven(*conn), now), line.used(), *conn)
        };
        let mut idle: Vec<(Worth, Us, ConnectionId)> = idle.map(worth).collect();
        idle.sort_unstable();
        let some = (ports.room / SPARE / SPARE).max(1);
        for (n, (worth, _, conn)) in idle.into_iter().take(some).enumerate() {
            if n == 0 || worth < Worth::New {
                core.stats_mut().closed_crowded += 1;
                ports.let_go(conn, now);
                ports.lines.get_mut(&conn).into_iter().for_each(|line| line.crowded = true);
                ports.close(conn);
            }
        }
        ports.finish(core);
    }

    /// Closes all connections: what had come on them is dealt with, all that was answered arrives.
    pub fn close_all(&self) {
        let mut inner = self.inner();
        let Inner { core, ports, .. } = &mut *inner;
        ports.door.close();
        ports.closing = true;
        let conns: Vec<ConnectionId> = ports.lines.keys().copied().collect();
        conns.into_iter().for_each(|conn| ports.close(conn));
        ports.finish(core);
    }
    /// No connection is left, and all that the broker is to be told has been written.
    pub fn all_closed(&self) -> bool {
        let ports = &self.inner().ports;
        ports.lines.is_empty() && ports.broker.iter().all(Outbox::is_empty)
    }

    /// All that was counted.
    pub fn stats(&self) -> Stats {
        self.inner().core.stats()
    }
    /// Buffers for so much memory in all, and room for so many connections, from now on. Links below stay as many
    /// as they are.
    pub fn resize(&self, memory_mb: u64, room: usize) {
        let mut inner = self.inner();
        self.capacity.adjust(room as isize - inner.ports.room as isize);
        inner.ports.room = room;
        drop(inner);
        let most = buffers(memory_mb);
        self.pool.resize(most);
        self.held.resize(most);
    }

    pub fn stats_line(&self) -> String {
        let inner = self.inner();
        let asterrill_net::PoolUsage { in_use, peak } = self.pool.usage();
        let (open, owed) = (inner.core.open_rpcs(), inner.core.unanswered_rpcs());
        let queues = inner.core.queues().map(|queues| format!(" {queues}")).unwrap_or_default();
        format!("{}open={open} owed={owed} buffers={in_use} buffers_peak={peak}{queues}", inner.core.stats())
    }
}

impl Ports {
    /// Closes those of the ending connections on which nothing is owed any more.
    fn finish(&mut self, core: &Core) {
        for (conn, told) in self.ending.iter_mut().filter(|(_, told)| told.is_none()) {
            let Some(line) = self.lines.get(conn) else { continue };
            // Half a frame is waited for, but not where the place is wanted.
            if (line.crowded || line.halfway.is_none()) && core.pending_answers_on(*conn) == 0 {
                *told = Some(now());
                if line.crowded {
                    line.out.finish_without_linger();
                } else {
                    line.out.finish();
                }
            }
        }
    }

    /// A connection is to be closed.
    fn close(&mut self, conn: ConnectionId) {
        self.ending.entry(conn).or_default();
    }

    /// Ends a connection that is of no use: it is told why, and closed once nothing is owed on it. False if
    /// it ends already.
    fn end(&mut self, conn: ConnectionId, why: &str) -> bool {
        let Some(line) = self.lines.get_mut(&conn) else { return false };
        if self.ending.insert(conn, None).is_some() {
            return false;
        }
        line.halfway = None;
        let second = now() / 1_000_000;
        self.told = if self.told.0 == second { (second, self.told.1 + 1) } else { (second, 1) };
        if self.told.1 <= LINES {
            info!(self.log, "closing a sidecar connection"; "why" => why);
        }
        self.scratch.clear();
        sidecar::error(&mut self.scratch, why);
        line.out.put(&[&self.scratch]);
        true
    }

    fn leave(&mut self, out: &Outbox) {
        self.scratch.clear();
        sidecar::goaway(&mut self.scratch);
        out.put(&[&self.scratch]);
    }

    fn let_go(&mut self, conn: ConnectionId, now: Us) {
        let Some(line) = self.lines.get_mut(&conn) else { return };
        line.leaving = Some(now);
        let out = line.out.clone();
        self.leave(&out);
    }

    fn to(&mut self, place: SidecarStream, write: impl FnOnce(&mut Vec<u8>)) {
        let Some(line) = self.lines.get(&place.conn) else { return };
        self.scratch.clear();
        write(&mut self.scratch);
        line.out.put(&[&self.scratch]);
    }

    fn tell_agent(&mut self, write: impl FnOnce(&mut Vec<u8>), body: Option<&[u8]>) {
        self.scratch.clear();
        write(&mut self.scratch);
        match body {
            Some(body) => self.agent.put(&[&self.scratch, body, b"\r\n"]),
            None => self.agent.put(&[&self.scratch]),
        };
    }
}

impl Outbound for Ports {
    fn answer(&mut self, to: SidecarStream, answer: FinalAnswer<'_>, credit: Option<f64>) {
        self.scratch.reserve(ANSWER_OVERHEAD_BYTES + asterrill_protocol::MAX_BODY_BYTES);
        self.to(to, |bytes| sidecar::answer(bytes, to.stream, answer, credit));
    }
    fn answer_health_check(&mut self, to: SidecarStream, good: bool, credit: Option<f64>) {
        self.to(to, |bytes| sidecar::health(bytes, to.stream, good, credit));
    }
    fn launch(&mut self, id: RpcId, method: &str, body: &[u8]) {
        self.tell_agent(|bytes| agent::launch(bytes, id, method, body.len()), Some(body));
    }
    fn stop(&mut self, id: RpcId) {
        self.tell_agent(|bytes| agent::stop(bytes, id), None);
    }
    fn deliver_reply(&mut self, id: RpcId, reply: &[u8]) {
        self.tell_agent(|bytes| agent::deliver(bytes, id, reply.len()), Some(reply));
    }
    fn skip_call(&mut self, id: RpcId, asked: NoticeId) {
        self.tell_agent(|bytes| agent::skip(bytes, id, asked), None);
    }
    fn request_sample(&mut self, tag: u64) {
        self.tell_agent(|bytes| agent::sample(bytes, tag), None);
    }
    fn request_exercise(&mut self, tag: u64) {
        self.tell_agent(|bytes| agent::exercise(bytes, tag), None);
    }
    fn send_call(&mut self, link: UpstreamLinkId, id: RpcId, wait: Us, body: &[u8]) -> bool {
        self.scratch.clear();
        upstream::call(&mut self.scratch, id, wait, body.len());
        self.below.get(link.0).is_some_and(|out| out.put(&[&self.scratch, body, b"\r\n"]))
    }
    fn cancel_call(&mut self, link: UpstreamLinkId, id: RpcId) {
        self.scratch.clear();
        upstream::cancel(&mut self.scratch, id);
        if let Some(out) = self.below.get(link.0) {
            out.put(&[&self.scratch]);
        }
    }
    fn close_upstream_link(&mut self, link: UpstreamLinkId) -> bool {
        self.below.get(link.0).is_some_and(Outbox::finish_if_connected)
    }
    fn close_untrusted(&mut self, conn: ConnectionId) {
        self.end(conn, "nothing that came here could be run");
    }
    fn reset_agent_link(&mut self) {
        self.agent.close_now();
    }
    fn set_serving(&mut self, yes: bool) {
        self.serving = Some(yes);
    }
    fn announce_drain(&mut self) {
        self.draining = true;
        self.door.close();
        let outs: Vec<Outbox> = self.lines.values().map(|line| line.out.clone()).collect();
        for out in outs {
            self.leave(&out);
        }
    }
    fn set_idle_timeout(&mut self, span: Us) {
        // At the end everyone is asked to leave by themselves: what crosses is not cut off.
        self.idle = if span > 0 { span } else { Us::MAX };
    }
    fn send_to_broker(&mut self, bytes: &[u8]) -> bool {
        self.broker.as_ref().is_some_and(|out| out.put(&[bytes]))
    }
    fn close_broker(&mut self, at_once: bool) {
        match &self.broker {
            Some(out) if at_once => out.close_now(),
            Some(out) => drop(out.finish_if_connected()),
            None => {}
        }
    }
    fn log(&mut self, line: &str) {
        info!(self.log, "{}", line; "version" => self.version);
    }
}
