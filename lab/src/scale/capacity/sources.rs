//! Which field of which scenario's output each row of the slopes is made of.

/// A row, and the field that it is made of.
#[derive(Clone, Copy)]
pub(super) struct RowSource {
    pub(super) row: &'static str,
    pub(super) field: &'static str,
    /// A field that is subtracted.
    pub(super) less: Option<&'static str>,
    /// Over the same field of the build beside it, in place of the unit.
    pub(super) over_other: bool,
    /// Taken where the field is not there: said in the spread.
    pub(super) fallback: Option<&'static str>,
    /// What one of the row's units is in the field's.
    pub(super) unit: f64,
}

/// Rows that are made of the same outputs.
pub(super) struct SourceGroup {
    pub(super) scenario: &'static str,
    /// Only of outputs in which fields are these.
    pub(super) only: &'static [(&'static str, &'static str)],
    pub(super) rows: &'static [RowSource],
}

const KB: f64 = 1_024.0;
const MS: f64 = 1e3;
const BYTES: f64 = 1e3;

const fn row(row: &'static str, field: &'static str) -> RowSource {
    RowSource { row, field, less: None, over_other: false, fallback: None, unit: 1.0 }
}

impl RowSource {
    const fn per(self, unit: f64) -> RowSource {
        RowSource { unit, ..self }
    }
    const fn above(self, less: &'static str) -> RowSource {
        RowSource { less: Some(less), ..self }
    }
    const fn or(self, field: &'static str) -> RowSource {
        RowSource { fallback: Some(field), ..self }
    }
    const fn over_other(self) -> RowSource {
        RowSource { over_other: true, ..self }
    }
}

/// All rows that are taken up.
pub(super) const SOURCES: &[SourceGroup] = &[
    SourceGroup { scenario: "scale-config", only: &[("rate", "84")], rows: CONFIG },
    SourceGroup { scenario: "scale-members", only: &[("kind", "quiet"), ("loss", "0")], rows: MEMBERS },
    SourceGroup {
        scenario: "scale-members",
        only: &[("kind", "calm"), ("loss", "0.15")],
        rows: MEMBERS_CALM_LOSS,
    },
    SourceGroup { scenario: "scale-members", only: &[("loss", "0.15")], rows: MEMBERS_LOSS },
    SourceGroup {
        scenario: "scale-members",
        only: &[("kind", "restarts"), ("loss", "0")],
        rows: MEMBERS_RESTARTS,
    },
    SourceGroup { scenario: "scale-members", only: &[("kind", "zone"), ("loss", "0")], rows: MEMBERS_ZONE },
    SourceGroup { scenario: "scale-members", only: &[("kind", "cut"), ("loss", "0")], rows: MEMBERS_CUT },
    SourceGroup { scenario: "scale-agree", only: &[("kind", "quiet"), ("entries", "10000")], rows: AGREE },
    SourceGroup {
        scenario: "scale-agree",
        only: &[("kind", "dead"), ("entries", "10000")],
        rows: AGREE_DEAD,
    },
    SourceGroup { scenario: "scale-agree", only: &[("kind", "cut"), ("entries", "10000")], rows: AGREE_CUT },
    SourceGroup {
        scenario: "scale-agree",
        only: &[("kind", "loss"), ("entries", "10000")],
        rows: AGREE_LOSS,
    },
    SourceGroup {
        scenario: "scale-agree",
        only: &[("kind", "keeper"), ("entries", "10000")],
        rows: AGREE_KEEPER,
    },
    SourceGroup { scenario: "scale-tool", only: &[], rows: TOOL },
    SourceGroup { scenario: "scale-rpc", only: &[("callers", "42")], rows: RPC },
    SourceGroup { scenario: "scale-rpc", only: &[("callers", "5100")], rows: RPC_ALL_CALLERS },
    SourceGroup { scenario: "scale-rpc-lists", only: &[("callers", "5100")], rows: RPC_LISTS },
    SourceGroup { scenario: "scale-callers", only: &[], rows: CALLERS },
];

