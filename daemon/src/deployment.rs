//! The configuration file that GW_CONFIG names, and the version that a process starts with.

use crate::change::{StartVersion, VersionContent};
use crate::store;
use asterrill_entries::Configuration;
use asterrill_operator_config::OperatorConfig;
use asterrill_rollout::{choose_start, StartDecision};
use asterrill_settings::{Deployment, SettingsError};
use slog::{info, warn, Logger};

/// The environment variable that names the file.
const CONFIG_VARIABLE: &str = "GW_CONFIG";

/// Reads the configuration file; what it has in common with `running` is shared with that.
pub fn read_deployment(running: Option<&Configuration>) -> Result<Deployment, SettingsError> {
    let path = std::env::var(CONFIG_VARIABLE)
        .map_err(|_| SettingsError::new(format!("{CONFIG_VARIABLE} is not set")))?;
    let file = std::fs::File::open(&path).map_err(|e| SettingsError::new(format!("{path}: {e}")))?;
    let read = Deployment::from_reader(file, running);
    read.map_err(|fault| SettingsError::new(format!("{path}: {fault}")))
}

/// The version that a process starts with: the configuration as it was read, or the last good version if that was on
/// probation when the process before ended, or had been rolled back. `deployment` is brought to that version.
pub fn choose_start_version(
    deployment: &mut Deployment, operator_config: OperatorConfig, operator_text: &str, log: &Logger,
) -> StartVersion {
    let configured = VersionContent::new(deployment.configuration.clone(), operator_config, operator_text);
    let Some(dir) = configured.operator_config.changes.state_dir.clone() else {
        return StartVersion { content: configured, number: 1, rolled_back: Vec::new() };
    };
    // One that can't be made shows when it is written.
    std::fs::create_dir_all(&dir).unwrap_or_default();
    match choose_start(&configured.hash(), store::read_versions(&dir, log)) {
        StartDecision::Configured { number, rolled_back } => {
            StartVersion { content: configured, number, rolled_back }
        }
        StartDecision::LastGood { good, rolled_back, why } => match VersionContent::from_persisted(&good) {
            Ok(content) => {
                info!(log, "started on the last good version"; "version" => good.number, "why" => why);
                let globals = content.configuration.globals();
                deployment.memory_mb = globals.memory_mb;
                deployment.sockets = globals.sockets;
                deployment.configuration = content.configuration.clone();
                StartVersion { content, number: good.number, rolled_back }
            }
            Err(fault) => {
                warn!(log, "the last good version can't be used"; "why" => %fault);
                StartVersion { content: configured, number: good.number + 1, rolled_back }
            }
        },
    }
}
