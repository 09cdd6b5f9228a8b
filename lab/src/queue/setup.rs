//! Setup of backends with a queue, and of its messages.

use crate::broker::{Broker, EndlessQueue, Message};
use crate::method::Method;
use crate::setup::Setup;

/// Name of the queue in all scenarios.
pub(super) const QUEUE: &str = "stock";

/// Returns the operator's file of a backend that consumes the queue and calls `method` for each message. `extra_lines`
/// is appended to the queue's section.
pub(super) fn operator_file(brokers: &[&Broker], method: &str, extra_lines: &str) -> String {
    let addresses: String = brokers.iter().map(|broker| format!("address {}\n", broker.address)).collect();
    format!(
        "[broker]\n{addresses}user lookup\npassword-file {{password}}\nheartbeat 2s\nreconnect 20ms 200ms\n\
         [queue {QUEUE}]\nmethod {method}\n{extra_lines}"
    )
}

/// Returns the setup of a backend with two cores.
pub(super) fn backend_setup(methods: &[Method], operator_file: Option<String>) -> Setup {
    Setup { operator_file, ..Setup::new(methods, 2) }
}

/// Returns the message with a given number, with an idempotency key.
pub(super) fn message(n: u64) -> Message {
    Message { id: Some(format!("id-{n}")), body: format!("job {n}").into_bytes(), ..Message::default() }
}

/// Returns a queue that never empties.
pub fn endless_stock_queue() -> EndlessQueue {
    EndlessQueue { queue: QUEUE.into(), make_message: message }
}
