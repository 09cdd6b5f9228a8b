//! Who is at the other end of each connection: a sidecar, the agent, the upstream tier or the broker. Each type feeds the
//! bytes it receives to the state machine of its protocol, and the messages to the core.

use crate::dispatcher::Dispatcher;
use crate::ids::{ConnectionId, SidecarStream};
use asterrill::Us;
use asterrill_engine::UpstreamLinkId;
use asterrill_net::{ConnectionHandler, LinkHandler, Outbox};
use asterrill_protocol::agent::{self, Notice};
use asterrill_protocol::{sidecar, upstream, ProtocolError};
use asterrill_settings::ServerParts;
use slog::warn;
use std::sync::Arc;

/// A sidecar closes a connection that was closed here within this many microseconds, or it is reset.
const LINGER_TIME_US: Us = 500_000;

/// A connection that a sidecar opened.
pub struct SidecarConnection {
    /// Where its messages go.
    pub dispatcher: Arc<Dispatcher>,
    /// Its identifier.
    pub conn: ConnectionId,
    /// The protocol's state machine.
    pub frames: sidecar::Reader,
    /// A complete frame has come on it.
    pub has_received_frame: bool,
}

impl SidecarConnection {
    fn read_frames(&mut self, bytes: &mut &[u8]) -> Result<(), ProtocolError> {
        let conn = self.conn;
        while let Some(frame) = self.frames.next(bytes)? {
            self.has_received_frame = true;
            let accepted = self.dispatcher.with(|core, outbound, now| match frame {
                sidecar::Frame::Rpc(stream, request, body) => {
                    core.rpc_received(now, SidecarStream { conn, stream }, request, body, outbound)
                }
                sidecar::Frame::Malformed(stream) => {
                    core.malformed_rpc(now, SidecarStream { conn, stream }, outbound)
                }
                sidecar::Frame::Cancelled(stream) => {
                    core.rpc_cancelled(now, SidecarStream { conn, stream }, outbound);
                    true
                }
                sidecar::Frame::Check(stream, thorough) => {
                    core.health_check(now, SidecarStream { conn, stream }, thorough, outbound);
                    true
                }
            });
            if !accepted {
                return Err(ProtocolError("too many streams are open, or nothing that came could be run"));
            }
        }
        Ok(())
    }
}

impl ConnectionHandler for SidecarConnection {
    fn on_data(&mut self, mut bytes: &[u8]) -> bool {
        let read = self.read_frames(&mut bytes);
        let has_partial = read.is_ok() && self.frames.has_partial();
        self.dispatcher.frame_progress(self.conn, self.has_received_frame, has_partial);
        if let Err(error) = &read {
            self.dispatcher.close_when_answered(self.conn, Some(error.0));
        }
        read.is_ok()
    }
    fn on_half_closed(&mut self) {
        self.dispatcher.close_when_answered(self.conn, None);
    }
    fn linger_us(&self) -> Option<u64> {
        // One that never sent a complete frame has no answer pending, and others may need its slot.
        Some(if self.has_received_frame { LINGER_TIME_US } else { 0 })
    }
}

/// Builds the decision module for an agent that started at a moment, cold or warm.
pub type BuildServer = Box<dyn Fn(Us, bool) -> Option<ServerParts> + Send>;

/// The link to the agent that owns the cores.
pub struct AgentConnection {
    /// Where its notices go.
    pub dispatcher: Arc<Dispatcher>,
    /// What is to be written to it.
    pub out: Outbox,
    /// The protocol's state machine.
    pub notices: agent::Reader,
    /// Rebuilds the decision module when the agent greets for the first time.
    pub build_server: BuildServer,
    /// A notice has come on this link.
    pub received_notice: bool,
}

impl AgentConnection {
    fn read_notices(&mut self, bytes: &mut &[u8]) -> Result<(), ProtocolError> {
        while let Some(notice) = self.notices.next(bytes)? {
            self.received_notice = true;
            let build = &self.build_server;
            self.dispatcher.with(|core, outbound, now| match notice {
                Notice::Greeting { empty, ago } => {
                    let first = !core.agent_has_greeted();
                    let fresh = if first { build(now.saturating_sub(ago), empty) } else { None };
                    core.agent_up(now, fresh, outbound);
                    core.agent_greeted(now, empty, outbound);
                    outbound.log(&format!("the agent is up: empty {empty}, started {ago} us ago"));
                }
                Notice::Ended(number, id, end, result) => {
                    core.run_ended(now, number, id, end, result, outbound);
                }
                Notice::CallNeeded(number, id, body) => core.call_needed(now, number, id, body, outbound),
                Notice::Sampled(tag, values) => core.sample_received(now, tag, &values, outbound),
                Notice::Exercised(tag, passed) => core.exercise_finished(now, tag, passed, outbound),
                Notice::Refused { launch, id } => {
                    outbound.log(&format!("the agent refused a command about {id:?}"));
                    core.command_refused(now, id.filter(|_| launch), outbound);
                }
                Notice::Aside(number) => core.notice_ignored(number),
            });
        }
        Ok(())
    }
}

