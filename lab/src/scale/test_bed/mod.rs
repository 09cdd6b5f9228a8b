//! One real process with many methods and tenants, and what stands around it: an agent that says how long it took, RPCs
//! at a steady rate, health checks without end, an operator at the control socket, and meters of the process.

pub mod agent;
pub mod bed;
pub mod disk;
pub mod health;
pub mod ledger;
pub mod load;
pub mod meter;
mod rpc;
pub mod settings;
pub mod version_order;

pub use bed::TestBed;
pub use disk::DiskWriteMeter;
pub use ledger::{PhaseStats, Violations};
pub use load::{BackgroundLoad, LoadProfile};
pub use meter::CpuReading;
pub use settings::{method_name, sentinel_tenants, tenant_name, SiteSettings};
