//! Mapping of scenarios and fields of their output to the rows of the slopes.

/// Row and the output field from which its values are computed.
#[derive(Clone, Copy)]
pub(super) struct RowSource {
    pub(super) row: &'static str,
    pub(super) field: &'static str,
    /// Field that is subtracted.
    pub(super) subtract: Option<&'static str>,
    /// Whether the value is divided by the same field of the other build, in place of the unit.
    pub(super) relative_to_other: bool,
    /// Field that is used if the first is missing. The spread of the row says so.
    pub(super) fallback: Option<&'static str>,
    /// Divisor that converts the unit of the field to the unit of the row.
    pub(super) unit: f64,
}

/// Rows that are computed from the same outputs.
pub(super) struct SourceGroup {
    pub(super) scenario: &'static str,
    /// Fields and the values that they must have in an output, unless the output lacks them.
    pub(super) required_fields: &'static [(&'static str, &'static str)],
    pub(super) rows: &'static [RowSource],
}

/// Factor between bytes and KiB, and between KiB and MiB.
const KIBI: f64 = 1_024.0;
const MS_PER_S: f64 = 1e3;
const BYTES_PER_KB: f64 = 1e3;

const fn row(row: &'static str, field: &'static str) -> RowSource {
    RowSource { row, field, subtract: None, relative_to_other: false, fallback: None, unit: 1.0 }
}

impl RowSource {
    const fn in_unit(self, unit: f64) -> RowSource {
        RowSource { unit, ..self }
    }
    const fn minus(self, field: &'static str) -> RowSource {
        RowSource { subtract: Some(field), ..self }
    }
    const fn or_field(self, field: &'static str) -> RowSource {
        RowSource { fallback: Some(field), ..self }
    }
    const fn relative_to_other(self) -> RowSource {
        RowSource { relative_to_other: true, ..self }
    }
}

/// Rows that are computed from the output of scenarios.
pub(super) const SOURCES: &[SourceGroup] = &[
    SourceGroup { scenario: "scale-config", required_fields: &[("rate", "84")], rows: CONFIG },
    SourceGroup {
        scenario: "scale-members",
        required_fields: &[("kind", "quiet"), ("loss", "0")],
        rows: MEMBERS,
    },
    SourceGroup {
        scenario: "scale-members",
        required_fields: &[("kind", "calm"), ("loss", "0.15")],
        rows: MEMBERS_CALM_LOSS,
    },
    SourceGroup { scenario: "scale-members", required_fields: &[("loss", "0.15")], rows: MEMBERS_LOSS },
    SourceGroup {
        scenario: "scale-members",
        required_fields: &[("kind", "restarts"), ("loss", "0")],
        rows: MEMBERS_RESTARTS,
    },
    SourceGroup {
        scenario: "scale-members",
        required_fields: &[("kind", "zone"), ("loss", "0")],
        rows: MEMBERS_ZONE,
    },
    SourceGroup {
        scenario: "scale-members",
        required_fields: &[("kind", "cut"), ("loss", "0")],
        rows: MEMBERS_CUT,
    },
    SourceGroup {
        scenario: "scale-agree",
        required_fields: &[("kind", "quiet"), ("entries", "10000")],
        rows: AGREE,
    },
    SourceGroup {
        scenario: "scale-agree",
        required_fields: &[("kind", "dead"), ("entries", "10000")],
        rows: AGREE_DEAD,
    },
    SourceGroup {
        scenario: "scale-agree",
        required_fields: &[("kind", "cut"), ("entries", "10000")],
        rows: AGREE_CUT,
    },
    SourceGroup {
        scenario: "scale-agree",
        required_fields: &[("kind", "loss"), ("entries", "10000")],
        rows: AGREE_LOSS,
    },
    SourceGroup {
        scenario: "scale-agree",
        required_fields: &[("kind", "keeper"), ("entries", "10000")],
        rows: AGREE_KEEPER,
    },
    SourceGroup { scenario: "scale-tool", required_fields: &[], rows: TOOL },
    SourceGroup { scenario: "scale-rpc", required_fields: &[("callers", "42")], rows: RPC },
    SourceGroup { scenario: "scale-rpc", required_fields: &[("callers", "5100")], rows: RPC_ALL_CALLERS },
    SourceGroup { scenario: "scale-rpc-lists", required_fields: &[("callers", "5100")], rows: RPC_LISTS },
    SourceGroup { scenario: "scale-callers", required_fields: &[], rows: CALLERS },
];

const CONFIG: &[RowSource] = &[
    row("config-memory", "rss_kb").minus("rss_kb_small").in_unit(KIBI),
    row("config-memory-changes", "rss_kb_after").minus("rss_kb_small").in_unit(KIBI),
    row("config-memory-reloads", "rss_kb_after_reloads").minus("rss_kb_small").in_unit(KIBI),
    row("config-memory-peak", "peak_kb").minus("rss_kb_small").in_unit(KIBI),
    row("config-cpu-step", "cpu_ms_per_change"),
    row("config-cpu-reload", "cpu_ms_per_reload").or_field("cpu_ms_per_refused_reload"),
    row("config-cpu-all", "cpu_ms_all"),
    row("config-cpu-undo", "cpu_ms_undo"),
    row("config-gap", "gap_ms_max"),
    row("config-gap-quiet", "gap_ms_max_quiet"),
    row("config-added", "added_ms_p99"),
    row("config-added-quiet", "added_ms_p99_quiet"),
    row("config-all-time", "all_ms_file"),
    row("config-bytes-step", "bytes_per_change").minus("entry_bytes"),
    row("config-bytes-disk", "bytes_per_change_disk").minus("entry_bytes"),
    row("config-file", "file_bytes").in_unit(KIBI),
    row("config-start", "start_ms"),
    row("config-memory-peak-reloads", "peak_kb_after_reloads").minus("rss_kb_small").in_unit(KIBI),
    row("config-gap-floor", "gap_ms_floor"),
    row("config-small-memory", "rss_kb_small").relative_to_other(),
];