const CONFIG: &[RowSource] = &[
    row("config-memory", "rss_kb").above("rss_kb_small").per(KB),
    row("config-memory-changes", "rss_kb_after").above("rss_kb_small").per(KB),
    row("config-memory-reloads", "rss_kb_after_reloads").above("rss_kb_small").per(KB),
    row("config-memory-peak", "peak_kb").above("rss_kb_small").per(KB),
    row("config-cpu-step", "cpu_ms_per_change"),
    row("config-cpu-reload", "cpu_ms_per_reload").or("cpu_ms_per_refused_reload"),
    row("config-cpu-all", "cpu_ms_all"),
    row("config-cpu-undo", "cpu_ms_undo"),
    row("config-gap", "gap_ms_max"),
    row("config-gap-quiet", "gap_ms_max_quiet"),
    row("config-added", "added_ms_p99"),
    row("config-added-quiet", "added_ms_p99_quiet"),
    row("config-all-time", "all_ms_file"),
    row("config-bytes-step", "bytes_per_change").above("entry_bytes"),
    row("config-bytes-disk", "bytes_per_change_disk").above("entry_bytes"),
    row("config-file", "file_bytes").per(KB),
    row("config-start", "start_ms"),
    row("config-memory-peak-reloads", "peak_kb_after_reloads").above("rss_kb_small").per(KB),
    row("config-gap-floor", "gap_ms_floor"),
    row("config-small-memory", "rss_kb_small").over_other(),
];

const MEMBERS: &[RowSource] = &[
    row("members-cpu", "cpu_ms_per_s"),
    row("members-bytes", "bytes_per_s").per(BYTES),
    row("members-datagrams", "datagrams_per_s"),
    row("members-memory", "memory_kb").per(KB),
    row("members-found", "found_ms").per(MS),
    row("members-detect", "detect_ms_max").per(MS),
    row("members-transition", "transition_all_ms").per(MS),
];

const MEMBERS_CALM_LOSS: &[RowSource] = &[row("members-false-loss", "false_failed")];

const MEMBERS_LOSS: &[RowSource] =
    &[row("members-cpu-loss", "cpu_ms_per_s"), row("members-bytes-loss", "bytes_per_s").per(BYTES)];

const MEMBERS_RESTARTS: &[RowSource] = &[
    row("members-cpu-restarts", "worst_cpu_ms_per_s"),
    row("members-bytes-restarts", "worst_bytes_per_s").per(BYTES),
    row("members-waiting", "waiting_max"),
];

const MEMBERS_ZONE: &[RowSource] = &[
    row("members-cpu-zone", "worst_cpu_ms_per_s"),
    row("members-bytes-zone", "worst_bytes_per_s").per(BYTES),
    row("members-whole-zone", "whole_ms").per(MS),
];

const MEMBERS_CUT: &[RowSource] = &[
    row("members-cpu-cut", "cut_worst_cpu_ms_per_s"),
    row("members-bytes-cut", "cut_worst_bytes_per_s").per(BYTES),
    row("members-sides", "sides_that_lead"),
    row("members-cpu-heal", "worst_cpu_ms_per_s"),
    row("members-bytes-heal", "worst_bytes_per_s").per(BYTES),
    row("members-whole-cut", "whole_ms").per(MS),
];

const AGREE: &[RowSource] = &[
    row("holder-cpu", "holder_cpu_ms_per_s_changing"),
    row("holder-bytes", "holder_bytes_per_s_changing").per(BYTES),
    row("holder-memory", "holder_kb_after").per(KB),
    row("keeper-cpu", "leader_cpu_ms_per_s_changing"),
    row("keeper-bytes", "leader_bytes_per_s_changing").per(BYTES),
    row("keeper-messages", "leader_messages_per_s_changing"),
    row("keeper-memory", "keeper_kb").per(KB),
    row("keeper-disk-change", "disk_bytes_per_change"),
    row("keeper-disk", "disk_bytes_whole").per(KB),
    row("keeper-catch-up", "catch_up_ms").per(MS),
    row("keeper-catch-up-cpu", "catch_up_keepers_cpu_ms"),
    row("keeper-catch-up-region", "catch_up_ms_255").per(MS),
    row("keeper-catch-up-region-cpu", "catch_up_keepers_cpu_ms_255"),
    row("agree-in-force", "in_force_ms_max").per(MS),
    row("agree-all", "everything_ms").per(MS),
];

const AGREE_DEAD: &[RowSource] = &[row("agree-in-force-dead", "in_force_ms_max").per(MS)];

const AGREE_CUT: &[RowSource] = &[
    row("agree-in-force-cut", "in_force_ms_max").per(MS),
    row("agree-contradiction", "contradiction_ms_max").per(MS),
];

const AGREE_LOSS: &[RowSource] = &[
    row("agree-in-force-loss", "in_force_ms_max").per(MS),
    row("agree-catch-up-loss", "catch_up_ms").per(MS),
];

const AGREE_KEEPER: &[RowSource] = &[row("agree-in-force-keeper", "in_force_ms_max").per(MS)];

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
