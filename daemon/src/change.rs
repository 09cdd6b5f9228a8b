//! Changes of the configuration, carried out: versions come from signals and from the control socket, are read and
//! checked against what runs beside the worker, put in slice by slice on it, come into force in one input of the core,
//! are watched, and written down.
//!
//! | module | job |
//! | --- | --- |
//! | `content` | what one version says, and the one that runs |
//! | `request`, `command`, `reply` | what operators ask for, and the answers as JSON |
//! | `prepare` | reading and checking a change, beside the worker |
//! | `install` | putting a version in force, slice by slice |
//! | `driver`, `status` | the transaction on the worker, and what it reports |

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
