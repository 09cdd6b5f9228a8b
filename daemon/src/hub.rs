//! Where the core meets the sockets: each input is brought to it alone, and what it has written goes into the
//! outboxes. Nothing here waits, and nothing is decided.

use crate::core::{ConnId, Core, LinkId, Place, Wire};
use asterrill::{RpcId, Us};
use asterrill_net::{now, Bell, Outbox, Pool};
use asterrill_protocol::agent::{self, NoticeId};
use asterrill_protocol::frames::{self, Final, ANSWER_HEAD};
use asterrill_protocol::records;
use slog::{info, warn, Logger};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard};

const HALF: Us = 5_000_000; // a frame that came by half is waited for so long
const LEAVE: Us = 1_000_000; // a sidecar told that a connection is not wanted closes it within this time
const BELOW: Us = 500_000; // an unused link below is closed before the other side does, or forgets it
const STALL: Us = 200_000; // a reply from below that stopped halfway is waited for so long

/// A sidecar's connection.
struct Line {
    out: Outbox,
    halfway: Option<Us>,
    /// When the sidecar was told that it is not wanted any more.
    leaving: Option<Us>,
}

/// The outboxes: what the core has written goes through here.
struct Ports {
    lines: BTreeMap<ConnId, Line>,
    /// Connections of which no more is read: each is closed once nothing is owed on it.
    ending: BTreeSet<ConnId>,
    agent: Outbox,
    below: Vec<Outbox>,
    stalled: Vec<Option<Us>>, // of each link below, since when a reply has come by half
    serving: Option<bool>,
    idle: Us,
    draining: bool,
    scratch: Vec<u8>,
    log: Logger,
}

struct Inner {
    core: Core,
    ports: Ports,
    armed: Us,
    conns: u64,
}

pub struct Hub {
    inner: Mutex<Inner>,
    pub pool: Pool,
    pub log: Logger,
    /// Rings when the clock is wanted earlier than it was set.
    pub clock: Bell,
    /// Rings when the name service is to be told something new.
    pub naming: Bell,
}

