//! Decision whether a message is settled or retried after an answer of the engine.

use crate::config::Backoff;
use asterrill::{FinalAnswer, Idempotency, Us};
use asterrill_protocol::amqp::Settlement;

/// Decision about a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Disposition {
    /// Settles the deliveries of the message, after a reply if it asked for one.
    Settle(Settlement),
    /// Submits the message again after this delay, in microseconds.
    Retry { delay: Us },
}

/// Previous runs and rejections of a message.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptHistory {
    /// Idempotency of its method, which decides whether it may run again.
    pub(crate) idempotency: Idempotency,
    /// Time by which the message must be answered, in microseconds.
    pub(crate) deadline: Us,
    /// Number of runs, here or before a redelivery, including the last one.
    pub(crate) runs: u32,
    /// Number of consecutive rejections.
    pub(crate) consecutive_rejections: u32,
    /// Whether the last submission has run.
    pub(crate) ran: bool,
}

/// Policy for retries of messages.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryPolicy {
    /// Number of runs after which a message is not retried.
    pub(crate) max_attempts: u32,
    /// Delay before a retry.
    pub(crate) backoff: Backoff,
    /// Whether the server drains, so that messages that may run on another server are requeued.
    pub(crate) draining: bool,
}

impl RetryPolicy {
    /// Decides about a message that was answered at `now`. The first rule that applies is used:
    ///
    /// 1. The answer is ok: the message is acknowledged.
    /// 2. It did not run and the server drains: it is requeued, for another server.
    /// 3. It did not run: it is retried after the answer's Retry-After or a delay that doubles with each rejection,
    ///    whichever is longer. If that is past its deadline, it is rejected now. It is not requeued, because the broker
    ///    would redeliver it at once, in a loop as fast as the connection allows.
    /// 4. It ran, is idempotent and has attempts left: it is requeued if the server drains, else retried after a delay
    ///    that doubles with each run. The delay bounds the cost of a poison message, which occupies its place in the
    ///    prefetch window meanwhile.
    /// 5. It ran: it is rejected, to be dead-lettered if the queue has a dead-letter exchange. An aborted run may have
    ///    had its effect, and a message that must not take effect twice is not run again.
    pub(crate) fn decide(&self, now: Us, answer: &FinalAnswer<'_>, history: AttemptHistory) -> Disposition {
        let may_run_again =
            history.idempotency == Idempotency::Idempotent && history.runs < self.max_attempts;
        let after_rejection = self.backoff.delay(history.consecutive_rejections);
        let retry = |delay| retry_before_deadline(now, delay, history.deadline);
        match answer {
            FinalAnswer::Ok(_) => Disposition::Settle(Settlement::Ack),
            _ if !history.ran && self.draining => Disposition::Settle(Settlement::Requeue),
            FinalAnswer::Rejected { retry_after, .. } => retry(after_rejection.max(*retry_after)),
            FinalAnswer::Aborted if !history.ran => retry(after_rejection),
            FinalAnswer::Aborted if may_run_again && self.draining => {
                Disposition::Settle(Settlement::Requeue)
            }
            FinalAnswer::Aborted if may_run_again => {
                retry(self.backoff.delay(history.runs.saturating_sub(1)))
            }
            FinalAnswer::Aborted => Disposition::Settle(Settlement::Reject),
        }
    }
}

/// Retries a message after a delay, or rejects it if that is past its deadline.
fn retry_before_deadline(now: Us, delay: Us, deadline: Us) -> Disposition {
    if now.saturating_add(delay) < deadline {
        Disposition::Retry { delay }
    } else {
        Disposition::Settle(Settlement::Reject)
    }
}