impl ConnectionHandler for AgentConnection {
    fn on_data(&mut self, mut bytes: &[u8]) -> bool {
        let read = self.read_notices(&mut bytes);
        if let Err(error) = &read {
            warn!(self.dispatcher.log, "reconnecting to the agent"; "why" => error.0);
            self.dispatcher.with(|core, _, _| core.stats_mut().agent_protocol_errors += 1);
            self.out.close_now();
        }
        read.is_ok()
    }
    fn on_half_closed(&mut self) {
        self.out.close_now();
    }
}

impl LinkHandler for AgentConnection {
    fn before_connect(&mut self) {}
    fn on_connected(&mut self) {
        self.notices = agent::Reader::default();
        let last_notice = self.dispatcher.with(|core, _, now| core.agent_connected(now));
        let mut bytes = Vec::new();
        agent::subscribe(&mut bytes, last_notice);
        self.out.put(&[&bytes]);
    }
    fn on_disconnected(&mut self, _: bool) -> bool {
        std::mem::take(&mut self.received_notice)
    }
}

/// One link to the upstream tier.
pub struct UpstreamConnection {
    /// Where its replies go.
    pub dispatcher: Arc<Dispatcher>,
    /// What is to be written to it.
    pub out: Outbox,
    /// Its identifier.
    pub link: UpstreamLinkId,
    /// The protocol's state machine.
    pub replies: upstream::Reader,
    /// A reply has come on this link.
    pub received_reply: bool,
}

impl ConnectionHandler for UpstreamConnection {
    fn on_data(&mut self, mut bytes: &[u8]) -> bool {
        loop {
            match self.replies.next(&mut bytes) {
                Ok(None) => {
                    self.dispatcher.reply_progress(self.link, self.replies.has_partial());
                    return true;
                }
                Ok(Some(reply)) => self.dispatcher.with(|core, outbound, now| {
                    core.call_ended(now, self.link, reply.id, reply.end, reply.body, outbound);
                    self.received_reply = true;
                }),
                Err(error) => {
                    warn!(self.dispatcher.log, "reconnecting an upstream link"; "why" => error.0);
                    self.dispatcher.with(|core, _, _| core.stats_mut().upstream_protocol_errors += 1);
                    self.out.close_now();
                    return false;
                }
            }
        }
    }
    fn on_half_closed(&mut self) {
        self.out.close_now();
    }
}

impl LinkHandler for UpstreamConnection {
    fn before_connect(&mut self) {
        self.dispatcher.with(|core, _, _| core.link_backoff_ended(self.link));
    }
    fn on_connected(&mut self) {
        self.replies = upstream::Reader::default();
    }
    fn on_disconnected(&mut self, refused: bool) -> bool {
        self.dispatcher.reply_progress(self.link, false);
        self.dispatcher.with(|core, outbound, now| core.link_ended(now, self.link, refused, outbound));
        std::mem::take(&mut self.received_reply)
    }
}

/// The connection to the broker that queues are consumed from.
pub struct BrokerConnection {
    /// Where its bytes go: the session's state machine belongs to the core.
    pub dispatcher: Arc<Dispatcher>,
}

impl ConnectionHandler for BrokerConnection {
    fn on_data(&mut self, bytes: &[u8]) -> bool {
        self.dispatcher.with(|core, outbound, now| core.broker_read(now, bytes, outbound))
    }
    fn on_half_closed(&mut self) {
        self.dispatcher.with(|_, outbound, _| outbound.close_broker(true));
    }
}

impl LinkHandler for BrokerConnection {
    fn before_connect(&mut self) {}
    fn on_connected(&mut self) {
        self.dispatcher.with(|core, outbound, now| core.broker_connected(now, outbound));
    }
    fn on_disconnected(&mut self, _: bool) -> bool {
        self.dispatcher.with(|core, outbound, now| core.broker_disconnected(now, outbound))
    }
    fn is_wanted(&self) -> bool {
        !self.dispatcher.with(|core, _, _| core.broker_done())
    }
}
