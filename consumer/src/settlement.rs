//! What an answer makes of a delivery.

use asterrill::{Effect, Final, Us};
use asterrill_protocol::amqp::Settle;

/// What becomes of a delivery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is over; whoever asked for an answer gets one.
    Settle(Settle),
    /// It is offered again after so long.
    Again(Us),
}

/// How a delivery was tried so far.
#[derive(Clone, Copy, Debug)]
pub struct Tried {
    /// Whether it may run again, and when it is due.
    pub effect: Effect,
    pub due: Us,
    /// Runs that were made, here or before, the last one included.
    pub runs: u32,
    /// Pushbacks in a row.
    pub pushed_back: u32,
    /// A run was made for the last offer.
    pub ran: bool,
}

/// The rules, in order:
///
/// 1. ok: acknowledged.
/// 2. It never ran and the server leaves: back into the queue, for another server.
/// 3. It never ran: offered again when it was told to come back, or after a pause that doubles with every
///    pushback. What would be due before that is rejected now. Nothing is sent back to the broker for it, or it
///    would come again at once, as fast as the line carries it.
/// 4. It ran and may run again, and has runs left: back into the queue if the server leaves, else offered again
///    after a pause that doubles with every run. Guards against a poison message that ends every run; the harm
///    is that its place in the window is taken meanwhile.
/// 5. It ran: rejected, for the dead-letter side. A run that was aborted may have had its effect, and what must
///    not take effect twice is not tried again.
pub fn verdict(
    now: Us, answer: &Final<'_>, tried: Tried, attempts: u32, pause: (Us, Us), leaving: bool,
) -> Verdict {
    let grown = |times: u32| pause.0.saturating_mul(1 << times.min(20)).min(pause.1);
    let again = |wait: Us| match now.saturating_add(wait) < tried.due {
        true => Verdict::Again(wait),
        false => Verdict::Settle(Settle::Reject),
    };
    let again_runs = tried.effect == Effect::Idempotent && tried.runs < attempts;
    match answer {
        Final::Ok(_) => Verdict::Settle(Settle::Ack),
        _ if !tried.ran && leaving => Verdict::Settle(Settle::Requeue),
        Final::PushedBack { come_back, .. } => again(grown(tried.pushed_back).max(*come_back)),
        Final::Aborted if !tried.ran => again(grown(tried.pushed_back)),
        Final::Aborted if again_runs && leaving => Verdict::Settle(Settle::Requeue),
        Final::Aborted if again_runs => again(grown(tried.runs.saturating_sub(1))),
        Final::Aborted => Verdict::Settle(Settle::Reject),
    }
}
