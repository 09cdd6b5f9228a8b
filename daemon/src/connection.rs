//! Connection handlers for sidecars, the agent, the upstream tier and the broker.
//!
//! Each handler passes received bytes to the state machine of its protocol, and the resulting messages to the core.

use crate::dispatcher::{Dispatcher, ReadProgress};
use crate::ids::{ConnectionId, SidecarStream};
use asterrill::Us;
use asterrill_engine::UpstreamLinkId;
use asterrill_net::{ConnectionHandler, LinkHandler, Outbox};
use asterrill_protocol::agent::{self, Notice};
use asterrill_protocol::{sidecar, upstream, ProtocolError};
use asterrill_settings::ServerParts;
use slog::warn;
use std::sync::Arc;

/// Time that a sidecar has to close its side of a connection that this server has closed, in microseconds. The
/// connection is reset after it.
const LINGER_TIME_US: Us = 500_000;

/// Connection opened by a sidecar.
pub struct SidecarConnection {
    /// The dispatcher that receives its messages.
    pub dispatcher: Arc<Dispatcher>,
    /// The identifier of the connection.
    pub conn: ConnectionId,
    /// The state machine of the protocol.
    pub frames: sidecar::Reader,
    /// Whether a complete frame has been received on it.
    pub has_received_frame: bool,
}

impl SidecarConnection {
    /// Reads all complete frames. `completed` is set if there is one, also if an error follows it.
    fn read_frames(&mut self, bytes: &mut &[u8], completed: &mut bool) -> Result<(), ProtocolError> {
        let conn = self.conn;
        while let Some(frame) = self.frames.next(bytes)? {
            *completed = true;
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
                    Ok(())
                }
                sidecar::Frame::HealthCheck(stream, thorough) => {
                    core.health_check(now, SidecarStream { conn, stream }, thorough, outbound);
                    Ok(())
                }
            });
            accepted.map_err(|fault| ProtocolError(fault.reason()))?;
        }
        Ok(())
    }
}

impl ConnectionHandler for SidecarConnection {
    fn on_data(&mut self, mut bytes: &[u8]) -> bool {
        let mut completed = false;
        let read = self.read_frames(&mut bytes, &mut completed);
        let has_partial = read.is_ok() && self.frames.has_partial();
        self.frames.release_memory();
        self.dispatcher.frame_progress(self.conn, ReadProgress { completed, has_partial });
        if let Err(error) = &read {
            self.dispatcher.close_when_answered(self.conn, Some(error.0));
        }
        read.is_ok()
    }
    fn on_half_closed(&mut self) {
        self.dispatcher.close_when_answered(self.conn, None);
    }
    fn linger_us(&self) -> Option<u64> {
        // Without a complete frame no answer is pending, and another connection may need the slot.
        Some(if self.has_received_frame { LINGER_TIME_US } else { 0 })
    }
    fn reads_after_reset(&self) -> bool {
        false
    }
}

/// Function that builds the decision module for an agent, given its start time and whether it started cold.
pub type BuildServer = Box<dyn Fn(Us, bool) -> Option<ServerParts> + Send>;

/// Link to the agent, which runs RPCs on the cores.
pub struct AgentConnection {
    /// The dispatcher that receives its notices.
    pub dispatcher: Arc<Dispatcher>,
    /// The bytes to be written to it.
    pub out: Outbox,
    /// The state machine of the protocol.
    pub notices: agent::Reader,
    /// The function that rebuilds the decision module at the agent's first greeting.
    pub build_server: BuildServer,
    /// Whether a notice has been received on this link.
    pub received_notice: bool,
}

