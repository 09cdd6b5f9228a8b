//! Scenarios with several real backend processes, stub services and injected faults.

pub mod agree;
mod callers;
mod cluster;
mod cold_start;
mod datagram_network;
mod fault_injection;
mod fault_script;
mod idle_flood;
pub mod members;
mod name_service;
mod options;
mod plot;
mod ready;
pub mod restart_recovery;
mod single_call;
mod small_fleet;
mod tcp_proxy;
mod upstream;
mod workload;

pub use cluster::Fleet;
pub use cold_start::cold_start;
pub use idle_flood::idle_flood;
pub use options::FleetOptions;
pub use ready::ready;
