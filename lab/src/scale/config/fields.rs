//! Fields of the report, and phases by which RPCs are counted.

/// Fields of the report of one build. A field is null if the build does not support what it measures, or nothing was
/// measured.
#[rustfmt::skip]
pub const FIELDS: &[&str] = &[
    "start_ms", "rss_kb", "rss_kb_small", "rss_kb_after", "rss_kb_after_reloads", "rss_kb_end", "peak_kb",
    "peak_kb_after_reloads", "peak_kb_start", "file_bytes", "changes", "changes_by", "change_ms_p50",
    "change_ms_max", "cpu_ms_per_change", "reloads", "reload_ms_p50", "reload_ms_max", "cpu_ms_per_reload",
    "reloads_refused", "cpu_ms_per_refused_reload", "cpu_ms_all", "cpu_ms_all_step", "cpu_ms_all_file",
    "all_ms_step", "all_ms_file", "all_step_error", "cpu_ms_undo", "cpu_ms_undo_all", "undo_ms",
    "undo_all_ms", "undo_file_ms", "gap_ms_max", "gap_ms_max_quiet", "gap_ms_max_changes",
    "gap_ms_max_reloads", "gap_ms_max_all", "gap_ms_max_all_step", "gap_ms_max_all_file", "gap_ms_floor",
    "gap_ms_floor_quiet", "gap_ms_floor_changes", "gap_ms_floor_reloads", "gap_ms_floor_all",
    "gap_ms_floor_all_step", "gap_ms_floor_all_file", "added_ms_p50", "added_ms_p99", "added_ms_p50_quiet",
    "added_ms_p99_quiet", "added_ms_p50_changes", "added_ms_p99_changes", "added_ms_p99_reloads",
    "added_ms_p99_all", "added_ms_p99_all_step", "added_ms_p99_all_file", "bytes_per_change",
    "bytes_per_change_disk", "entry_bytes", "half_applied", "older_after_newer", "pairs", "refused",
    "refused_why", "no_final_answer", "answered_twice", "left_processes", "asked", "ok", "pushed_back",
    "aborted", "quiet_cpu_ms_per_s", "load",
];

/// Phases by which RPCs and gaps between answers are counted.
pub mod phase {
    /// Start of the load, and the time between the other phases.
    pub const WARM_UP: usize = 0;
    /// Load without configuration changes.
    pub const QUIET: usize = 1;
    /// Changes of single entries through the control socket.
    pub const CHANGES: usize = 2;
    /// Reloads of the configuration file.
    pub const RELOADS: usize = 3;
    /// Change of every entry in one step.
    pub const ALL_BY_STEP: usize = 4;
    /// Change of every entry by one reload of the file.
    pub const ALL_BY_FILE: usize = 5;
    /// Changes that are undone during probation.
    pub const UNDO: usize = 6;
}

#[cfg(test)]
#[path = "tests/fields.rs"]
mod tests;
