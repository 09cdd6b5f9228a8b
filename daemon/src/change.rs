//! Configuration changes: validation, installation, probation and rollback.
//!
//! A change arrives on the control socket or by SIGHUP. It is parsed and validated off the worker thread, against the
//! running version. The worker then stages its entries in slices, activates all of them in one input of the core,
//! monitors the service during probation and persists the result.
//!
//! | module | purpose |
//! | --- | --- |
//! | `content` | content of one version, and a shared handle to the running one |
//! | `request`, `command`, `reply` | requests of operators, and the replies as JSON |
//! | `prepare` | parsing and validation of a change, off the worker thread |
//! | `install` | installation of a version in slices |
//! | `driver`, `status` | the transaction on the worker, and its status |

mod command;
mod content;
mod driver;
mod install;
mod prepare;
mod reply;
mod request;
mod status;

pub use command::{OperatorCommand, Request};
pub use content::{RunningContent, VersionContent};
pub use driver::{ChangeDriver, StartVersion};
pub use install::SlicePause;
pub use prepare::{prepare, PreparedChange, RolloutPolicy, ValidationContext};
pub use reply::{Rejection, Reply};
pub use request::{ChangeRequest, ChangeSource};
