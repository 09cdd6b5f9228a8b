//! Rate limit for each source address, by token buckets.

use asterrill::Us;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Maximum number of addresses whose bucket is not full; datagrams of further addresses are dropped.
const MAX_TRACKED_SOURCES: usize = 4096;
/// Maximum number of datagrams in a burst of one address.
const MAX_BURST_DATAGRAMS: f64 = 2_000.0;
/// Sustained rate of datagrams allowed to one address.
const MAX_DATAGRAMS_PER_SECOND: f64 = 1_000.0;
const US_PER_SECOND: f64 = 1e6;

struct TokenBucket {
    tokens: f64,
    updated: Us,
}

impl TokenBucket {
    fn tokens_at(&self, now: Us) -> f64 {
        self.tokens + MAX_DATAGRAMS_PER_SECOND * (now - self.updated) as f64 / US_PER_SECOND
    }

    fn try_take(&mut self, now: Us) -> bool {
        self.tokens = self.tokens_at(now).min(MAX_BURST_DATAGRAMS);
        self.updated = now;
        let available = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(available));
        available
    }
}

/// Rate limiter that keeps one address from using all of this member's CPU time.
///
/// The drawback is that a long burst of a genuine member is truncated, and its updates have to be gossiped again.
#[derive(Default)]
pub(crate) struct SourceRateLimiter {
    buckets: BTreeMap<SocketAddr, TokenBucket>,
}

impl SourceRateLimiter {
    /// Reports whether a datagram of this address is within its rate, and counts it.
    pub(crate) fn allows(&mut self, now: Us, source: SocketAddr) -> bool {
        if self.buckets.len() >= MAX_TRACKED_SOURCES && !self.buckets.contains_key(&source) {
            // A full bucket is equivalent to no bucket.
            self.buckets.retain(|_, bucket| bucket.tokens_at(now) < MAX_BURST_DATAGRAMS);
            if self.buckets.len() >= MAX_TRACKED_SOURCES {
                return false;
            }
        }
        let bucket =
            self.buckets.entry(source).or_insert(TokenBucket { tokens: MAX_BURST_DATAGRAMS, updated: now });
        bucket.try_take(now)
    }
}
