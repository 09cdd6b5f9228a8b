//! The method, tenant and caller of a delivery.

use crate::config::ConsumerConfig;
use asterrill::{CallerId, Idempotency, MethodId};
use asterrill_protocol::amqp::MessageProperties;
use xxhash_rust::xxh3::xxh3_64;

/// Set in the numbers of callers that are made from a name, apart from those that sidecars give as 32 bits.
const NAMED_CALLER_BIT: u64 = 1 << 63;
/// Characters of an unknown name that are shown in a log line.
const MAX_NAME_SHOWN: usize = 64;

/// The methods and tenants in force, looked up by name for each delivery. One serves all queues.
pub trait Catalog {
    /// A method that is in force, with its effect.
    fn method(&self, name: &str) -> Option<(MethodId, Idempotency)>;
    /// The index of a tenant that is in force.
    fn tenant(&self, name: &str) -> Option<usize>;
    /// Whether tenants are configured: a delivery of none of them has no route then.
    fn requires_tenant(&self) -> bool;
}

/// Where a delivery goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Route {
    pub(crate) method: MethodId,
    pub(crate) idempotency: Idempotency,
    pub(crate) tenant: Option<usize>,
    pub(crate) caller: CallerId,
}

/// Why a delivery has no route.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum RouteError {
    #[error("no method given")]
    NoMethod,
    #[error("unknown method {0:?}")]
    UnknownMethod(String),
    #[error("no tenant given")]
    NoTenant,
    #[error("unknown tenant {0:?}")]
    UnknownTenant(String),
}

/// Finds the route of a delivery. A caller that is not a number is numbered by its name, and that of a queue for which
/// none is configured by the queue's name.
pub(crate) fn route(
    properties: &MessageProperties, config: &ConsumerConfig, catalog: &dyn Catalog,
) -> Result<Route, RouteError> {
    let method_name = config.method.read(properties).ok_or(RouteError::NoMethod)?;
    let (method, idempotency) =
        catalog.method(method_name).ok_or_else(|| RouteError::UnknownMethod(shown(method_name)))?;
    let tenant = tenant_of(properties, config, catalog)?;
    let caller = caller_number(config.caller.read(properties).unwrap_or(&config.name));
    Ok(Route { method, idempotency, tenant, caller })
}

fn tenant_of(
    properties: &MessageProperties, config: &ConsumerConfig, catalog: &dyn Catalog,
) -> Result<Option<usize>, RouteError> {
    let name = config.tenant.read(properties);
    let tenant = name.and_then(|name| catalog.tenant(name));
    if tenant.is_none() && catalog.requires_tenant() {
        return Err(name.map_or(RouteError::NoTenant, |name| RouteError::UnknownTenant(shown(name))));
    }
    Ok(tenant)
}

fn caller_number(text: &str) -> CallerId {
    let number = text.parse::<u32>().map_or_else(|_| xxh3_64(text.as_bytes()) | NAMED_CALLER_BIT, u64::from);
    CallerId(number)
}

/// As much of a name that a publisher chose as goes into a log line.
fn shown(name: &str) -> String {
    name.chars().take(MAX_NAME_SHOWN).collect()
}
