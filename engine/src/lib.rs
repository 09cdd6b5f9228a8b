//! State machine for the open RPCs of one server, from arrival to the single final answer of each RPC.
//!
//! An [`Engine`] is the sole owner of the decision module ([`asterrill::Control`]), the table of open RPCs, the wakeups
//! requested by the module, the idempotency keys with their results, and the cached results of reads. It performs no
//! I/O: it has no socket, no clock and no coroutine, and it is independent of any protocol. The embedding program
//! passes in one input at a time together with the current time, and carries out the actions requested through
//! [`Outputs`].
//!
//! Four kinds of components use the engine, and none of them depends on another:
//!
//! | component | inputs | outputs |
//! | --- | --- | --- |
//! | front ends, which receive RPCs and send answers | [`Engine::request_received`], [`Engine::caller_cancelled`] | [`Outputs::answer`] |
//! | executors, which run RPCs | [`Engine::run_ended`], [`Engine::call_needed`], [`Engine::launch_failed`] | [`Outputs::launch`], [`Outputs::resume`], [`Outputs::skip`], [`Outputs::stop`] |
//! | the upstream tier | [`Engine::call_ended`], [`Engine::upstream_link_ended`] | [`Outputs::send_call`], [`Outputs::cancel_call`] |
//! | the event loop, which owns the clock and the gauges | [`Engine::tick`], [`Engine::gauges_sampled`], [`Engine::drain`] | [`Outputs::request_gauges`] |
//!
//! The type parameter `ReplyTo` identifies the destination of an answer. It is any small value that is unique across
//! the front ends, such as a stream of a connection, a message of a queue, or the number of a request in the same
//! process.
//!
//! Guarantees:
//! - Each RPC accepted by [`Engine::request_received`] is either answered exactly once or cancelled by
//!   [`Engine::caller_cancelled`], never both.
//! - An RPC is launched at most once. If an executor loses a command, the owner of its connection resends it
//!   ([`Engine::last_command`]); the engine does not. Where a loss is not certain, [`Engine::may_launch_again`] and
//!   [`Engine::reply_uncertain`] say how to proceed.
//! - No output concerns an RPC after [`Outputs::closed`]; its id may be reused once its result is no longer retained either.
//! - The engine's time is monotonic even if the clock is set back.
//!
//! ```
//! use asterrill_engine::{Engine, EngineConfig, RetentionLimits};
//! # use asterrill::*;
//! # let control = Control::new(0, 1, ControlParts {
//! #     step: 4_000,
//! #     stop_mode: StopMode::Off,
//! #     methods: vec![Method { latency_target: 400_000, deadline: 900_000, idempotency: Idempotency::Idempotent, criticality: 1.0, late_value_ratio: 0.0, idempotency_window: 0, skip_value_ratio: 0.0 }],
//! #     accounts: CallerAccounts::new(400_000, 1),
//! #     concurrency: ConcurrencyLimit::new(0, 1, 8.0, 1.0, 1),
//! #     calls: UpstreamCalls::new(Upstream::Absent, 1, 0, 400_000),
//! #     keys: IdempotencyKeys::new(0.0, 0),
//! #     memory: MemoryBudget::new(9e9, 1.0),
//! #     drain: Drain::new(0),
//! #     feedback: CallerFeedback::new(FeedbackMode::Off, 0, 400_000, 0),
//! #     quotas: TenantQuotas::new(&[], 1, 1.0),
//! # });
//! let limits = RetentionLimits { result_ttl: 0, idempotency_result_bytes: 0, max_rpc_lifetime: 900_000 };
//! let config = EngineConfig { coalescible_methods: vec![true], limits };
//! let engine: Engine<u64, Vec<u8>> = Engine::new(0, control, config, Box::new(|bytes| Some(bytes.to_vec())));
//! assert_eq!((engine.open_rpcs(), engine.unanswered()), (0, 0));
//! ```

#![warn(missing_docs)]

mod answers;
mod calls;
mod config;
mod drain;
mod engine;
mod expired_attempts;
mod idempotency;
mod intake;
mod outcomes;
mod outputs;
mod recent_runs;
mod request;
mod response_cache;
mod rpc;
mod runs;
mod settings;
mod stats;
mod table;
mod timers;

#[cfg(test)]
mod tests;

pub use config::{CopyBody, EngineConfig, RetentionLimits};
pub use engine::Engine;
pub use idempotency::IdempotencyKey;
pub use intake::IntakeError;
pub use outputs::{AnsweredRpc, Outputs, UpstreamConnectionId, UpstreamLinkId};
pub use request::{Command, IncomingRpc};
pub use stats::EngineStats;
