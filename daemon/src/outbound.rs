//! What the core sends: one method for each message that leaves it. Each message is written complete, at once, and no
//! method blocks.

use crate::ids::{ConnectionId, SidecarStream};
use asterrill::{FinalAnswer, RpcId, Us};
use asterrill_engine::UpstreamLinkId;
use asterrill_protocol::agent::NoticeId;

/// Takes the messages that the core sends.
pub trait Outbound {
    /// The final answer to a sidecar's RPC; `credit` is the figure published to callers with it.
    fn answer(&mut self, to: SidecarStream, answer: FinalAnswer<'_>, credit: Option<f64>);
    /// The answer to a sidecar's health check.
    fn answer_health_check(&mut self, to: SidecarStream, healthy: bool, credit: Option<f64>);

    /// Starts a run on the agent.
    fn launch(&mut self, id: RpcId, method: &str, body: &[u8]);
    /// Stops a run.
    fn stop(&mut self, id: RpcId);
    /// Hands a run the reply to the call that it waits for.
    fn deliver_reply(&mut self, id: RpcId, reply: &[u8]);
    /// Lets a run go on without the call that it requested by `notice`.
    fn skip_call(&mut self, id: RpcId, notice: NoticeId);
    /// Requests a sample of the agent's gauges.
    fn request_sample(&mut self, tag: u64);
    /// Requests an exercise of the agent, for a thorough health check.
    fn request_exercise(&mut self, tag: u64);
    /// Drops the link to the agent at once; it is reconnected.
    fn reset_agent_link(&mut self);

    /// Sends an upstream call whose reply is awaited for `timeout` microseconds. False if it surely was not sent.
    fn send_call(&mut self, link: UpstreamLinkId, id: RpcId, timeout: Us, body: &[u8]) -> bool;
    /// Cancels an upstream call.
    fn cancel_call(&mut self, link: UpstreamLinkId, id: RpcId);
    /// Closes a link without calls in flight; it is reconnected when it is needed. False if it is not connected.
    fn close_upstream_link(&mut self, link: UpstreamLinkId) -> bool;

    /// Closes a connection whose RPCs could none of them be run.
    fn close_unserviceable(&mut self, conn: ConnectionId);
    /// Asks all sidecars to send no new RPC.
    fn announce_drain(&mut self);
    /// Sets after how many microseconds idle connections are closed; 0 for never.
    fn set_idle_timeout(&mut self, timeout: Us);

    /// Sets what is reported to the name service: whether this backend takes work.
    fn set_serving(&mut self, serving: bool);

    /// Bytes for the broker. False if they can't be sent: its connection is then about to end.
    fn send_to_broker(&mut self, bytes: &[u8]) -> bool;
    /// Closes the connection to the broker, at once or when all is written.
    fn close_broker(&mut self, at_once: bool);

    /// Writes a line to the log.
    fn log(&mut self, line: &str);
}
