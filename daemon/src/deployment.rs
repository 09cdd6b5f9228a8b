//! Configuration file named by GW_CONFIG, and selection of the version that the process starts with.

use crate::change::{StartVersion, VersionContent};
use crate::store;
use asterrill_entries::Configuration;
use asterrill_operator_config::OperatorConfig;
use asterrill_rollout::{choose_start, StartDecision, PROCESS_START};
use asterrill_settings::{Deployment, SettingsError};
use slog::{info, warn, Logger};

/// Reason for a start with one file and, in place of the other, what had replaced it.
const ONE_FILE_CHANGED: &str = "one file has changed; the last good version replaces the other";

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
/// This is the configuration that was read, unless it was on probation when the previous process ended, had been rolled
/// back, or had been replaced by a version that was settled since; then it is the last good version.
pub fn choose_start_version(
    deployment: &mut Deployment, operator_config: OperatorConfig, operator_text: &str, log: &Logger,
) -> StartVersion {
    let configured = VersionContent::new(deployment.configuration.clone(), operator_config, operator_text);
    let files = configured.hash();
    let Some(dir) = configured.operator_config.changes.state_dir.clone() else {
        let (number, rolled_back, reason) = (1, Vec::new(), PROCESS_START);
        return StartVersion { content: configured, number, rolled_back, reason, files };
    };
    // A failure to create the directory is reported by the first write to it.
    std::fs::create_dir_all(&dir).unwrap_or_default();
    let read_before = store::read_files_read(&dir, log);
    let start = choose_start(&files, read_before.as_deref(), store::read_versions(&dir, log));
    let (good_number, number, rolled_back, reason, content) = match start {
        StartDecision::Configured { number, rolled_back } => {
            return StartVersion { content: configured, number, rolled_back, reason: PROCESS_START, files };
        }
        StartDecision::LastGood { good, rolled_back, why } => {
            info!(log, "started on the last good version"; "version" => good.number, "why" => why);
            (good.number, good.number, rolled_back, why, VersionContent::from_persisted(&good))
        }
        StartDecision::Merged { good, kept, number, rolled_back } => {
            let content = if kept.entries {
                Ok(configured.with_configuration(good.content))
            } else {
                configured.with_operator_file(&good.operator_file)
            };
            (good.number, number, rolled_back, ONE_FILE_CHANGED, content)
        }
    };
    match content {
        Ok(content) => {
            let globals = content.configuration.globals();
            deployment.memory_mb = globals.memory_mb;
            deployment.sockets = globals.sockets;
            deployment.configuration = content.configuration.clone();
            StartVersion { content, number, rolled_back, reason, files }
        }
        Err(error) => {
            warn!(log, "the last good version can't be used; starting on the configured one"; "why" => %error);
            let number = good_number + 1;
            StartVersion { content: configured, number, rolled_back, reason: PROCESS_START, files }
        }
    }
}
