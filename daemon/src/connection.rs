//! Who is at the other end of each connection: bytes go through the state machine of its protocol, and the
//! messages to the core.

use crate::dispatcher::Dispatcher;
use crate::wire::{ConnId, LinkId, Place};
use asterrill::Us;
use asterrill_net::{exchange, now, wait_until, Address, Outbox, Party, Pause, Peer};
use asterrill_protocol::agent::{self, Notice};
use asterrill_protocol::{name_service, sidecar, upstream, ProtocolError};
use asterrill_recovery::phase;
use asterrill_settings::ServerParts;
use slog::warn;
use std::sync::Arc;
use std::time::Duration;

const LINGER: Us = 500_000; // a sidecar closes what is closed here within this time, or is reset
const REPORT: Us = 1_000_000; // between reports to the name service
const WITHIN: Duration = Duration::from_millis(800); // a report that takes longer is lost

/// A sidecar.
pub struct SidecarConnection {
    pub dispatcher: Arc<Dispatcher>,
    pub conn: ConnId,
    pub frames: sidecar::Reader,
    pub has_spoken: bool,
}

impl SidecarConnection {
    fn take(&mut self, bytes: &mut &[u8]) -> Result<(), ProtocolError> {
        let conn = self.conn;
        while let Some(frame) = self.frames.next(bytes)? {
            self.has_spoken = true;
            let fine = self.dispatcher.with(|core, wire, now| match frame {
                sidecar::Frame::Rpc(stream, ask, body) => {
                    core.rpc_read(now, Place { conn, stream }, ask, body, wire)
                }
                sidecar::Frame::Malformed(stream) => core.odd(now, Place { conn, stream }, wire),
                sidecar::Frame::Cancelled(stream) => {
                    core.gone(now, Place { conn, stream }, wire);
                    true
                }
                sidecar::Frame::Check(stream, thorough) => {
                    core.check(now, Place { conn, stream }, thorough, wire);
                    true
                }
            });
            if !fine {
                return Err(ProtocolError("too many streams are open, or nothing that came could be run"));
            }
        }
        Ok(())
    }
}

impl Peer for SidecarConnection {
    fn read(&mut self, mut bytes: &[u8]) -> bool {
        let taken = self.take(&mut bytes);
        self.dispatcher.frame_progress(
            self.conn,
            self.has_spoken,
            taken.is_ok() && self.frames.has_partial(),
        );
        match taken {
            Ok(()) => true,
            Err(broken) => {
                self.dispatcher.close_when_answered(self.conn, Some(broken.0));
                false
            }
        }
    }
    fn half_closed(&mut self) {
        self.dispatcher.close_when_answered(self.conn, None);
    }
    fn lingers(&self) -> Option<u64> {
        // One that never said anything whole is owed nothing, and others may want its place.
        Some(if self.has_spoken { LINGER } else { 0 })
    }
}

/// The agent that owns the cores.
pub struct AgentConnection {
    pub dispatcher: Arc<Dispatcher>,
    pub out: Outbox,
    pub notices: agent::Reader,
    /// Makes the module anew, for a start at a moment, cold or warm.
    pub make: Box<dyn Fn(Us, bool) -> Option<ServerParts> + Send>,
    pub useful: bool,
}

impl AgentConnection {
    fn take(&mut self, bytes: &mut &[u8]) -> Result<(), ProtocolError> {
        while let Some(notice) = self.notices.next(bytes)? {
            self.useful = true;
            let make = &self.make;
            self.dispatcher.with(|core, wire, now| match notice {
                Notice::Greeting { empty, ago } => {
                    let fresh =
                        if core.agent_has_greeted() { None } else { make(now.saturating_sub(ago), empty) };
                    core.agent_up(now, fresh, wire);
                    core.agent_greeted(now, empty, wire);
                    wire.log(&format!("the agent is up: empty {empty}, started {ago} us ago"));
                }
                Notice::Ended(number, id, end, result) => core.run_ended(now, number, id, end, result, wire),
                Notice::CallNeeded(number, id, body) => core.call_needed(now, number, id, body, wire),
                Notice::Sampled(tag, values) => core.sampled(now, tag, &values, wire),
                Notice::Exercised(tag, good) => core.exercised(now, tag, good, wire),
                Notice::Refused { launch, id } => {
                    wire.log(&format!("the agent refused a command about {id:?}"));
                    core.refused(now, id.filter(|_| launch), wire);
                }
                Notice::Aside(number) => core.aside(number),
            });
        }
        Ok(())
    }
}

impl Peer for AgentConnection {
    fn read(&mut self, mut bytes: &[u8]) -> bool {
        let taken = self.take(&mut bytes);
        if let Err(broken) = &taken {
            warn!(self.dispatcher.log, "the link to the agent is made anew"; "why" => broken.0);
            self.dispatcher.with(|core, _, _| core.stats_mut().bad_agent += 1);
            self.out.cut();
        }
        taken.is_ok()
    }
    fn half_closed(&mut self) {
        self.out.cut();
    }
}