const MEMBERS: &[RowSource] = &[
    row("members-cpu", "cpu_ms_per_s"),
    row("members-bytes", "bytes_per_s").in_unit(BYTES_PER_KB),
    row("members-datagrams", "datagrams_per_s"),
    row("members-memory", "memory_kb").in_unit(KIBI),
    row("members-found", "found_ms").in_unit(MS_PER_S),
    row("members-detect", "detect_ms_max").in_unit(MS_PER_S),
    row("members-transition", "transition_all_ms").in_unit(MS_PER_S),
];

const MEMBERS_CALM_LOSS: &[RowSource] = &[row("members-false-loss", "false_failed")];

const MEMBERS_LOSS: &[RowSource] = &[
    row("members-cpu-loss", "cpu_ms_per_s"),
    row("members-bytes-loss", "bytes_per_s").in_unit(BYTES_PER_KB),
];

const MEMBERS_RESTARTS: &[RowSource] = &[
    row("members-cpu-restarts", "worst_cpu_ms_per_s"),
    row("members-bytes-restarts", "worst_bytes_per_s").in_unit(BYTES_PER_KB),
    row("members-waiting", "waiting_max"),
];

const MEMBERS_ZONE: &[RowSource] = &[
    row("members-cpu-zone", "worst_cpu_ms_per_s"),
    row("members-bytes-zone", "worst_bytes_per_s").in_unit(BYTES_PER_KB),
    row("members-whole-zone", "whole_ms").in_unit(MS_PER_S),
];

const MEMBERS_CUT: &[RowSource] = &[
    row("members-cpu-cut", "cut_worst_cpu_ms_per_s"),
    row("members-bytes-cut", "cut_worst_bytes_per_s").in_unit(BYTES_PER_KB),
    row("members-sides", "sides_that_lead"),
    row("members-cpu-heal", "worst_cpu_ms_per_s"),
    row("members-bytes-heal", "worst_bytes_per_s").in_unit(BYTES_PER_KB),
    row("members-whole-cut", "whole_ms").in_unit(MS_PER_S),
];

const AGREE: &[RowSource] = &[
    row("holder-cpu", "holder_cpu_ms_per_s_changing"),
    row("holder-bytes", "holder_bytes_per_s_changing").in_unit(BYTES_PER_KB),
    row("holder-memory", "holder_kb_after").in_unit(KIBI),
    row("keeper-cpu", "leader_cpu_ms_per_s_changing"),
    row("keeper-bytes", "leader_bytes_per_s_changing").in_unit(BYTES_PER_KB),
    row("keeper-messages", "leader_messages_per_s_changing"),
    row("keeper-memory", "keeper_kb").in_unit(KIBI),
    row("keeper-disk-change", "disk_bytes_per_change"),
    row("keeper-disk", "disk_bytes_whole").in_unit(KIBI),
    row("keeper-catch-up", "catch_up_ms").in_unit(MS_PER_S),
    row("keeper-catch-up-cpu", "catch_up_keepers_cpu_ms"),
    row("keeper-catch-up-region", "catch_up_ms_255").in_unit(MS_PER_S),
    row("keeper-catch-up-region-cpu", "catch_up_keepers_cpu_ms_255"),
    row("agree-in-force", "in_force_ms_max").in_unit(MS_PER_S),
    row("agree-all", "everything_ms").in_unit(MS_PER_S),
];

const AGREE_DEAD: &[RowSource] = &[row("agree-in-force-dead", "in_force_ms_max").in_unit(MS_PER_S)];

const AGREE_CUT: &[RowSource] = &[
    row("agree-in-force-cut", "in_force_ms_max").in_unit(MS_PER_S),
    row("agree-contradiction", "contradiction_ms_max").in_unit(MS_PER_S),
];

const AGREE_LOSS: &[RowSource] = &[
    row("agree-in-force-loss", "in_force_ms_max").in_unit(MS_PER_S),
    row("agree-catch-up-loss", "catch_up_ms").in_unit(MS_PER_S),
];

const AGREE_KEEPER: &[RowSource] = &[row("agree-in-force-keeper", "in_force_ms_max").in_unit(MS_PER_S)];

const TOOL: &[RowSource] = &[
    row("tool-check-cpu", "check_cpu_ms"),
    row("tool-check-memory", "check_peak_mb"),
    row("tool-diff-cpu", "diff_cpu_ms"),
    row("tool-diff-memory", "diff_peak_mb"),
];

const RPC: &[RowSource] =
    &[row("rpc-cpu", "cpu_us"), row("rpc-ratio", "ratio"), row("rpc-to-before", "ratio_to_other")];

const RPC_ALL_CALLERS: &[RowSource] = &[row("rpc-ratio-all", "ratio")];

const RPC_LISTS: &[RowSource] = &[row("rpc-ratio-lists", "ratio")];

const CALLERS: &[RowSource] = &[
    row("callers-memory", "memory_mb"),
    row("callers-descriptors", "descriptors"),
    row("callers-cpu", "cpu_ms_per_s"),
];
