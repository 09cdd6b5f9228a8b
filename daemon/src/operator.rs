//! The operator's file, made into what is switched on by it.

use crate::queues::{QueueConfig, QueueConsumers};
use asterrill::{FeedbackMode, Us};
use asterrill_consumer::{Backoff, ConsumerConfig, FieldSource};
use asterrill_entries::{Configuration, EntryKind};
use asterrill_net::Address;
use asterrill_operator_config::{BrokerConfig, OperatorConfig, RedeliveryPolicy};
use asterrill_protocol::amqp::{Credentials, Login};
use asterrill_settings::SettingsError;
use std::path::Path;

const SHARE: u64 = 4; // of the bodies held, the share of one in so many for all queues

/// Reads and checks the file; hands back its text as well.
pub fn read(path: &Path) -> Result<(OperatorConfig, String), SettingsError> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| SettingsError::new(format!("{name}: {e}")))?;
    let file = asterrill_operator_config::parse(&name, &text)
        .map_err(|mistake| SettingsError::new(mistake.to_string()))?;
    Ok((file, text))
}

fn select(from: &asterrill_operator_config::ValueSource) -> FieldSource {
    let (header, aliases) = (from.header.clone(), from.values.clone());
    FieldSource { header, aliases, default: from.default_value.clone() }
}

/// The queues, where their broker is, and the least and longest pause between connections, in microseconds.
pub type Consumption = (QueueConsumers, Address, (Us, Us));

/// The terms of each queue. What the version does not know is named.
pub fn terms(
    broker: Option<&BrokerConfig>, content: &Configuration,
) -> Result<Vec<ConsumerConfig>, SettingsError> {
    let mut terms = Vec::new();
    for queue in broker.iter().flat_map(|broker| &broker.queues) {
        let mut known = queue.method.default_value.iter().chain(queue.method.values.values());
        if let Some(name) = known.find(|name| content.method(name).is_none()) {
            return Err(SettingsError::new(format!("queue {}: there is no method {name}", queue.name)));
        }
        let mut known = queue.tenant.default_value.iter().chain(queue.tenant.values.values());
        if let Some(name) = known.find(|name| content.tenant(name).is_none()) {
            return Err(SettingsError::new(format!("queue {}: there is no tenant {name}", queue.name)));
        }
        if content.count(EntryKind::Tenant) > 0
            && queue.tenant == asterrill_operator_config::ValueSource::default()
        {
            let text = "tenants are told apart here: it wants tenant or tenant-header";
            return Err(SettingsError::new(format!("queue {}: {text}", queue.name)));
        }
        terms.push(ConsumerConfig {
            name: queue.name.clone(),
            method: select(&queue.method),
            tenant: select(&queue.tenant),
            caller: select(&queue.caller),
            prefetch: queue.prefetch,
            processing_timeout: queue.processing_timeout,
            max_attempts: queue.max_attempts,
            backoff: Backoff { min: queue.retry_backoff.min, max: queue.retry_backoff.max },
            size_kb: queue.memory_kb,
            dedup_ttl: queue.dedup_window.duration,
            dedup_capacity: queue.dedup_window.max_entries,
            run_unverified_redeliveries: queue.redelivery_policy == RedeliveryPolicy::Run,
        });
    }
    Ok(terms)
}

/// What is to be consumed, if anything. `bodies`: of RPCs, for which there is memory.
pub fn queues(
    now: Us, file: &OperatorConfig, content: &Configuration, seed: u64, bodies: u64,
) -> Result<Option<Consumption>, SettingsError> {
    let terms = terms(file.broker.as_ref(), content)?;
    let Some(broker) = file.broker.clone() else { return Ok(None) };
    let password = asterrill_operator_config::read_secret(&broker.password_file);
    let password = password.map_err(|fault| SettingsError::new(fault.to_string()))?;
    let setup = QueueConfig {
        login: Login {
            credentials: Credentials { user: broker.user, password },
            virtual_host: broker.virtual_host,
            heartbeat: broker.heartbeat,
            max_body_bytes: broker.max_body_bytes as usize,
        },
        terms,
        seed,
        cores: content.globals().cores as f64,
        room: (bodies / SHARE) as f64,
        credit: content.globals().load_report == FeedbackMode::Credit,
    };
    let Some(addresses) = Address::with_fallbacks(&broker.addresses) else { return Ok(None) };
    Ok(Some((
        QueueConsumers::new(now, setup),
        addresses,
        (broker.reconnect_backoff.min, broker.reconnect_backoff.max),
    )))
}
