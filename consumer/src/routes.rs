//! The method, tenant and caller of a delivery.

use asterrill::{CallerId, Effect, MethodId};
use asterrill_protocol::amqp::Headers;
use std::collections::BTreeMap;
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

/// Who knows the methods and tenants that there are: one for all queues, asked by name at each delivery.
pub trait Known {
    /// A method that is in force, with its effect.
    fn method(&self, name: &str) -> Option<(MethodId, Effect)>;
    /// The place of a tenant that is in force.
    fn tenant(&self, name: &str) -> Option<usize>;
    /// Tenants are told apart: what is of none of them goes nowhere.
    fn tells_tenants(&self) -> bool;
}

/// Where a value comes from: a header, whose texts may stand for others, or what is said for the whole queue.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Select {
    pub header: Option<String>,
    /// What a text of the header stands for; one that is not listed stands for itself.
    pub means: BTreeMap<String, String>,
    /// Without the header.
    pub otherwise: Option<String>,
}

impl Select {
    pub fn fixed(value: &str) -> Select {
        Select { otherwise: Some(value.into()), ..Select::default() }
    }
    fn of<'a>(&'a self, headers: &'a Headers) -> Option<&'a str> {
        let told = self.header.as_ref().and_then(|name| headers.fields.get(name)).map(String::as_str);
        match told {
            Some(told) => Some(self.means.get(told).map_or(told, String::as_str)),
            None => self.otherwise.as_deref(),
        }
    }
}

/// Where a delivery goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Route {
    pub method: MethodId,
    pub effect: Effect,
    pub tenant: Option<usize>,
    pub caller: CallerId,
}

/// Why a delivery goes nowhere.
#[derive(Clone, Debug, PartialEq)]
pub enum Unrouted {
    Method(Option<String>),
    Tenant(Option<String>),
}

impl fmt::Display for Unrouted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (what, name) = match self {
            Unrouted::Method(name) => ("method", name),
            Unrouted::Tenant(name) => ("tenant", name),
        };
        match name {
            Some(name) => {
                write!(f, "the {what} {:?} is not known", name.chars().take(64).collect::<String>())
            }
            None => write!(f, "it names no {what}"),
        }
    }
}

/// Routes a delivery. Where tenants are told apart, it is of one of them. A caller that is no number, and that
/// of a queue for which none is set, is numbered by its name, apart from the numbers of sidecars.
pub fn route(
    headers: &Headers, queue: &str, (method, tenant, caller): (&Select, &Select, &Select), known: &dyn Known,
) -> Result<Route, Unrouted> {
    let name = method.of(headers);
    let (method, effect) =
        name.and_then(|name| known.method(name)).ok_or_else(|| Unrouted::Method(name.map(str::to_string)))?;
    let name = tenant.of(headers);
    let tenant = name.and_then(|name| known.tenant(name));
    if tenant.is_none() && known.tells_tenants() {
        return Err(Unrouted::Tenant(name.map(str::to_string)));
    }
    let told = caller.of(headers).unwrap_or(queue);
    let caller = told.parse::<u32>().map_or_else(|_| xxh3_64(told.as_bytes()) | 1 << 63, u64::from);
    Ok(Route { method, effect, tenant, caller: CallerId(caller) })
}
