//! Carries out what the queues' state machines ask for: on the session here, or as a request to the core.

use super::consumers::{QueueConsumers, REPLY_CHANNEL};
use asterrill::{RpcId, Us};
use asterrill_consumer::{Action, InFlightId, PendingReply, QueueConsumer, Submission};
use asterrill_engine::IncomingRpc;
use asterrill_protocol::amqp::{Reply, Session, State};
use nanorand::{Rng, WyRand};

/// The consumer tag; each queue has a channel of its own.
const CONSUMER_TAG: &str = "asterrill";
/// The AMQP reply code of a close without an error.
const REPLY_SUCCESS: u16 = 200;

/// What the core is to do for a queue.
pub enum QueueRequest {
    /// Submit a delivery to the engine.
    Submit {
        /// The delivery as an RPC, under an id drawn for it.
        rpc: IncomingRpc,
        /// Which delivery it is.
        delivery: InFlightId,
        /// Its body.
        body: Vec<u8>,
    },
    /// Withdraw a delivery that has not been launched.
    Withdraw(InFlightId),
    /// Write a line to the log.
    Log(String),
}

impl QueueConsumers {
    /// Carries out what the queues ask for, until one requests something of the core.
    pub fn next_request(&mut self, now: Us) -> Option<QueueRequest> {
        for (index, queue) in self.queues.iter_mut().enumerate() {
            let channel = QueueConsumers::channel_of(index);
            while let Some(action) = queue.next_action() {
                match action {
                    Action::Submit(submission) => return Some(submit(&mut self.rng, queue, &submission)),
                    Action::Withdraw(delivery) => return Some(QueueRequest::Withdraw(delivery)),
                    Action::Log(line) => return Some(QueueRequest::Log(line)),
                    Action::OpenChannel => {
                        if !self.session.open_channel(channel) {
                            queue.channel_open_failed(now);
                        }
                    }
                    Action::CloseChannel { code, reason } => {
                        self.session.close_channel(channel, code, reason);
                    }
                    Action::Consume { prefetch } => {
                        self.session.consume(channel, &queue.config().name, CONSUMER_TAG, prefetch);
                    }
                    Action::Cancel => {
                        self.session.cancel(channel, CONSUMER_TAG);
                    }
                    Action::Settle { tag, settlement } => {
                        self.stats.late_settlements += u64::from(!self.session.settle(tag, settlement));
                    }
                    Action::PublishReply(delivery) => {
                        if self.can_publish {
                            publish_reply(&mut self.session, queue, delivery);
                        }
                    }
                }
            }
        }
        self.close_when_drained(now);
        None
    }

    fn close_when_drained(&mut self, now: Us) {
        let all_drained = self.queues.iter().all(QueueConsumer::is_drained);
        if self.draining && all_drained && self.session.state() == State::Open {
            self.session.close(now, REPLY_SUCCESS, "leaving");
        }
    }
}

fn submit(rng: &mut WyRand, queue: &QueueConsumer, submission: &Submission) -> QueueRequest {
    let body = queue.body(submission.id).unwrap_or(&[]).to_vec();
    let rpc = IncomingRpc {
        id: RpcId::from_number(rng.generate()),
        method: submission.method,
        tenant: submission.tenant,
        caller: submission.caller,
        deadline: Some(submission.deadline),
        read_delay: 0,
        size_kb: submission.size_kb,
        cache_key: None,
        coalescible: false,
        idempotency_key: None,
    };
    QueueRequest::Submit { rpc, delivery: submission.id, body }
}

fn publish_reply(session: &mut Session, queue: &mut QueueConsumer, delivery: InFlightId) {
    let Some(PendingReply { reply_to, correlation_id, ok, body }) = queue.pending_reply(delivery) else {
        return;
    };
    let message_id = format!("{:016x}", delivery.0);
    let kind = if ok { "ok" } else { "aborted" };
    let reply = Reply { to: reply_to, correlation_id, message_id: &message_id, kind, body };
    if let Some(sequence) = session.publish(REPLY_CHANNEL, &reply) {
        queue.reply_published(delivery, sequence);
    }
}
