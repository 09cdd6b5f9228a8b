//! Configuration file named by GW_CONFIG, and selection of the version that the process starts with.

use crate::change::{StartVersion, VersionContent};
use crate::store;
use asterrill_entries::Configuration;
use asterrill_operator_config::OperatorConfig;
use asterrill_rollout::{choose_start, StartDecision, PROCESS_START};
use asterrill_settings::{Deployment, SettingsError};
use slog::{info, warn, Logger};

/// Environment variable that names the configuration file.
const CONFIG_VARIABLE: &str = "GW_CONFIG";

/// Reads the configuration file. Entries that are equal in `running` share its memory.
///
/// # Errors
/// GW_CONFIG is not set, or the file can't be read or is invalid.
pub fn read_deployment(running: Option<&Configuration>) -> Result<Deployment, SettingsError> {
    let path = std::env::var(CONFIG_VARIABLE)
        .map_err(|_| SettingsError::new(format!("environment variable {CONFIG_VARIABLE} is not set")))?;
    let file = std::fs::File::open(&path).map_err(|e| SettingsError::new(format!("{path}: {e}")))?;
    let deployment = Deployment::from_reader(file, running);
    deployment.map_err(|error| SettingsError::new(format!("{path}: {error}")))
}

/// Returns the version that the process starts with, and updates `deployment` to it.
///
/// This is the configuration that was read, unless it was on probation when the previous process ended or had been
/// rolled back; then it is the last good version.
pub fn choose_start_version(
    deployment: &mut Deployment, operator_config: OperatorConfig, operator_text: &str, log: &Logger,
) -> StartVersion {
    let configured = VersionContent::new(deployment.configuration.clone(), operator_config, operator_text);
    let Some(dir) = configured.operator_config.changes.state_dir.clone() else {
        return StartVersion {
            content: configured,
            number: 1,
            rolled_back: Vec::new(),
            reason: PROCESS_START,
        };
    };
    // A failure to create the directory is reported by the first write to it.
    std::fs::create_dir_all(&dir).unwrap_or_default();
    match choose_start(&configured.hash(), store::read_versions(&dir, log)) {
        StartDecision::Configured { number, rolled_back } => {
            StartVersion { content: configured, number, rolled_back, reason: PROCESS_START }
        }
        StartDecision::LastGood { good, rolled_back, why } => match VersionContent::from_persisted(&good) {
            Ok(content) => {
                info!(log, "started on the last good version"; "version" => good.number, "why" => why);
                let globals = content.configuration.globals();
                deployment.memory_mb = globals.memory_mb;
                deployment.sockets = globals.sockets;
                deployment.configuration = content.configuration.clone();
                StartVersion { content, number: good.number, rolled_back, reason: why }
            }
            Err(error) => {
                warn!(log, "the last good version can't be used; starting on the configured one"; "why" => %error);
                let number = good.number + 1;
                StartVersion { content: configured, number, rolled_back, reason: PROCESS_START }
            }
        },
    }
}