impl AgentConnection {
    fn read_notices(&mut self, bytes: &mut &[u8]) -> Result<(), ProtocolError> {
        while let Some(notice) = self.notices.next(bytes)? {
            self.received_notice = true;
            let build = &self.build_server;
            self.dispatcher.with(|core, outbound, now| match notice {
                Notice::Greeting { cold_start, uptime } => {
                    let first = !core.agent_has_greeted();
                    let rebuilt = if first { build(now.saturating_sub(uptime), cold_start) } else { None };
                    core.agent_greeted(now, rebuilt, outbound);
                    core.restore_snapshot(now, cold_start, outbound);
                    outbound.log(&format!(
                        "connected to the agent: cold start {cold_start}, started {uptime} us ago"
                    ));
                }
                Notice::Ended(number, id, end, result) => {
                    core.run_ended(now, number, id, end, result, outbound);
                }
                Notice::CallNeeded(number, id, body) => core.call_needed(now, number, id, body, outbound),
                Notice::Sampled(tag, values) => core.sample_received(now, tag, &values, outbound),
                Notice::Exercised(tag, passed) => core.exercise_finished(now, tag, passed, outbound),
                Notice::Refused { launch, id } => {
                    outbound.log(&format!("agent refused a command: rpc {id:?}, launch {launch}"));
                    core.command_refused(now, id.filter(|_| launch), outbound);
                }
                Notice::Ignored(number) => core.notice_ignored(number),
            });
        }
        Ok(())
    }
}

impl ConnectionHandler for AgentConnection {
    fn on_data(&mut self, mut bytes: &[u8]) -> bool {
        let read = self.read_notices(&mut bytes);
        if let Err(error) = &read {
            warn!(self.dispatcher.log, "protocol error of the agent; reconnecting"; "why" => error.0);
            self.dispatcher.with(|core, _, _| core.stats_mut().agent_protocol_errors += 1);
            self.out.close_now();
        }
        read.is_ok()
    }
    fn on_half_closed(&mut self) {
        self.out.close_now();
    }
    fn takes_turns(&self) -> bool {
        false
    }
}

impl LinkHandler for AgentConnection {
    fn before_connect(&mut self) {}
    fn on_connected(&mut self) {
        self.notices = agent::Reader::default();
        self.dispatcher.with(|core, outbound, now| core.agent_connected(now, outbound));
    }
    fn on_disconnected(&mut self, _: bool) -> bool {
        self.dispatcher.with(|core, outbound, _| core.agent_disconnected(outbound));
        std::mem::take(&mut self.received_notice)
    }
}

/// Link to the upstream tier.
pub struct UpstreamConnection {
    /// The dispatcher that receives its replies.
    pub dispatcher: Arc<Dispatcher>,
    /// The bytes to be written to it.
    pub out: Outbox,
    /// The identifier of the link.
    pub link: UpstreamLinkId,
    /// The state machine of the protocol.
    pub replies: upstream::Reader,
    /// Whether a reply has been received on this link.
    pub received_reply: bool,
}

impl ConnectionHandler for UpstreamConnection {
    fn on_data(&mut self, mut bytes: &[u8]) -> bool {
        let mut completed = false;
        loop {
            match self.replies.next(&mut bytes) {
                Ok(None) => {
                    let has_partial = self.replies.has_partial();
                    self.dispatcher.reply_progress(self.link, ReadProgress { completed, has_partial });
                    return true;
                }
                Ok(Some(reply)) => self.dispatcher.with(|core, outbound, now| {
                    core.call_ended(now, self.link, reply.id, reply.end, reply.body, outbound);
                    (completed, self.received_reply) = (true, true);
                }),
                Err(error) => {
                    warn!(self.dispatcher.log, "upstream link failed; reconnecting"; "why" => error.0);
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
        self.dispatcher.reply_progress(self.link, ReadProgress::NOTHING_READ);
        self.dispatcher.with(|core, outbound, now| core.link_ended(now, self.link, refused, outbound));
        std::mem::take(&mut self.received_reply)
    }
}

/// Connection to the broker from which queues are consumed.
pub struct BrokerConnection {
    /// The dispatcher that receives its bytes. The state machine of the session is part of the core.
    pub dispatcher: Arc<Dispatcher>,
}

impl ConnectionHandler for BrokerConnection {
    fn on_data(&mut self, bytes: &[u8]) -> bool {
        self.dispatcher.with(|core, outbound, now| core.broker_read(now, bytes, outbound))
    }
    fn on_half_closed(&mut self) {
        self.dispatcher.with(|_, outbound, _| outbound.close_broker(true));
    }
    fn reads_after_reset(&self) -> bool {
        // Deliveries of a lost channel can't be settled, and are delivered again.
        false
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
