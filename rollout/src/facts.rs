//! The figures of a version, out of the platform's settings; and the difference between two, by meaning.

use crate::{Facts, MethodFacts};
use asterrill_settings::{integer, maybe, maybe_time, number, part, text, time, Fault};
use serde_json::Value;

/// The figures that are compared, of the settings as the platform gives them.
pub fn facts(settings: &Value) -> Result<Facts, Fault> {
    let (family, safety) = (part(settings, "FamilyInfo")?, part(settings, "Safety")?);
    let list = |name| settings.get(name).and_then(Value::as_array).map_or(&[][..], Vec::as_slice);
    let skips = family.get("ClassSkipWorth").and_then(Value::as_array);
    let mut facts = Facts {
        cores: integer(family, "NCores")? as f64,
        crowd: number(safety, "TipMultiple")?,
        memory_kb: number(family, "RamKb")?,
        call_share: None,
        ..Facts::default()
    };
    if family.get("Below").and_then(Value::as_str) == Some("shared") {
        facts.call_share = Some(number(family, "CallShare")?);
    }
    for (i, category) in list("Categories").iter().enumerate() {
        let skip = skips.and_then(|skips| skips.get(i)).and_then(Value::as_f64);
        let method = MethodFacts {
            criticality: number(category, "Worth")?,
            latency_target: time(category, "AimMs")? as f64,
            deadline: time(category, "DeadlineMs")? as f64,
            late_share: maybe(category, "LateWorth")?.unwrap_or(0.0),
            skip_share: skip.unwrap_or(0.0),
            tokened: text(category, "Effect")? == "guarded",
            window: maybe_time(category, "WindowMs")? as f64,
        };
        facts.methods.insert(text(category, "Name")?.to_string(), method);
    }
    for tenant in list("Tenants") {
        facts.tenants.insert(text(tenant, "Name")?.to_string(), number(tenant, "QuotaRps")?);
    }
    Ok(facts)
}

/// What changes from one version to another, a line each; nothing where they mean the same.
pub fn difference(old: &Facts, new: &Facts) -> Vec<String> {
    let mut lines = Vec::new();
    let mut differs = |what: String, old: f64, new: f64, unit: &str| {
        if old != new {
            lines.push(format!("{what}: {old}{unit} -> {new}{unit}"));
        }
    };
    differs("cores".into(), old.cores, new.cores, "");
    differs("crowd survived a core".into(), old.crowd, new.crowd, "");
    differs("memory".into(), old.memory_kb, new.memory_kb, " kB");
    differs(
        "share of the calls below".into(),
        old.call_share.unwrap_or(0.0),
        new.call_share.unwrap_or(0.0),
        "",
    );
    for (name, n) in &new.methods {
        let Some(o) = old.methods.get(name) else { continue };
        differs(format!("method {name}: criticality"), o.criticality, n.criticality, "");
        differs(
            format!("method {name}: latency target"),
            o.latency_target / 1e3,
            n.latency_target / 1e3,
            " ms",
        );
        differs(format!("method {name}: deadline"), o.deadline / 1e3, n.deadline / 1e3, " ms");
        differs(format!("method {name}: late share"), o.late_share, n.late_share, "");
        differs(format!("method {name}: skip share"), o.skip_share, n.skip_share, "");
        differs(format!("method {name}: window"), o.window / 1e3, n.window / 1e3, " ms");
    }
    for (name, n) in &new.tenants {
        differs(
            format!("tenant {name}: RPCs a second"),
            old.tenants.get(name).copied().unwrap_or(0.0),
            *n,
            "",
        );
    }
    let gone = |kind: &str, name: &String| format!("{kind} {name}: removed");
    lines.extend(old.methods.keys().filter(|m| !new.methods.contains_key(*m)).map(|m| gone("method", m)));
    lines.extend(old.tenants.keys().filter(|t| !new.tenants.contains_key(*t)).map(|t| gone("tenant", t)));
    let fresh = new.methods.keys().filter(|m| !old.methods.contains_key(*m));
    lines.extend(fresh.map(|m| format!("method {m}: new")));
    lines
}
