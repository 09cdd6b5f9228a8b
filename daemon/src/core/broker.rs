//! Deliveries of queues: the requests of the queue state machines to the engine, and the connection to the broker.

use super::active_names::ActiveNames;
use super::engine_outputs::EngineOutputs;
use super::state::{Core, CoreState};
use crate::ids::Requester;
use crate::outbound::Outbound;
use crate::queues::{QueueConsumers, QueueRequest};
use asterrill::{FinalAnswer, RpcId, Us};
use asterrill_consumer::InFlightId;
use asterrill_engine::{IncomingRpc, Outputs};
use nanorand::Rng;

/// Maximum number of ids tried for a delivery before it is treated as rejected. A random id may already be in use.
const MAX_ID_ATTEMPTS: usize = 4;

impl Core {
    /// Starts consuming deliveries of these queues.
    pub fn attach_queues(&mut self, queues: QueueConsumers) {
        self.state.queues = Some(queues);
    }

    /// Returns the consumed queues, if any.
    pub fn queues(&self) -> Option<&QueueConsumers> {
        self.state.queues.as_ref()
    }

    /// Carries out all pending requests of the queues, and sends pending bytes to the broker.
    pub(super) fn serve_queues(&mut self, outbound: &mut dyn Outbound) {
        let now = self.now;
        while let Some(request) = self.state.queues.as_mut().and_then(|queues| queues.next_request(now)) {
            match request {
                QueueRequest::Submit { rpc, delivery, body } => {
                    self.submit_delivery(rpc, delivery, &body, outbound);
                }
                QueueRequest::Withdraw(delivery) => self.withdraw_delivery(delivery, outbound),
                QueueRequest::Log(line) => outbound.log(&line),
            }
        }
        let Some(queues) = &mut self.state.queues else { return };
        let session = queues.session_mut();
        if !session.out.is_empty() {
            outbound.send_to_broker(&session.out);
            session.mark_written(now);
        }
        if queues.is_done() {
            outbound.close_broker(false);
        }
    }

    /// Submits a delivery to the engine under an id that no other RPC has.
    fn submit_delivery(
        &mut self, mut rpc: IncomingRpc, delivery: InFlightId, body: &[u8], outbound: &mut dyn Outbound,
    ) {
        let now = self.now;
        let requester = Requester::Queue(delivery);
        let mut outputs = EngineOutputs { now, state: &mut self.state, outbound };
        outputs.state.service.record_received(rpc.method);
        let mut accepted = false;
        for _ in 0..MAX_ID_ATTEMPTS {
            accepted = accepted
                || self.engine.request_received(now, requester, rpc.clone(), body, &mut outputs).is_ok();
            rpc.id = RpcId::from_number(self.rng.generate());
        }
        if !accepted {
            let answer = FinalAnswer::Rejected { terminal: false, retry_after: 0 };
            outputs.answer(requester, answer, None, None);
        }
    }

    /// Withdraws a delivery from the engine if it has not been launched yet.
    fn withdraw_delivery(&mut self, delivery: InFlightId, outbound: &mut dyn Outbound) {
        let now = self.now;
        let requester = Requester::Queue(delivery);
        let mut outputs = EngineOutputs { now, state: &mut self.state, outbound };
        let withdrawn =
            !self.engine.is_launched(requester) && self.engine.caller_cancelled(now, requester, &mut outputs);
        if let Some(queues) = self.state.queues.as_mut().filter(|_| withdrawn) {
            queues.withdrawn(now, delivery);
        }
    }

    /// Handles a new connection to the broker.
    pub fn broker_connected(&mut self, now: Us, outbound: &mut dyn Outbound) {
        self.with_engine(now, outbound, |_, now, outputs| {
            if let Some(queues) = &mut outputs.state.queues {
                queues.connected(now);
            }
        });
    }

    /// Handles the end of the connection to the broker, or a failed attempt to connect. Returns whether the connection
    /// had been usable.
    pub fn broker_disconnected(&mut self, now: Us, outbound: &mut dyn Outbound) -> bool {
        self.with_engine(now, outbound, |_, _, outputs| {
            outputs.state.queues.as_mut().is_some_and(QueueConsumers::disconnected)
        })
    }

    /// Reports whether no connection to the broker is needed any more.
    pub fn broker_done(&self) -> bool {
        self.state.queues.as_ref().is_some_and(QueueConsumers::is_done)
    }

    /// Handles bytes from the broker. Returns false if the connection has failed.
    pub fn broker_read(&mut self, now: Us, bytes: &[u8], outbound: &mut dyn Outbound) -> bool {
        let mut logs = Vec::new();
        let result = self.with_engine(now, outbound, |engine, now, outputs| {
            let CoreState { queues, names, .. } = &mut *outputs.state;
            let active = ActiveNames { names, engine };
            queues.as_mut().map_or(Ok(()), |queues| queues.read(now, bytes, &mut logs, &active))
        });
        for line in &logs {
            outbound.log(line);
        }
        self.close_failed_broker(result, false, outbound)
    }

    /// Closes the connection to the broker if `result` is an error: after all pending bytes are written, or at once if
    /// the broker may no longer read them. Returns false if the connection has failed.
    pub(super) fn close_failed_broker(
        &mut self, result: Result<(), String>, at_once: bool, outbound: &mut dyn Outbound,
    ) -> bool {
        if let Err(reason) = &result {
            outbound.log(&format!("connection to the broker failed; reconnecting: {reason}"));
            outbound.close_broker(at_once);
        }
        result.is_ok()
    }
}
