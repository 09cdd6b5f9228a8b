//! Installation of a version: its entries are staged in slices beside the active ones, then one input of the core
//! activates all of them.

use super::content::VersionContent;
use super::prepare::changed_global_parts;
use crate::connection_limits;
use crate::core::{Core, VersionSwitch};
use crate::dispatcher::Dispatcher;
use crate::operator;
use asterrill_entries::{Change, Configuration, EntryKind};
use asterrill_rollout::Version;
use asterrill_settings::SettingsError;

/// Number of entries staged before other coroutines run. See `docs/design/rollout.md` for measurements.
const ENTRIES_PER_SLICE: usize = 200;

/// Callback between two slices of a change, in which other coroutines run.
pub type SlicePause<'a> = dyn FnMut(&Dispatcher) + 'a;

/// Installs a version. This is the only function that activates one.
///
/// The entries are staged beside the active ones, a slice at a time; then one input of the core activates all of
/// them. `entry_for` returns the entry to stage for an entry of `step`.
///
/// # Errors
/// The version can't be installed. Nothing has changed then.
pub fn install(
    dispatcher: &Dispatcher, version: &Version<VersionContent>, step: &[Change], seed: u64,
    entry_for: impl Fn(&Change) -> Change, pause: &mut SlicePause<'_>,
) -> Result<(), SettingsError> {
    let Version { number, content, .. } = version;
    let configuration = &content.configuration;
    let global_parts = changed_global_parts(content, step, seed)?;
    let methods = configuration.methods().filter(|_| global_parts.is_some());
    let longest_latency_target = methods.map(|(_, method)| method.latency_target).max().unwrap_or(0);
    let queues = operator::consumer_configs(content.operator_config.broker.as_ref(), configuration)?;
    let requires_tenant = configuration.count(EntryKind::Tenant) > 0;
    dispatcher.with(|core, _, _| core.check_capacity_for(step, &queues)).map_err(SettingsError::new)?;
    stage_slices(dispatcher, step, entry_for, pause);
    let switch =
        VersionSwitch { number: *number, global_parts, longest_latency_target, queues, requires_tenant };
    dispatcher.with(|core: &mut Core, outbound, now| core.switch_version(now, switch, outbound));
    dispatcher.with(|core, _, _| core.set_settings_hash(content.settings_hash()));
    let globals = configuration.globals();
    let max_connections = connection_limits::max_connections(globals.sockets, globals.memory_mb);
    dispatcher.resize(globals.memory_mb, max_connections);
    Ok(())
}

fn stage_slices(
    dispatcher: &Dispatcher, step: &[Change], entry_for: impl Fn(&Change) -> Change,
    pause: &mut SlicePause<'_>,
) {
    let mut slices = step.chunks(ENTRIES_PER_SLICE).peekable();
    while let Some(slice) = slices.next() {
        let slice: Vec<Change> = slice.iter().map(&entry_for).collect();
        dispatcher.with(|core, _, _| core.stage(&slice));
        if slices.peek().is_some() {
            pause(dispatcher);
        }
    }
}

/// Returns the change that rolls `entry` back to the value that its key has in `previous`.
pub fn inverse(entry: &Change, previous: &Configuration) -> Change {
    match entry {
        Change::SetGlobals(_) => Change::SetGlobals(previous.globals().clone()),
        Change::PutMethod(name, _) | Change::RemoveMethod(name) => match previous.method(name) {
            Some(method) => Change::PutMethod(name.clone(), method.clone()),
            None => Change::RemoveMethod(name.clone()),
        },
        Change::PutTenant(name, _) | Change::RemoveTenant(name) => match previous.tenant(name) {
            Some(quota) => Change::PutTenant(name.clone(), quota),
            None => Change::RemoveTenant(name.clone()),
        },
    }
}
