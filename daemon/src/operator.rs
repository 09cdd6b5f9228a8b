//! Loading of the operator's file, and construction of the queue consumers that it configures.

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

/// Ratio of body buffers to the deliveries that all queues together may hold.
const BODY_BUFFERS_PER_DELIVERY: u64 = 4;

/// Operator's file; empty if there is none.
#[derive(Default)]
pub struct OperatorFile {
    /// Parsed file.
    pub config: OperatorConfig,
    /// Text of the file.
    pub text: String,
}

/// Reads and parses the operator's file.
///
/// # Errors
/// The file can't be read or is invalid.
pub fn read(path: &Path) -> Result<OperatorFile, SettingsError> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| SettingsError::new(format!("{name}: {e}")))?;
    let config = asterrill_operator_config::parse(&name, &text)
        .map_err(|error| SettingsError::new(error.to_string()))?;
    Ok(OperatorFile { config, text })
}

/// Queue consumers with the parameters of the connection to their broker.
pub struct BrokerSetup {
    /// Queue consumers.
    pub queues: QueueConsumers,
    /// Address of the broker, and fallback addresses that are tried if it does not answer.
    pub addresses: Address,
    /// Delay between connection attempts, in microseconds.
    pub reconnect_backoff: asterrill_operator_config::Backoff,
}

/// Returns the consumer configuration of each queue.
///
/// # Errors
/// A queue names a method or tenant that is not configured, or names no tenant although tenants are configured.
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
    let error = |why: String| SettingsError::new(format!("queue {}: {why}", queue.name));
    if let Some(name) = possible_values(&queue.method).find(|name| configuration.method(name).is_none()) {
        return Err(error(format!("unknown method {name}")));
    }
    if let Some(name) = possible_values(&queue.tenant).find(|name| configuration.tenant(name).is_none()) {
        return Err(error(format!("unknown tenant {name}")));
    }
    let has_tenants = configuration.count(EntryKind::Tenant) > 0;
    if has_tenants && queue.tenant == ValueSource::default() {
        return Err(error("tenants are configured, so tenant or tenant-header is required".into()));
    }
    Ok(())
}

/// Returns all values that a source may yield.
fn possible_values(source: &ValueSource) -> impl Iterator<Item = &String> {
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

/// Returns the queue consumers and their broker, or `None` if no broker is configured.
///
/// `body_buffers` is the number of buffers for RPC bodies that fit in memory.
///
/// # Errors
/// Those of [`consumer_configs`], or the password file can't be read.
pub fn broker_setup(
    now: Us, config: &OperatorConfig, configuration: &Configuration, seed: u64, body_buffers: u64,
) -> Result<Option<BrokerSetup>, SettingsError> {
    let consumers = consumer_configs(config.broker.as_ref(), configuration)?;
    let Some(broker) = config.broker.clone() else { return Ok(None) };
    let password = asterrill_operator_config::read_secret(&broker.password_file);
    let password = password.map_err(|error| SettingsError::new(error.to_string()))?;
    let login = Login {
        credentials: Credentials { user: broker.user, password },
        virtual_host: broker.virtual_host,
        heartbeat: broker.heartbeat,
        max_body_bytes: broker.max_body_bytes as usize,
    };
    let globals = configuration.globals();
    let queue_config = QueueConfig {
        login,
        consumers,
        seed,
        cores: globals.cores as f64,
        delivery_capacity: (body_buffers / BODY_BUFFERS_PER_DELIVERY) as f64,
        publishes_credit: globals.feedback_mode == FeedbackMode::Credit,
    };
    let Some(addresses) = Address::with_fallbacks(&broker.addresses) else { return Ok(None) };
    let queues = QueueConsumers::new(now, queue_config);
    Ok(Some(BrokerSetup { queues, addresses, reconnect_backoff: broker.reconnect_backoff }))
}
