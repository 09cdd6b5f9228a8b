//! Deliveries of queues: what their state machines request of the engine, and the connection to the broker.

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

/// Ids drawn for a delivery, in case one is in use, before it is treated as rejected.
const MAX_ID_ATTEMPTS: usize = 4;

impl Core {
    /// Deliveries of queues are consumed from now on.
    pub fn attach_queues(&mut self, queues: QueueConsumers) {
        self.state.queues = Some(queues);
    }

    /// The queues that are consumed, if any.
    pub fn queues(&self) -> Option<&QueueConsumers> {
        self.state.queues.as_ref()
    }

    /// Carries out all that the queues request, and sends what is to go to the broker.
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

    /// Hands a delivery to the engine under an id that no other RPC has.
    fn submit_delivery(
        &mut self, mut rpc: IncomingRpc, delivery: InFlightId, body: &[u8], outbound: &mut dyn Outbound,
    ) {
        let now = self.now;
        let requester = Requester::Queue(delivery);
        let mut outputs = EngineOutputs { now, state: &mut self.state, outbound };
        outputs.state.service.record_received(rpc.method);
        let mut taken = false;
        for _ in 0..MAX_ID_ATTEMPTS {
            taken = taken || self.engine.request_received(now, requester, rpc.clone(), body, &mut outputs);
            rpc.id = RpcId::from_number(self.rng.generate());
        }
        if !taken {
            let answer = FinalAnswer::Rejected { terminal: false, retry_after: 0 };
            outputs.answer(requester, answer, None, None);
        }
    }

    /// Takes a delivery back that was not launched yet.
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

    /// A connection to the broker is up.
    pub fn broker_connected(&mut self, now: Us, outbound: &mut dyn Outbound) {
        self.with_engine(now, outbound, |_, now, outputs| {
            if let Some(queues) = &mut outputs.state.queues {
                queues.connected(now);
            }
        });
    }

    /// The connection to the broker has ended, or could not be made. True if it had been of use.
    pub fn broker_disconnected(&mut self, now: Us, outbound: &mut dyn Outbound) -> bool {
        self.with_engine(now, outbound, |_, _, outputs| {
            outputs.state.queues.as_mut().is_some_and(QueueConsumers::disconnected)
        })
    }

    /// Whether no connection to the broker is wanted any more.
    pub fn broker_done(&self) -> bool {
        self.state.queues.as_ref().is_some_and(QueueConsumers::is_done)
    }

    /// Bytes came from the broker. False if the connection is of no more use.
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

    /// Closes a connection to the broker that has failed: when all is written, or at once if nobody may read that. False
    /// if it has failed.
    pub(super) fn close_failed_broker(
        &mut self, result: Result<(), String>, at_once: bool, outbound: &mut dyn Outbound,
    ) -> bool {
        if let Err(why) = &result {
            outbound.log(&format!("reconnecting to the broker: {why}"));
            outbound.close_broker(at_once);
        }
        result.is_ok()
    }
}