impl Hub {
    pub fn new(core: Core, agent: Outbox, below: Vec<Outbox>, idle: Us, pool: Pool, log: Logger) -> Hub {
        let ports = Ports {
            lines: BTreeMap::new(),
            ending: BTreeSet::new(),
            agent,
            stalled: vec![None; below.len()],
            below,
            serving: None,
            idle,
            draining: false,
            scratch: Vec::with_capacity(512),
            log: log.clone(),
        };
        let inner = Inner { core, ports, armed: Us::MAX, conns: 0 };
        Hub { inner: Mutex::new(inner), pool, log, clock: Bell::default(), naming: Bell::default() }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Brings one input to the core. Held for the time of the input only, and never over a wait.
    pub fn with<R>(&self, input: impl FnOnce(&mut Core, &mut dyn Wire, Us) -> R) -> R {
        let mut inner = self.inner();
        let Inner { core, ports, armed, .. } = &mut *inner;
        let told = ports.serving;
        let result = input(core, ports, now());
        ports.finish(core);
        if ports.serving != told {
            self.naming.ring();
        }
        let next = core.next().unwrap_or(Us::MAX);
        if next < *armed {
            *armed = next;
            self.clock.ring();
        }
        result
    }

    /// The clock is set to what the core wants next; hands that back.
    pub fn arm(&self, least: Us) -> Us {
        let mut inner = self.inner();
        inner.armed = inner.core.next().unwrap_or(Us::MAX).min(least);
        inner.armed
    }

    /// What the name service is to be told, once there is something.
    pub fn serving(&self) -> Option<bool> {
        self.inner().ports.serving
    }

    /// A connection was taken in.
    pub fn join(&self, out: Outbox) -> ConnId {
        let mut inner = self.inner();
        inner.conns += 1;
        inner.core.counters.connections += 1;
        let conn = ConnId(inner.conns);
        if inner.ports.draining {
            inner.ports.leave(&out);
        }
        inner.ports.lines.insert(conn, Line { out, halfway: None, leaving: None });
        conn
    }

    /// A connection has ended.
    pub fn part(&self, conn: ConnId, broken: bool) {
        self.with(|core, wire, now| {
            core.counters.broken += u64::from(broken);
            core.conn_ended(now, conn, wire);
        });
        let mut inner = self.inner();
        inner.ports.lines.remove(&conn);
        inner.ports.ending.remove(&conn);
    }

    /// After bytes of a connection were taken: whether it stands in the middle of a frame.
    pub fn halfway(&self, conn: ConnId, halfway: bool) {
        if let Some(line) = self.inner().ports.lines.get_mut(&conn) {
            line.halfway = if halfway { line.halfway.or_else(|| Some(now())) } else { None };
        }
    }

    /// The same for a link below.
    pub fn stalled(&self, link: LinkId, halfway: bool) {
        if let Some(since) = self.inner().ports.stalled.get_mut(link.0) {
            *since = if halfway { since.or_else(|| Some(now())) } else { None };
        }
    }

    /// No more is read from a connection: it is closed once nothing is owed on it. An error tells the sidecar.
    pub fn ending(&self, conn: ConnId, error: Option<&str>) {
        self.with(|core, _, _| core.counters.bad_sidecar += u64::from(error.is_some()));
        let mut inner = self.inner();
        let Inner { core, ports, .. } = &mut *inner;
        let Some(line) = ports.lines.get_mut(&conn) else { return };
        ports.ending.insert(conn);
        if let Some(text) = error {
            info!(ports.log, "a sidecar's connection is closed"; "why" => text);
            ports.scratch.clear();
            frames::error(&mut ports.scratch, text);
            line.out.put(&[&ports.scratch]);
        }
        ports.finish(core);
    }

    /// Lets connections go that have carried nothing for as long as was decided, and those that stopped in
    /// the middle of a frame.
    pub fn sweep(&self) {
        let now = now();
        let mut stuck = Vec::new();
        let mut inner = self.inner();
        let Inner { core, ports, .. } = &mut *inner;
        let idle = ports.idle;
        let mut leave = Vec::new();
        for (conn, line) in &mut ports.lines {
            let quiet = now.saturating_sub(line.out.used());
            if line.halfway.is_some_and(|since| since + HALF < now) {
                line.halfway = None;
                stuck.push(*conn);
            } else if line.leaving.is_some_and(|since| since + LEAVE < now) {
                ports.ending.insert(*conn);
            } else if line.leaving.is_none() && quiet > idle && core.owed_on(*conn) == 0 {
                leave.push(*conn);
            }
        }
        ports.finish(core);
        for conn in leave {
            core.counters.closed_idle += 1;
            ports.let_go(conn, now);
        }
        for link in (0..ports.below.len()).map(LinkId) {
            let out = &ports.below[link.0];
            if ports.stalled[link.0].is_some_and(|since| since + STALL < now) {
                ports.stalled[link.0] = None;
                core.counters.bad_below += 1;
                warn!(ports.log, "a link below is made anew"; "why" => "a reply stopped halfway");
                out.cut();
            } else if out.used() > 0 && out.used() + BELOW < now && !core.calls_on(link) {
                core.retire(link, ports);
            }
        }
        drop(inner);
        for conn in stuck {
            self.ending(conn, Some("a frame stopped halfway"));
        }
    }

    /// There is no room for another connection: the one that is idle longest is let go.
    pub fn crowded(&self) {
        let mut inner = self.inner();
        let Inner { core, ports, .. } = &mut *inner;
        let idle = ports.lines.iter().filter(|(conn, l)| l.leaving.is_none() && core.owed_on(**conn) == 0);
        if let Some(conn) = idle.min_by_key(|(_, line)| line.out.used()).map(|(conn, _)| *conn) {
            core.counters.closed_idle += 1;
            ports.let_go(conn, now());
        }
    }

    /// All that was answered has been written.
    pub fn flushed(&self) -> bool {
        self.inner().ports.lines.values().all(|line| line.out.is_empty())
    }

    pub fn counters(&self) -> String {
        let inner = self.inner();
        let (out, peak) = self.pool.used();
        let (open, owed) = (inner.core.open(), inner.core.owed());
        format!("{}open={open} owed={owed} buffers={out} buffers_peak={peak}", inner.core.counters)
    }
}

impl Ports {
    /// Closes those of the ending connections on which nothing is owed any more.
    fn finish(&mut self, core: &Core) {
        let (lines, ending) = (&self.lines, &mut self.ending);
        ending.retain(|conn| {
            let over = core.owed_on(*conn) == 0;
            if let Some(line) = lines.get(conn).filter(|_| over) {
                line.out.finish();
            }
            !over
        });
    }

