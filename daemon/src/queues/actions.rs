//! Actions of the queue state machines, carried out on the session or passed to the core as requests.

use super::consumers::{QueueConsumers, REPLY_CHANNEL};
use asterrill::{RpcId, Us};
use asterrill_consumer::{Action, InFlightId, PendingReply, QueueConsumer, Submission};
use asterrill_engine::IncomingRpc;
use asterrill_protocol::amqp::{Reply, Session, State};
use nanorand::{Rng, WyRand};

/// Consumer tag of all queues. It need not be unique, because each queue has its own channel.
const CONSUMER_TAG: &str = "asterrill";
/// AMQP reply code for a close without an error.
const REPLY_SUCCESS: u16 = 200;

/// Request of a queue to the core.
pub enum QueueRequest {
    /// Submits a delivery to the engine.
    Submit {
        /// The delivery as an RPC, under a random id.
        rpc: IncomingRpc,
        /// The id of the delivery.
        delivery: InFlightId,
        /// The body of the delivery.
        body: Vec<u8>,
    },
    /// Withdraws a delivery that has not been launched.
    Withdraw(InFlightId),
    /// Writes a line to the log.
    Log(String),
}

impl QueueConsumers {
    /// Carries out the actions of the queues up to the next request to the core, and returns that request.
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
        denied: false,
        stop_when_over: true,
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
