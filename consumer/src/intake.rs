//! Intake of deliveries: each is submitted to the engine, joined to a message in flight, or settled at once.

use crate::action::{Action, InFlightId, Submission};
use crate::deadline::deadline;
use crate::dedup::{EarlierSettlement, MessageIdentity, SettlementSending};
use crate::message::{Message, MessageState, ReplyAddress};
use crate::queue::{QueueConsumer, MIN_REOPEN_DELAY_US};
use crate::routes::{route, Catalog, Route, RouteError};
use crate::subscription::Subscription;
use asterrill::{Idempotency, Us};
use asterrill_protocol::amqp::{Delivery, DeliveryTag, MessageProperties, Settlement};

/// Reply code of AMQP 0-9-1 for a failed precondition.
const PRECONDITION_FAILED: u16 = 406;

impl QueueConsumer {
    /// Processes a delivery. Its route is looked up among the methods and tenants that are active now.
    pub fn delivered(&mut self, now: Us, delivery: Delivery, catalog: &dyn Catalog) {
        self.stats.deliveries += 1;
        self.stats.redelivered += u64::from(delivery.redelivered);
        self.reopen_delay = MIN_REOPEN_DELAY_US;
        let tag = delivery.tag;
        if self.draining {
            self.settle_delivery(tag, Settlement::Requeue);
            return;
        }
        if delivery.body.is_none() {
            self.stats.too_long += 1;
            self.settle_delivery(tag, Settlement::Reject);
            return;
        }
        let route = match route(&delivery.properties, &self.config, catalog) {
            Ok(route) => route,
            Err(error) => return self.reject_unrouted(tag, &error),
        };
        let identity = MessageIdentity::of(&delivery);
        if self.settle_or_join_duplicate(now, identity, &delivery, route.idempotency) {
            return;
        }
        let prior_runs = prior_runs(&delivery);
        let Some(deadline) =
            self.deadline_if_runnable(now, &delivery.properties, route.idempotency, prior_runs)
        else {
            self.settle_delivery(tag, Settlement::Reject);
            return;
        };
        if self.messages.len() >= self.config.max_in_flight() {
            self.close_overrun_channel(now);
            return;
        }
        self.accept(delivery, identity, route, deadline, prior_runs);
    }

    /// Returns the deadline of a message; none if it must not run, and the reason is counted then.
    fn deadline_if_runnable(
        &mut self, now: Us, properties: &MessageProperties, idempotency: Idempotency, prior_runs: u32,
    ) -> Option<Us> {
        let may_have_run = prior_runs > 0 && idempotency == Idempotency::NonIdempotent;
        if may_have_run && !self.config.run_unverified_redeliveries {
            self.stats.unverified += 1;
            return None;
        }
        if prior_runs >= self.config.max_attempts {
            self.stats.poisoned += 1;
            return None;
        }
        let deadline = deadline(now, properties, self.config.processing_timeout);
        self.stats.expired += u64::from(deadline.is_none());
        deadline
    }

    /// Closes the channel because the broker delivered more than the prefetch allows. It is reopened after a delay.
    fn close_overrun_channel(&mut self, now: Us) {
        self.stats.overrun += 1;
        let delay = self.next_reopen_delay();
        self.channel_lost(Subscription::ChannelClosed { reopen_at: now + delay });
        self.actions.push_back(Action::CloseChannel {
            code: PRECONDITION_FAILED,
            reason: "more deliveries than the prefetch allows",
        });
    }

    /// Adds a message to the table and submits it to the engine.
    fn accept(
        &mut self, delivery: Delivery, identity: MessageIdentity, route: Route, deadline: Us, prior_runs: u32,
    ) {
        self.last_id += 1;
        let id = InFlightId(self.last_id);
        let submission = Submission {
            id,
            method: route.method,
            tenant: route.tenant,
            caller: route.caller,
            deadline,
            size_kb: self.config.size_kb,
        };
        let Delivery { tag, properties, body, .. } = delivery;
        let correlation_id = properties.correlation_id;
        let message = Message {
            identity,
            idempotency: route.idempotency,
            submission: submission.clone(),
            body: body.unwrap_or_default(),
            delivery_tags: vec![tag],
            state: MessageState::Submitted { run_started: false },
            runs: prior_runs,
            consecutive_rejections: 0,
            reply_address: properties.reply_to.map(|queue| ReplyAddress { queue, correlation_id }),
        };
        self.unsettled += 1;
        self.messages.insert(id, message);
        self.by_identity.entry(identity).or_default().insert(id);
        self.actions.push_back(Action::Submit(submission));
    }

