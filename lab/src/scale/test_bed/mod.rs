//! A test bed for one real process with many methods and tenants.
//!
//! It consists of an agent that records its run times, RPCs at a constant mean rate, continuous health checks, an
//! operator at the control socket, and meters of the process.

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
