//! What an answer of the engine makes of a delivery.

use crate::config::Backoff;
use asterrill::{FinalAnswer, Idempotency, Us};
use asterrill_protocol::amqp::Settlement;

/// What becomes of a delivery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Disposition {
    /// It is settled; whoever asked for a reply gets one.
    Settle(Settlement),
    /// It is submitted again after this delay, in microseconds.
    Retry { delay: Us },
}

/// How a message was run so far.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptHistory {
    /// Whether its method may run again.
    pub(crate) idempotency: Idempotency,
    /// When it must be answered, in microseconds.
    pub(crate) deadline: Us,
    /// Runs that were made, here or before a redelivery, the last one included.
    pub(crate) runs: u32,
    /// Rejections in a row.
    pub(crate) consecutive_rejections: u32,
    /// Whether the last submission was run.
    pub(crate) ran: bool,
}

/// When a message is retried.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryPolicy {
    /// Runs after which a message is not retried.
    pub(crate) max_attempts: u32,
    /// The delay before a retry.
    pub(crate) backoff: Backoff,
    /// The server drains: what may run elsewhere goes back to the broker.
    pub(crate) draining: bool,
}

impl RetryPolicy {
    /// Decides about a message that was answered `now`, in this order:
    ///
    /// 1. Ok: acknowledged.
    /// 2. It never ran and the server drains: requeued, for another server.
    /// 3. It never ran: retried after the answer's Retry-After or a delay that doubles with each rejection, whichever is
    ///    longer. What would then be past its deadline is rejected now. It is not requeued: the broker would redeliver
    ///    it at once, as fast as the connection carries it.
    /// 4. It ran, is idempotent and has attempts left: requeued if the server drains, else retried after a delay that
    ///    doubles with each run. This bounds the cost of a poison message; it takes its place in the window meanwhile.
    /// 5. It ran: rejected, for the dead-letter side. An aborted run may have had its effect, and what must not take
    ///    effect twice is not run again.
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

fn retry_before_deadline(now: Us, delay: Us, deadline: Us) -> Disposition {
    if now.saturating_add(delay) < deadline {
        Disposition::Retry { delay }
    } else {
        Disposition::Settle(Settlement::Reject)
    }
}