    /// Joins a delivery to a message in flight or settles it like an earlier delivery, if it is of the same message.
    /// Returns whether the delivery was handled.
    ///
    /// A message without an id must be marked as redelivered for this. It may still be one that another consumer had,
    /// of equal content. It is therefore joined only to a message whose own delivery was lost, and acknowledged only
    /// for a run whose acknowledgement was not sent, so that no run acknowledges two messages. One that must not run
    /// twice is rejected if neither can be ruled out.
    fn settle_or_join_duplicate(
        &mut self, now: Us, identity: MessageIdentity, delivery: &Delivery, idempotency: Idempotency,
    ) -> bool {
        if !delivery.redelivered && (!identity.has_message_id() || idempotency == Idempotency::Idempotent) {
            return false;
        }
        if let Some(id) = self.in_flight_duplicate(identity) {
            self.join(now, id, delivery.tag);
            return true;
        }
        let settlement = match self.settled.take(now, identity, self.channel) {
            Some(EarlierSettlement::Known(settlement)) => {
                self.stats.deduplicated += 1;
                settlement
            }
            Some(EarlierSettlement::Uncertain) if !self.config.run_unverified_redeliveries => {
                self.stats.unverified += 1;
                Settlement::Reject
            }
            Some(EarlierSettlement::Uncertain) | None => return false,
        };
        // This settlement may be lost with its channel as well.
        self.settled.insert(now, identity, settlement, SettlementSending::SentOn(self.channel));
        self.settle_delivery(delivery.tag, settlement);
        true
    }

    /// Returns the message in flight to which a delivery with this identity belongs.
    fn in_flight_duplicate(&self, identity: MessageIdentity) -> Option<InFlightId> {
        let has_no_delivery =
            |id: &InFlightId| self.messages.get(id).is_some_and(|message| message.delivery_tags.is_empty());
        let candidates = self.by_identity.get(&identity)?;
        candidates.iter().find(|id| identity.has_message_id() || has_no_delivery(id)).copied()
    }

    /// Joins a delivery to a message in flight, whose deliveries are settled together.
    fn join(&mut self, now: Us, id: InFlightId, tag: DeliveryTag) {
        let Some(message) = self.messages.get_mut(&id) else { return };
        message.delivery_tags.push(tag);
        self.unsettled += 1;
        self.stats.joined += 1;
        if let MessageState::Waiting { retry_at } = message.state {
            self.set_timer(retry_at.max(now), id);
            self.advance(now);
        }
    }

    /// Rejects a delivery that has no route.
    fn reject_unrouted(&mut self, tag: DeliveryTag, error: &RouteError) {
        // Only the 1st, 2nd, 3rd, 5th, 9th and so on are logged, so that a misconfigured queue does not flood the log.
        let logged = self.stats.unrouted == 0 || self.stats.unrouted.is_power_of_two();
        if logged {
            let line =
                format!("rejected a delivery from queue {}, which has no route: {error}", self.config.name);
            self.actions.push_back(Action::Log(line));
        }
        self.stats.unrouted += 1;
        self.settle_delivery(tag, Settlement::Reject);
    }
}

/// Returns how often a message may have run before this delivery. If the queue counts deliveries, this is the number of
/// earlier ones. If not, a message marked as redelivered counts as delivered once before.
fn prior_runs(delivery: &Delivery) -> u32 {
    let deliveries = delivery.properties.delivery_count.unwrap_or(u64::from(delivery.redelivered));
    u32::try_from(deliveries).unwrap_or(u32::MAX)
}
