//! By when a delivery must be answered.

use asterrill::Us;
use asterrill_protocol::amqp::MessageProperties;

const US_PER_MS: Us = 1_000;
const US_PER_S: Us = 1_000_000;

/// The deadline of a delivery that was read `now`; none if it has passed already.
///
/// It is the earliest of: the message's `timestamp` plus its `expiration`; without a timestamp the expiration from now
/// on, as the time spent in the queue is not on the message; and `processing_timeout` from now on. A timestamp in the
/// future counts as now, because clocks differ.
pub(crate) fn deadline(now: Us, properties: &MessageProperties, processing_timeout: Us) -> Option<Us> {
    let latest = now.saturating_add(processing_timeout);
    let Some(time_to_live) = time_to_live(properties) else {
        return Some(latest).filter(|deadline| *deadline > now);
    };
    let published_at = properties.timestamp.map_or(now, |seconds| seconds.saturating_mul(US_PER_S).min(now));
    // A timestamp has whole seconds: what was sent in the second of its end is given the rest of that second.
    let rounding = if properties.timestamp.is_some() { US_PER_S } else { 0 };
    let expires_at = published_at.saturating_add(time_to_live).min(latest).saturating_add(rounding);
    Some(expires_at.min(latest)).filter(|deadline| *deadline > now)
}

/// The message's `expiration` in microseconds; none if it has none or it is not a number.
fn time_to_live(properties: &MessageProperties) -> Option<Us> {
    let milliseconds = properties.expiration.as_deref()?.parse::<u64>().ok()?;
    Some(milliseconds.saturating_mul(US_PER_MS))
}
