//! Datagram envelope, which authenticates the sender.
//!
//! | bytes | content |
//! | --- | --- |
//! | 1 | version |
//! | 8 | hash of the cluster name, little-endian like all numbers in the envelope |
//! | 8 | sender: hash of the member name |
//! | 8 | generation: the process start of the sender |
//! | 8 | sequence number, from 1 |
//! | 16 | MAC over all preceding fields and the payload: BLAKE3 in keyed mode, truncated |
//! | rest | payload |

use crate::replay::ReplayFilter;
use xxhash_rust::xxh3::xxh3_64;

const ENVELOPE_VERSION: u8 = 1;
const NUMBER_BYTES: usize = 8;
/// Size of the version and of the cluster, sender, generation and sequence number.
const HEADER_BYTES: usize = 1 + NUMBER_BYTES * 4;
const MAC_BYTES: usize = 16;
/// Key derivation context, which separates this use of the shared secret from any other.
const KEY_CONTEXT: &str = "asterrill membership datagrams 1";

/// Reasons to drop a datagram before its payload is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EnvelopeError {
    /// The datagram is shorter than an envelope.
    #[error("the datagram is shorter than an envelope of {} bytes", HEADER_BYTES + MAC_BYTES)]
    TooShort,
    /// The envelope has an unsupported version.
    #[error("the envelope version is unsupported; expected version {}", ENVELOPE_VERSION)]
    UnsupportedVersion,
    /// The datagram belongs to a cluster with another name.
    #[error("the cluster hash in the envelope is not that of this cluster")]
    OtherCluster,
    /// The MAC was computed with another secret, or the datagram was modified.
    #[error("the MAC does not match the datagram and the shared secret")]
    BadMac,
    /// The datagram was received before, is too old to tell, or comes from an earlier process of its sender.
    #[error("the datagram is a replay, too old, or from an earlier process of its sender")]
    Replayed,
}

/// Contents of an authentic datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Envelope<'a> {
    /// Identifier of the sender; see [`EnvelopeCodec::sender_id`].
    pub sender: u64,
    /// Generation of the sender's process.
    pub generation: u64,
    /// Payload that the envelope protects.
    pub payload: &'a [u8],
}

/// Codec that encodes envelopes of this member and decodes those of others.
pub struct EnvelopeCodec {
    key: [u8; 32],
    cluster: u64,
    sender: u64,
    generation: u64,
    last_sequence: u64,
    replay_filter: ReplayFilter,
}

impl EnvelopeCodec {
    /// Creates the codec of the member with this `name` and `generation`.
    ///
    /// All members of a cluster share `secret` and the cluster name `cluster`.
    pub fn new(secret: &[u8], cluster: &str, name: &str, generation: u64) -> EnvelopeCodec {
        EnvelopeCodec {
            key: blake3::derive_key(KEY_CONTEXT, secret),
            cluster: xxh3_64(cluster.as_bytes()),
            sender: EnvelopeCodec::sender_id(name),
            generation,
            last_sequence: 0,
            replay_filter: ReplayFilter::default(),
        }
    }

    /// Returns the identifier of a member in envelopes, which is a hash of its name.
    pub fn sender_id(name: &str) -> u64 {
        xxh3_64(name.as_bytes())
    }

    /// Returns a datagram with this payload and the next sequence number.
    pub fn encode(&mut self, payload: &[u8]) -> Vec<u8> {
        self.last_sequence += 1;
        let mut bytes = Vec::with_capacity(HEADER_BYTES + MAC_BYTES + payload.len());
        bytes.push(ENVELOPE_VERSION);
        for number in [self.cluster, self.sender, self.generation, self.last_sequence] {
            bytes.extend_from_slice(&number.to_le_bytes());
        }
        bytes.extend_from_slice(payload);
        let mac = blake3::keyed_hash(&self.key, &bytes);
        bytes.splice(HEADER_BYTES..HEADER_BYTES, mac.as_bytes()[..MAC_BYTES].iter().copied());
        bytes
    }

    /// Verifies a datagram and returns its contents. A second call with the same datagram rejects it as a replay.
    ///
    /// # Errors
    /// Returns the [`EnvelopeError`] of the first check that failed; the checks run in the order of its variants.
    pub fn decode<'a>(&mut self, bytes: &'a [u8]) -> Result<Envelope<'a>, EnvelopeError> {
        let (header, rest) = bytes.split_first_chunk::<HEADER_BYTES>().ok_or(EnvelopeError::TooShort)?;
        let (mac, payload) = rest.split_first_chunk::<MAC_BYTES>().ok_or(EnvelopeError::TooShort)?;
        let (version, numbers) = (header[0], &header[1..]);
        if version != ENVELOPE_VERSION {
            return Err(EnvelopeError::UnsupportedVersion);
        }
        let mut numbers = numbers.chunks_exact(NUMBER_BYTES).map(u64_from_le);
        let mut next = || numbers.next().unwrap_or_default();
        let (cluster, sender, generation, sequence) = (next(), next(), next(), next());
        if cluster != self.cluster {
            return Err(EnvelopeError::OtherCluster);
        }
        if !self.is_authentic(header, payload, mac) {
            return Err(EnvelopeError::BadMac);
        }
        if !self.replay_filter.accept(sender, generation, sequence) {
            return Err(EnvelopeError::Replayed);
        }
        Ok(Envelope { sender, generation, payload })
    }

    /// Reports whether the MAC matches.
    ///
    /// The comparison takes constant time: it covers all bytes, wherever the first difference is.
    fn is_authentic(&self, header: &[u8], payload: &[u8], mac: &[u8; MAC_BYTES]) -> bool {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(header).update(payload);
        let expected = hasher.finalize();
        let bytes = expected.as_bytes()[..MAC_BYTES].iter().zip(mac);
        bytes.fold(0, |difference, (a, b)| difference | (a ^ b)) == 0
    }
}

fn u64_from_le(bytes: &[u8]) -> u64 {
    bytes.try_into().map_or(0, u64::from_le_bytes)
}
