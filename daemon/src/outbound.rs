//! Messages sent by the core, with one method for each. Every message is complete, and no method blocks.

use crate::ids::{ConnectionId, SidecarStream};
use asterrill::{FinalAnswer, RpcId, Us};
use asterrill_engine::UpstreamLinkId;
use asterrill_protocol::agent::NoticeId;

/// Receiver of the messages that the core sends.
pub trait Outbound {
    /// Sends the final answer to a sidecar's RPC, with `credit` as the figure published to callers.
    fn answer(&mut self, to: SidecarStream, answer: FinalAnswer<'_>, credit: Option<f64>);
    /// Sends the answer to a sidecar's health check.
    fn answer_health_check(&mut self, to: SidecarStream, healthy: bool, credit: Option<f64>);

    /// Subscribes to the agent's notices after `last`, as the first message on a new link. Messages to the agent are
    /// sent from now on.
    fn open_agent_link(&mut self, last: NoticeId);
    /// Discards all messages to the agent until the next link.
    fn close_agent_link(&mut self);
    /// Starts a run on the agent.
    fn launch(&mut self, id: RpcId, method: &str, body: &[u8]);
    /// Stops a run.
    fn stop(&mut self, id: RpcId);
    /// Delivers the reply to the call for which a run waits.
    fn deliver_reply(&mut self, id: RpcId, reply: &[u8]);
    /// Lets a run continue without the call that it requested by `notice`.
    fn skip_call(&mut self, id: RpcId, notice: NoticeId);
    /// Requests a sample of the agent's gauges.
    fn request_sample(&mut self, tag: u64);
    /// Requests an exercise of the agent, for a thorough health check.
    fn request_exercise(&mut self, tag: u64);
    /// Closes the link to the agent at once; it is then reconnected.
    fn reset_agent_link(&mut self);

    /// Sends an upstream call whose reply is awaited for `timeout` microseconds. Returns false only if the call was
    /// certainly not sent.
    fn send_call(&mut self, link: UpstreamLinkId, id: RpcId, timeout: Us, body: &[u8]) -> bool;
    /// Cancels an upstream call.
    fn cancel_call(&mut self, link: UpstreamLinkId, id: RpcId);
    /// Closes a link without calls in flight, which is reconnected on demand. Returns false if it is not connected.
    fn close_upstream_link(&mut self, link: UpstreamLinkId) -> bool;

    /// Closes a connection none of whose RPCs could be run.
    fn close_unserviceable(&mut self, conn: ConnectionId);
    /// Asks all sidecars to send no new RPC.
    fn announce_drain(&mut self);
    /// Sets the time in microseconds after which idle connections are closed; 0 means never.
    fn set_idle_timeout(&mut self, timeout: Us);

    /// Sets whether this backend is reported to the name service as serving.
    fn set_serving(&mut self, serving: bool);

    /// Sends bytes to the broker. Returns false if they can't be sent, in which case the connection is about to end.
    fn send_to_broker(&mut self, bytes: &[u8]) -> bool;
    /// Closes the connection to the broker, at once or after all pending bytes are written.
    fn close_broker(&mut self, at_once: bool);

    /// Writes a line to the log.
    fn log(&mut self, line: &str);
}
