//! The open RPCs of one server, from the moment each is read to its one final answer.
//!
//! [`Engine`] is the sole owner of the decision module ([`asterrill::Control`]), of the table of open RPCs, of
//! the wakes the module asked for, of RPCs that wait for another's result, and of the results kept for them.
//! It has no socket, no clock and no coroutine, and knows no protocol: whoever owns those brings it one input
//! at a time, with the time, and carries out what is handed back through [`Outputs`].
//!
//! Four kinds of surroundings meet here, and know nothing of one another:
//!
//! | who | brings | is told |
//! | --- | --- | --- |
//! | fronts: who asks and is answered | [`Engine::request_received`], [`Engine::caller_gone`] | [`Outputs::answer`] |
//! | executors: who runs | [`Engine::run_ended`], [`Engine::call_needed`], [`Engine::launch_failed`] | [`Outputs::launch`], [`Outputs::resume`], [`Outputs::skip`], [`Outputs::stop`] |
//! | the layer below | [`Engine::call_ended`], [`Engine::upstream_link_ended`] | [`Outputs::send_call`], [`Outputs::cancel_call`] |
//! | the owner of time and gauges | [`Engine::tick`], [`Engine::gauges_sampled`], [`Engine::drain`] | [`Outputs::request_gauges`] |
//!
//! `P` says where an answer goes: any small value that the fronts tell apart by themselves, such as a stream
//! of a connection, a delivery of a queue, or the number of a request in the same process.
//!
//! Promises:
//! - Each RPC that [`Engine::request_received`] took is answered once, or given up by [`Engine::caller_gone`], never both.
//! - An RPC is launched at most once; only an executor that lost the command is told again, by itself.
//! - Nothing is handed back for an RPC after [`Outputs::closed`]; then its id may be used again.
//! - Time never goes back here, whatever the clock does.
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

mod engine;
mod idempotency;
mod outputs;
mod response_cache;
#[cfg(test)]
mod tests;

pub use engine::{Command, Engine, EngineConfig, Hold, IncomingRpc, RetentionLimits};
pub use idempotency::IdempotencyKey;
pub use outputs::{EngineStats, Outputs, Served, UpstreamLinkId};