impl Party for AgentConnection {
    fn ready(&mut self) {}
    fn up(&mut self) {
        self.notices = agent::Reader::default();
        let last = self.dispatcher.with(|core, _, now| core.agent_link(now));
        let mut bytes = Vec::new();
        agent::subscribe(&mut bytes, last);
        self.out.put(&[&bytes]);
    }
    fn down(&mut self, _: bool) -> bool {
        std::mem::take(&mut self.useful)
    }
}

/// The layer below, by one of its links.
pub struct UpstreamConnection {
    pub dispatcher: Arc<Dispatcher>,
    pub out: Outbox,
    pub link: LinkId,
    pub replies: upstream::Reader,
    pub useful: bool,
}

impl Peer for UpstreamConnection {
    fn read(&mut self, mut bytes: &[u8]) -> bool {
        loop {
            match self.replies.next(&mut bytes) {
                Ok(None) => {
                    self.dispatcher.reply_progress(self.link, self.replies.has_partial());
                    return true;
                }
                Ok(Some(reply)) => self.dispatcher.with(|core, wire, now| {
                    core.call_ended(now, self.link, reply.id, reply.end, reply.body, wire);
                    self.useful = true;
                }),
                Err(broken) => {
                    warn!(self.dispatcher.log, "a link below is made anew"; "why" => broken.0);
                    self.dispatcher.with(|core, _, _| core.stats_mut().bad_below += 1);
                    self.out.cut();
                    return false;
                }
            }
        }
    }
    fn half_closed(&mut self) {
        self.out.cut();
    }
}

impl Party for UpstreamConnection {
    fn ready(&mut self) {
        self.dispatcher.with(|core, _, _| core.link_ready(self.link));
    }
    fn up(&mut self) {
        self.replies = upstream::Reader::default();
    }
    fn down(&mut self, refused: bool) -> bool {
        self.dispatcher.reply_progress(self.link, false);
        self.dispatcher.with(|core, wire, now| core.link_ended(now, self.link, refused, wire));
        std::mem::take(&mut self.useful)
    }
}

/// The broker that queues are consumed from.
pub struct BrokerConnection {
    pub dispatcher: Arc<Dispatcher>,
}

impl Peer for BrokerConnection {
    fn read(&mut self, bytes: &[u8]) -> bool {
        self.dispatcher.with(|core, wire, now| core.broker_read(now, bytes, wire))
    }
    fn half_closed(&mut self) {
        self.dispatcher.with(|_, wire, _| wire.end_broker(true));
    }
}

impl Party for BrokerConnection {
    fn ready(&mut self) {}
    fn up(&mut self) {
        self.dispatcher.with(|core, wire, now| core.broker_up(now, wire));
    }
    fn down(&mut self, _: bool) -> bool {
        self.dispatcher.with(|core, wire, now| core.broker_down(now, wire))
    }
    fn wanted(&self) -> bool {
        !self.dispatcher.with(|core, _, _| core.broker_done())
    }
}

/// Tells the name service whether this backend takes work, at once when that or its address changes. A report
/// that went out may count though it is not answered, so only one that could not be sent makes the next wait.
pub fn send_load_reports(
    dispatcher: &Dispatcher, name: &str, to: &Address, mut pause: Pause, spread: Option<u64>,
) {
    dispatcher.load_report_bell.attend();
    let (mut at, mut kept, mut reports) = (to.get(), None, 0_u64);
    loop {
        reports += 1;
        let Some(serving) = dispatcher.serving() else {
            wait_until(now() + REPORT);
            continue;
        };
        if at != to.get() {
            (at, kept) = (to.get(), None);
        }
        let news = || dispatcher.serving() != Some(serving) || to.get() != at;
        let (mut request, mut reader, mut counts) = (Vec::new(), name_service::Reader::default(), false);
        name_service::report(&mut request, name, &at.to_string(), serving);
        let start = now();
        let (fresh, wanted) = (kept.is_none(), || !news());
        let done =
            exchange(kept.take(), at, &request, WITHIN, wanted, |mut bytes| match reader.next(&mut bytes) {
                Ok(None) => None,
                Ok(Some(reply)) => {
                    counts = reply.accepted;
                    Some(reply.keep_alive)
                }
                Err(broken) => {
                    warn!(dispatcher.log, "a report was lost"; "why" => broken.0);
                    dispatcher.with(|core, _, _| core.stats_mut().bad_naming += 1);
                    Some(false)
                }
            });
        dispatcher.with(|core, _, _| {
            core.stats_mut().reports += u64::from(counts);
            core.stats_mut().reports_lost += u64::from(!counts);
        });
        kept = done.flatten();
        if counts {
            pause.reset();
            if !news() {
                let early = spread.map_or(0, |seed| phase(seed ^ reports, "report", REPORT / 4));
                wait_until(start + REPORT - early);
            }
        } else if fresh && now() < start + WITHIN.as_micros() as u64 {
            pause.rest_unless(news);
        }
    }
}
