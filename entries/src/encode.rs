//! Canonical JSON encoding of settings and changes with the platform's field names. Digests and stored versions
//! depend on every byte of it.

use crate::change::Change;
use crate::entry::Name;
use crate::globals::GlobalSettings;
use crate::keywords::{keyword_for, EFFECTS, FEEDBACK_MODES, STOP_MODES, UPSTREAM_KINDS};
use crate::time::millis_from_micros;
use asterrill::{Method, Us};
use std::fmt::{self, Write};

/// Smallest magnitude that is written without an exponent, other than 0.
const MIN_PLAIN_NOTATION: f64 = 1e-5;
/// Magnitude from which numbers are written with an exponent.
const MAX_PLAIN_NOTATION: f64 = 1e16;

/// A number, written with the fewest digits that parse to exactly the same value.
struct Number(f64);

impl fmt::Display for Number {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let number = self.0;
        if number == 0.0 || (MIN_PLAIN_NOTATION..MAX_PLAIN_NOTATION).contains(&number.abs()) {
            write!(f, "{number}")
        } else {
            write!(f, "{number:?}")
        }
    }
}

/// An optional value, written as `null` if absent.
struct OrNull<T>(Option<T>);

impl<T: fmt::Display> fmt::Display for OrNull<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            Some(value) => value.fmt(f),
            None => f.write_str("null"),
        }
    }
}

/// A text, written as a JSON string.
struct Quoted<'t>(&'t str);

impl fmt::Display for Quoted<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&serde_json::to_string(self.0).map_err(|_| fmt::Error)?)
    }
}

/// Names, written as an array of JSON strings.
struct QuotedList<'n>(&'n [Name]);

impl fmt::Display for QuotedList<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_char('[')?;
        for (index, name) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_char(',')?;
            }
            Quoted(name).fmt(f)?;
        }
        f.write_char(']')
    }
}

/// Converts microseconds to a number of milliseconds.
fn millis(duration: Us) -> Number {
    Number(millis_from_micros(duration))
}

/// Encodes a resource limit; 0, a limit that was never set, becomes `null`.
fn resource_limit(limit: u64) -> OrNull<u64> {
    OrNull((limit > 0).then_some(limit))
}

/// Returns all global settings as one JSON object, with `null` for those that are not set.
pub(crate) fn globals_text(globals: &GlobalSettings) -> String {
    let mut text = String::new();
    // Writing to a `String` cannot fail.
    encode_globals(globals, &mut text).unwrap_or_default();
    text
}

fn encode_globals(globals: &GlobalSettings, to: &mut dyn Write) -> fmt::Result {
    to.write_str(r#"{"FamilyInfo":{"#)?;
    encode_family_info(globals, to)?;
    to.write_str(r#"},"Safety":{"#)?;
    write!(
        to,
        r#""TipMultiple":{},"ColdFrom":{},"RampTimeMs":{},"StopSendingWithinMs":{}"#,
        Number(globals.max_running_per_core),
        OrNull(globals.slow_start_from.map(Number)),
        millis(globals.slow_start_duration),
        millis(globals.health_propagation_delay),
    )?;
    write!(
        to,
        r#"}},"Limits":{{"RetryAfter":{},"MaxRetryAfterMs":{}}}"#,
        globals.retry_after,
        millis(globals.max_retry_after),
    )?;
    write!(
        to,
        r#","StepMs":{},"ReplicasOfMe":{},"OverShareWorth":{}"#,
        millis(globals.min_event_interval),
        globals.replicas,
        Number(globals.over_quota_weight),
    )?;
    write!(
        to,
        r#","limits":{{"memory_mb":{},"sockets":{}}}}}"#,
        resource_limit(globals.memory_mb),
        resource_limit(globals.sockets),
    )
}

fn encode_family_info(globals: &GlobalSettings, to: &mut dyn Write) -> fmt::Result {
    write!(
        to,
        r#""NCores":{},"RamKb":{},"RunFactor":{},"KbPerKey":{}"#,
        globals.cores,
        Number(globals.ram_kb),
        Number(globals.run_factor),
        Number(globals.kb_per_key),
    )?;
    write!(
        to,
        r#","Below":"{}","CallShare":{},"DepWindowMs":{},"LingerMs":{}"#,
        keyword_for(UPSTREAM_KINDS, globals.upstream),
        OrNull(globals.upstream_call_quota.map(Number)),
        OrNull(globals.upstream_call_window.map(millis)),
        millis(globals.abandoned_call_linger),
    )?;
    write!(
        to,
        r#","Say":"{}","StopMode":"{}","FreshMs":{},"IdleMs":{}"#,
        keyword_for(FEEDBACK_MODES, globals.feedback_mode),
        keyword_for(STOP_MODES, globals.stop_mode),
        millis(globals.response_ttl),
        millis(globals.idle_timeout),
    )?;
    write!(
        to,
        r#","Callers":{},"Cold":{},"Gauges":{}"#,
        globals.callers,
        globals.cold_start,
        QuotedList(&globals.gauges),
    )
}

/// Writes the line that puts a method.
pub(crate) fn encode_method(name: &str, method: &Method, to: &mut dyn Write) -> fmt::Result {
    writeln!(
        to,
        r#"{{"put":"method","Name":{},"AimMs":{},"DeadlineMs":{},"Effect":"{}","Worth":{},"LateWorth":{},"WindowMs":{},"SkipWorth":{}}}"#,
        Quoted(name),
        millis(method.latency_target),
        millis(method.deadline),
        keyword_for(EFFECTS, method.idempotency),
        Number(method.criticality),
        Number(method.late_value_ratio),
        millis(method.idempotency_window),
        Number(method.skip_value_ratio),
    )
}

/// Writes the line that puts a tenant.
pub(crate) fn encode_tenant(name: &str, quota: f64, to: &mut dyn Write) -> fmt::Result {
    writeln!(to, r#"{{"put":"tenant","Name":{},"QuotaRps":{}}}"#, Quoted(name), Number(quota))
}

/// Writes the line that sets the global settings.
pub(crate) fn encode_globals_line(globals: &GlobalSettings, to: &mut dyn Write) -> fmt::Result {
    to.write_str(r#"{"frame":"#)?;
    encode_globals(globals, to)?;
    to.write_str("}\n")
}

/// Writes the line for a change.
pub(crate) fn encode_change(change: &Change, to: &mut dyn Write) -> fmt::Result {
    match change {
        Change::SetGlobals(globals) => encode_globals_line(globals, to),
        Change::PutMethod(name, method) => encode_method(name, method, to),
        Change::PutTenant(name, quota) => encode_tenant(name, *quota, to),
        Change::RemoveMethod(name) => writeln!(to, r#"{{"take":"method","Name":{}}}"#, Quoted(name)),
        Change::RemoveTenant(name) => writeln!(to, r#"{{"take":"tenant","Name":{}}}"#, Quoted(name)),
    }
}
