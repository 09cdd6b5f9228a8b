//! Parser of the operator's configuration file. Each line holds one directive, `#` starts a comment, and a line in brackets
//! starts a section. The parser turns text into typed values; only [`read_secret`] opens a file.
//!
//! ```
//! let file = asterrill_operator_config::parse("a.conf", "[broker]\naddress 127.0.0.1:5672\nuser u\npassword-file /p\n\
//!     [queue stock]\nmethod stock-update # a comment\nbound 10s\n").unwrap();
//! assert_eq!(file.broker.unwrap().queues[0].processing_timeout, 10_000_000);
//! let wrong = asterrill_operator_config::parse("a.conf", "[broker]\nheartbeat 10").unwrap_err();
//! assert_eq!(wrong.to_string(), "a.conf:2: heartbeat: expected a duration with a unit, such as 10s or 250ms, found \"10\"");
//! ```

#![warn(missing_docs)]

mod backoff;
mod broker;
mod changes;
mod config;
mod directive;
mod error;
mod fleet;
mod members;
mod queue;
mod recovery;
mod secret;
mod section;
mod units;
mod values;

pub use backoff::Backoff;
pub use broker::BrokerConfig;
pub use changes::{ChangesConfig, LogFormat};
pub use config::{parse, OperatorConfig};
pub use error::ParseError;
pub use fleet::FleetConfig;
pub use members::MembershipConfig;
pub use queue::{DedupWindow, QueueConfig, RedeliveryPolicy, ValueSource};
pub use recovery::RecoverySettings;
pub use secret::{read_secret, SecretError};
