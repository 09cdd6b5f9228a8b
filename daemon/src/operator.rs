//! The operator's file, made into what is switched on by it.

use crate::queues::{QueueConfig, QueueConsumers};
use asterrill::{FeedbackMode, Us};
use asterrill_consumer::{Backoff, ConsumerConfig, FieldSource};
use asterrill_entries::{Configuration, EntryKind};
use asterrill_net::Address;
use asterrill_operator_config::{
    BrokerConfig, OperatorConfig, QueueConfig as QueueSection, RedeliveryPolicy, ValueSource,
};
use asterrill_protocol::amqp::{Credentials, Login};
use asterrill_settings::SettingsError;
use std::path::Path;

/// Of the buffers for bodies, all queues together may hold one in so many.
const BODY_BUFFERS_PER_DELIVERY: u64 = 4;

/// The operator's file; empty where there is none.
#[derive(Default)]
pub struct OperatorFile {
    /// The file, parsed.
    pub config: OperatorConfig,
    /// The text that it was read from.
    pub text: String,
}

/// Reads and checks the file.
pub fn read(path: &Path) -> Result<OperatorFile, SettingsError> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| SettingsError::new(format!("{name}: {e}")))?;
    let config = asterrill_operator_config::parse(&name, &text)
        .map_err(|mistake| SettingsError::new(mistake.to_string()))?;
    Ok(OperatorFile { config, text })
}

/// The consumers of queues, where their broker is, and the pause between connections to it.
pub struct BrokerSetup {
    /// The consumers.
    pub queues: QueueConsumers,
    /// The broker, and others to try if it does not answer.
    pub addresses: Address,
    /// In microseconds.
    pub reconnect_backoff: asterrill_operator_config::Backoff,
}

/// The terms of each queue.
///
/// # Errors
/// A method or tenant that the configuration does not have, by name.
pub fn consumer_configs(
    broker: Option<&BrokerConfig>, configuration: &Configuration,
) -> Result<Vec<ConsumerConfig>, SettingsError> {
    let queues = broker.iter().flat_map(|broker| &broker.queues);
    queues
        .map(|queue| {
            check_names(queue, configuration)?;
            Ok(consumer_config(queue))
        })
        .collect()
}

fn check_names(queue: &QueueSection, configuration: &Configuration) -> Result<(), SettingsError> {
    let fault = |why: String| SettingsError::new(format!("queue {}: {why}", queue.name));
    if let Some(name) = names(&queue.method).find(|name| configuration.method(name).is_none()) {
        return Err(fault(format!("there is no method {name}")));
    }
    if let Some(name) = names(&queue.tenant).find(|name| configuration.tenant(name).is_none()) {
        return Err(fault(format!("there is no tenant {name}")));
    }
    let has_tenants = configuration.count(EntryKind::Tenant) > 0;
    if has_tenants && queue.tenant == ValueSource::default() {
        return Err(fault("tenants are distinguished here: it wants tenant or tenant-header".into()));
    }
    Ok(())
}

/// All values that a source may give.
fn names(source: &ValueSource) -> impl Iterator<Item = &String> {
    source.default_value.iter().chain(source.values.values())
}

fn consumer_config(queue: &QueueSection) -> ConsumerConfig {
    ConsumerConfig {
        name: queue.name.clone(),
        method: field_source(&queue.method),
        tenant: field_source(&queue.tenant),
        caller: field_source(&queue.caller),
        prefetch: queue.prefetch,
        processing_timeout: queue.processing_timeout,
        max_attempts: queue.max_attempts,
        backoff: Backoff { min: queue.retry_backoff.min, max: queue.retry_backoff.max },
        size_kb: queue.memory_kb,
        dedup_ttl: queue.dedup_window.duration,
        dedup_capacity: queue.dedup_window.max_entries,
        run_unverified_redeliveries: queue.redelivery_policy == RedeliveryPolicy::Run,
    }
}

fn field_source(source: &ValueSource) -> FieldSource {
    FieldSource {
        header: source.header.clone(),
        aliases: source.values.clone(),
        default: source.default_value.clone(),
    }
}

/// What is to be consumed, if anything. `body_buffers`: of RPCs, for which there is memory.
///
/// # Errors
/// Those of [`consumer_configs`], and a password file that can't be read.
pub fn broker_setup(
    now: Us, config: &OperatorConfig, configuration: &Configuration, seed: u64, body_buffers: u64,
) -> Result<Option<BrokerSetup>, SettingsError> {
    let terms = consumer_configs(config.broker.as_ref(), configuration)?;
    let Some(broker) = config.broker.clone() else { return Ok(None) };
    let password = asterrill_operator_config::read_secret(&broker.password_file);
    let password = password.map_err(|fault| SettingsError::new(fault.to_string()))?;
    let login = Login {
        credentials: Credentials { user: broker.user, password },
        virtual_host: broker.virtual_host,
        heartbeat: broker.heartbeat,
        max_body_bytes: broker.max_body_bytes as usize,
    };
    let globals = configuration.globals();
    let queue_config = QueueConfig {
        login,
        consumers: terms,
        seed,
        cores: globals.cores as f64,
        delivery_capacity: (body_buffers / BODY_BUFFERS_PER_DELIVERY) as f64,
        publishes_credit: globals.feedback_mode == FeedbackMode::Credit,
    };
    let Some(addresses) = Address::with_fallbacks(&broker.addresses) else { return Ok(None) };
    let queues = QueueConsumers::new(now, queue_config);
    Ok(Some(BrokerSetup { queues, addresses, reconnect_backoff: broker.reconnect_backoff }))
}
