//! Method, tenant and caller of a delivery.

use crate::config::ConsumerConfig;
use asterrill::{Caller, CallerId, Idempotency, MethodId};
use asterrill_protocol::amqp::MessageProperties;
use xxhash_rust::xxh3::xxh3_64;

/// Bits that are set in caller ids derived from a name, so that they differ from 32-bit ids and from other accounts.
const NAMED_CALLER_BITS: u64 = 0b11 << 62;
/// Maximum number of characters of an unknown name in a log line.
const MAX_NAME_CHARS: usize = 64;

/// Lookup of the active methods and tenants by name, for each delivery. All queues share it.
pub trait Catalog {
    /// Returns an active method with its idempotency.
    fn method(&self, name: &str) -> Option<(MethodId, Idempotency)>;
    /// Returns the index of an active tenant.
    fn tenant(&self, name: &str) -> Option<usize>;
    /// Reports whether tenants are configured. If so, a delivery without an active tenant has no route.
    fn requires_tenant(&self) -> bool;
}

/// Method, tenant and caller to which a delivery is attributed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Route {
    pub(crate) method: MethodId,
    pub(crate) idempotency: Idempotency,
    pub(crate) tenant: Option<usize>,
    pub(crate) caller: Caller,
}

/// Reason why a delivery has no route.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum RouteError {
    #[error("no method in its headers and no default method")]
    NoMethod,
    #[error("unknown method {0:?}")]
    UnknownMethod(String),
    #[error("no tenant in its headers and no default tenant")]
    NoTenant,
    #[error("unknown tenant {0:?}")]
    UnknownTenant(String),
}

/// Returns the route of a delivery. The id of a caller that is not a number is derived from its name. The account charged is
/// that of the queue's default caller; without one, that of the queue's name.
pub(crate) fn route(
    properties: &MessageProperties, config: &ConsumerConfig, catalog: &dyn Catalog,
) -> Result<Route, RouteError> {
    let method_name = config.method.read(properties).ok_or(RouteError::NoMethod)?;
    let (method, idempotency) =
        catalog.method(method_name).ok_or_else(|| RouteError::UnknownMethod(truncated(method_name)))?;
    let tenant = tenant_of(properties, config, catalog)?;
    // Whoever publishes the message chooses its headers, so that they can't select the account.
    let account = caller_id(config.caller.default.as_deref().unwrap_or(&config.name));
    let stated = config.caller.read(properties).map_or(account, caller_id);
    let caller = Caller { account, stated };
    Ok(Route { method, idempotency, tenant, caller })
}

fn tenant_of(
    properties: &MessageProperties, config: &ConsumerConfig, catalog: &dyn Catalog,
) -> Result<Option<usize>, RouteError> {
    let name = config.tenant.read(properties);
    let tenant = name.and_then(|name| catalog.tenant(name));
    if tenant.is_none() && catalog.requires_tenant() {
        return Err(name.map_or(RouteError::NoTenant, |name| RouteError::UnknownTenant(truncated(name))));
    }
    Ok(tenant)
}

/// Returns the id of a caller: the number itself if the text is one, else a hash of the text.
fn caller_id(text: &str) -> CallerId {
    let number = text.parse::<u32>().map_or_else(|_| xxh3_64(text.as_bytes()) | NAMED_CALLER_BITS, u64::from);
    CallerId(number)
}

/// Truncates a name that a publisher chose, for a log line.
fn truncated(name: &str) -> String {
    name.chars().take(MAX_NAME_CHARS).collect()
}
