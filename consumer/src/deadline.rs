//! Deadline of a delivery.

use asterrill::Us;
use asterrill_protocol::amqp::MessageProperties;

const US_PER_MS: Us = 1_000;
const US_PER_S: Us = 1_000_000;

/// Returns the deadline of a delivery that was read at `now`; none if it has passed already.
///
/// The deadline is the earlier of two times: `now` plus `processing_timeout`, and the message's `timestamp` plus its
/// `expiration`. Without a timestamp, the expiration starts at `now`, because the message does not contain the time
/// that it spent in the queue. A timestamp in the future is replaced by `now`, because clocks differ.
pub(crate) fn deadline(now: Us, properties: &MessageProperties, processing_timeout: Us) -> Option<Us> {
    let latest = now.saturating_add(processing_timeout);
    let Some(time_to_live) = time_to_live(properties) else {
        return Some(latest).filter(|deadline| *deadline > now);
    };
    let published_at = properties.timestamp.map_or(now, |seconds| seconds.saturating_mul(US_PER_S).min(now));
    // A timestamp has a resolution of one second, so the expiration is extended by one second.
    let rounding = if properties.timestamp.is_some() { US_PER_S } else { 0 };
    let expires_at = published_at.saturating_add(time_to_live).min(latest).saturating_add(rounding);
    Some(expires_at.min(latest)).filter(|deadline| *deadline > now)
}

/// Returns the message's `expiration` in microseconds; none if it is absent or not a number.
fn time_to_live(properties: &MessageProperties) -> Option<Us> {
    let milliseconds = properties.expiration.as_deref()?.parse::<u64>().ok()?;
    Some(milliseconds.saturating_mul(US_PER_MS))
}