    fn leave(&mut self, out: &Outbox) {
        self.scratch.clear();
        frames::leaving(&mut self.scratch);
        out.put(&[&self.scratch]);
    }

    fn let_go(&mut self, conn: ConnId, now: Us) {
        let Some(line) = self.lines.get_mut(&conn) else { return };
        line.leaving = Some(now);
        let out = line.out.clone();
        self.leave(&out);
    }

    fn to(&mut self, place: Place, write: impl FnOnce(&mut Vec<u8>)) {
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

impl Wire for Ports {
    fn answer(&mut self, to: Place, answer: Final<'_>, credit: Option<f64>) {
        self.scratch.reserve(ANSWER_HEAD + asterrill_protocol::BODY);
        self.to(to, |bytes| frames::answer(bytes, to.stream, answer, credit));
    }
    fn health(&mut self, to: Place, good: bool, credit: Option<f64>) {
        self.to(to, |bytes| frames::health(bytes, to.stream, good, credit));
    }
    fn launch(&mut self, id: RpcId, method: &str, body: &[u8]) {
        self.tell_agent(|bytes| agent::launch(bytes, id, method, body.len()), Some(body));
    }
    fn stop(&mut self, id: RpcId) {
        self.tell_agent(|bytes| agent::stop(bytes, id), None);
    }
    fn deliver(&mut self, id: RpcId, reply: &[u8]) {
        self.tell_agent(|bytes| agent::deliver(bytes, id, reply.len()), Some(reply));
    }
    fn skip(&mut self, id: RpcId, asked: NoticeId) {
        self.tell_agent(|bytes| agent::skip(bytes, id, asked), None);
    }
    fn sample(&mut self, tag: u64) {
        self.tell_agent(|bytes| agent::sample(bytes, tag), None);
    }
    fn exercise(&mut self, tag: u64) {
        self.tell_agent(|bytes| agent::exercise(bytes, tag), None);
    }
    fn call(&mut self, link: LinkId, id: RpcId, wait: Us, body: &[u8]) -> bool {
        self.scratch.clear();
        records::call(&mut self.scratch, id, wait, body.len());
        self.below.get(link.0).is_some_and(|out| out.put(&[&self.scratch, body, b"\r\n"]))
    }
    fn give_up(&mut self, link: LinkId, id: RpcId) {
        self.scratch.clear();
        records::give_up(&mut self.scratch, id);
        if let Some(out) = self.below.get(link.0) {
            out.put(&[&self.scratch]);
        }
    }
    fn close_link(&mut self, link: LinkId) -> bool {
        self.below.get(link.0).is_some_and(Outbox::finish)
    }
    fn serving(&mut self, yes: bool) {
        self.serving = Some(yes);
    }
    fn leaving(&mut self) {
        self.draining = true;
        let outs: Vec<Outbox> = self.lines.values().map(|line| line.out.clone()).collect();
        for out in outs {
            self.leave(&out);
        }
    }
    fn close_idle(&mut self, span: Us) {
        self.idle = span;
    }
    fn log(&mut self, line: &str) {
        info!(self.log, "{}", line);
    }
}
