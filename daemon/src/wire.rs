//! Ids of what is around the core, and what the core has written. Everything else here may use it; it uses nothing of
//! theirs.

use asterrill::{FinalAnswer, RpcId, Us};
use asterrill_consumer::InFlightId;
use asterrill_protocol::agent::NoticeId;
use asterrill_protocol::sidecar::StreamId;

/// A sidecar's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnId(pub u64);

/// A link to the layer below.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkId(pub usize);

/// Where an answer to a sidecar goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    pub conn: ConnId,
    pub stream: StreamId,
}

/// Who asked, of all fronts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Requester {
    Sidecar(Place),
    /// A message of a queue.
    Queue(InFlightId),
}

/// What the core has written. Each message is put out whole, at once; nothing here waits.
pub trait Wire {
    fn answer(&mut self, to: Place, answer: FinalAnswer<'_>, credit: Option<f64>);
    fn health(&mut self, to: Place, good: bool, credit: Option<f64>);
    fn launch(&mut self, id: RpcId, method: &str, body: &[u8]);
    fn stop(&mut self, id: RpcId);
    fn deliver(&mut self, id: RpcId, reply: &[u8]);
    fn skip(&mut self, id: RpcId, asked: NoticeId);
    fn sample(&mut self, tag: u64);
    fn exercise(&mut self, tag: u64);
    /// False if it surely was not sent.
    fn call(&mut self, link: LinkId, id: RpcId, wait: Us, body: &[u8]) -> bool;
    fn give_up(&mut self, link: LinkId, id: RpcId);
    /// Closes a link on which no call is in hand; it is made anew when it is needed. False if it isn't up.
    fn close_link(&mut self, link: LinkId) -> bool;
    /// Ends a connection of which nothing could be run.
    fn distrust(&mut self, conn: ConnId);
    /// The link to the agent is of no more use: it ends at once and is made anew.
    fn end_agent(&mut self);
    /// What the name service is to be told from now on.
    fn serving(&mut self, yes: bool);
    /// No new RPC is wanted on any connection.
    fn leaving(&mut self);
    fn close_idle(&mut self, span: Us);
    fn log(&mut self, line: &str);
    /// Bytes for the broker. False if they can't be sent: its connection ends then.
    fn broker(&mut self, bytes: &[u8]) -> bool;
    /// Ends the connection to the broker, at once or once all is written.
    fn end_broker(&mut self, at_once: bool);
}
