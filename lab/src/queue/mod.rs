//! Scenarios of the queues, and of the CPU time of framed RPCs.

mod broker_faults;
mod cpu;
mod demo;
mod flood;
mod redelivery;
mod rules;
mod setup;
mod shutdown;
mod silent_upstream;
mod throughput;

pub use broker_faults::broker_faults;
pub use cpu::{framed_cpu, recovery_cpu};
pub use demo::demo;
pub use flood::flood;
pub use redelivery::redelivery;
pub use rules::report_broker_ledger;
pub use setup::endless_stock_queue;
pub use shutdown::shutdown;
pub use silent_upstream::silent_upstream;
pub use throughput::{throughput, ThroughputOptions};
