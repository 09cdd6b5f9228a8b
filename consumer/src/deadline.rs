//! By when a delivery must be answered.

use asterrill::Us;
use asterrill_protocol::amqp::Headers;

/// The earliest of: its `timestamp` plus its `expiration`; without a timestamp its expiration from now on, as
/// the time in the queue is not told; and the queue's own bound from now on. A timestamp that lies ahead counts
/// as now: clocks differ. None if it is over already.
pub fn due(now: Us, headers: &Headers, bound: Us) -> Option<Us> {
    let expiration = headers.expiration.as_deref().and_then(|ms| ms.parse::<u64>().ok());
    let expiration = expiration.map(|ms| ms.saturating_mul(1000));
    let since = headers.timestamp.map_or(now, |s| s.saturating_mul(1_000_000).min(now));
    let last = now.saturating_add(bound);
    let due = expiration.map_or(last, |span| since.saturating_add(span).min(last));
    // A timestamp has whole seconds: what was sent in the second of its end is given the rest of that.
    let grace = if headers.timestamp.is_some() && expiration.is_some() { 1_000_000 } else { 0 };
    Some(due.saturating_add(grace).min(last)).filter(|due| *due > now)
}
