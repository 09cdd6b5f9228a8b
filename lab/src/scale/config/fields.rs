//! The fields of an output, and the phases under which RPCs are counted.

/// Every field of an output, null where the build can't or nothing was measured.
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

/// The phases under which RPCs and gaps are counted.
pub mod phase {
    /// Between the others.
    pub const WARM_UP: usize = 0;
    /// Nothing changes.
    pub const QUIET: usize = 1;
    /// Changes of one entry at the control socket.
    pub const CHANGES: usize = 2;
    /// Files that are read again.
    pub const RELOADS: usize = 3;
    /// A change of every entry as one step.
    pub const ALL_BY_STEP: usize = 4;
    /// A change of every entry as one file.
    pub const ALL_BY_FILE: usize = 5;
    /// Changes that are undone.
    pub const UNDO: usize = 6;
}

#[cfg(test)]
#[path = "tests/fields.rs"]
mod tests;
