//! Access to the engine: all its inputs pass through [`Core::with_engine`].

use super::engine_outputs::EngineOutputs;
use super::state::{Core, RpcEngine};
use crate::outbound::Outbound;
use asterrill::Us;

impl Core {
    /// Applies an input to the engine and carries out its outputs, then serves the queues, for which the input may have
    /// produced work.
    pub(super) fn with_engine<R>(
        &mut self, now: Us, outbound: &mut dyn Outbound,
        input: impl FnOnce(&mut RpcEngine, Us, &mut EngineOutputs<'_>) -> R,
    ) -> R {
        self.now = self.engine.advance_to(now);
        let mut outputs = EngineOutputs { now: self.now, state: &mut self.state, outbound };
        let result = input(&mut self.engine, self.now, &mut outputs);
        if self.state.queues.is_some() {
            self.serve_queues(outbound);
        }
        result
    }
}
