//! Inputs from the engine: runs, withdrawals and final answers.

use crate::action::InFlightId;
use crate::message::MessageState;
use crate::queue::QueueConsumer;
use crate::retry_policy::{AttemptHistory, Disposition, RetryPolicy};
use asterrill::{FinalAnswer, Idempotency, Us};
use asterrill_protocol::amqp::Settlement;

impl QueueConsumer {
    /// Records that a run of a message has started.
    pub fn run_started(&mut self, id: InFlightId) {
        if let Some(message) = self.messages.get_mut(&id) {
            message.state = MessageState::Submitted { run_started: true };
            message.runs = message.runs.saturating_add(1);
        }
    }

    /// Records that a submission was withdrawn from the engine before it ran. The message waits for its redelivery.
    pub fn withdrawn(&mut self, now: Us, id: InFlightId) {
        let Some(message) = self.messages.get_mut(&id) else { return };
        if message.is_submitted_unstarted() {
            message.state = MessageState::Waiting { retry_at: now };
            self.set_timer(now, id);
        }
    }

    /// Processes the final answer of the engine: the message is settled or retried.
    pub fn answered(&mut self, now: Us, id: InFlightId, answer: FinalAnswer<'_>) {
        let Some(message) = self.messages.get(&id) else { return };
        let MessageState::Submitted { run_started } = message.state else { return };
        let history = AttemptHistory {
            idempotency: message.idempotency,
            deadline: message.submission.deadline,
            runs: message.runs,
            consecutive_rejections: message.consecutive_rejections,
            ran: run_started,
        };
        let policy = RetryPolicy {
            max_attempts: self.config.max_attempts,
            backoff: self.config.backoff,
            draining: self.draining,
        };
        match policy.decide(now, &answer, history) {
            Disposition::Retry { delay } => self.schedule_retry(now + delay, id, run_started),
            Disposition::Settle(settlement) => {
                self.count_rejection(id, settlement, history);
                let result = match answer {
                    FinalAnswer::Ok(result) => result,
                    _ => &[],
                };
                self.reply_and_settle(now, id, settlement, result);
            }
        }
    }

    /// Holds a message until `retry_at`. `ran` says whether its last submission has run.
    fn schedule_retry(&mut self, retry_at: Us, id: InFlightId, ran: bool) {
        let Some(message) = self.messages.get_mut(&id) else { return };
        message.state = MessageState::Waiting { retry_at };
        if ran {
            message.consecutive_rejections = 0;
            self.stats.retries_after_abort += 1;
        } else {
            message.consecutive_rejections = message.consecutive_rejections.saturating_add(1);
            self.stats.retries_after_rejection += 1;
        }
        self.set_timer(retry_at, id);
    }

    /// Counts the reason why the deliveries of a message are rejected, if they are.
    fn count_rejection(&mut self, id: InFlightId, settlement: Settlement, history: AttemptHistory) {
        if settlement != Settlement::Reject {
            return;
        }
        let Some(message) = self.messages.get(&id) else { return };
        let attempts_exhausted =
            history.idempotency == Idempotency::Idempotent && history.runs >= self.config.max_attempts;
        let count = match history.ran {
            true if attempts_exhausted => &mut self.stats.poisoned,
            true => &mut self.stats.failed,
            false => &mut self.stats.expired,
        };
        *count += message.delivery_tags.len() as u64;
    }
}
