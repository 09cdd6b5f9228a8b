//! A token bucket for each source address.

use asterrill::Us;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Addresses with a bucket that is not full; datagrams of more are dropped.
const MAX_TRACKED_SOURCES: usize = 4096;
/// Datagrams that one address may send at once.
const MAX_BURST_DATAGRAMS: f64 = 2_000.0;
/// Datagrams that one address may send a second.
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

/// Guards against one address that takes all of this member's time. The cost: a burst of a real member is cut, and what
/// was in it is gossiped again.
#[derive(Default)]
pub(crate) struct SourceRateLimiter {
    buckets: BTreeMap<SocketAddr, TokenBucket>,
}

impl SourceRateLimiter {
    /// Whether a datagram of this address is within its rate.
    pub(crate) fn allows(&mut self, now: Us, source: SocketAddr) -> bool {
        if self.buckets.len() >= MAX_TRACKED_SOURCES && !self.buckets.contains_key(&source) {
            // A full bucket is the same as none.
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
