//! CPU and memory figures of processes, read from `/proc`.

/// Name of the directory of this process in `/proc`.
pub const OWN_PROCESS: &str = "self";

/// Reads a line of `/proc/PROCESS/status` in kB, such as `VmRSS` or `VmHWM`. Returns `None` if the process or the
/// line is missing.
pub fn status_kb(process: &str, name: &str) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'))?;
    line.split_whitespace().next()?.parse().ok()
}

/// Reads a line of `/proc/PROCESS/status` in kB, with 0 for a missing process or line.
pub fn status_kb_or_zero(process: &str, name: &str) -> f64 {
    status_kb(process, name).map_or(0.0, |kb| kb as f64)
}

/// Returns the resident memory of a process in kB, or 0 if the process is missing.
pub fn resident_kb(process: &str) -> f64 {
    status_kb_or_zero(process, "VmRSS")
}

/// Returns the user and system CPU time of a process in clock ticks of 10 ms, or `None` if the process is missing.
pub fn cpu_ticks(process: &str) -> Option<u64> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    // The command name may contain spaces; the fields are counted from its closing parenthesis.
    let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
    let ticks = |n: usize| fields.get(n).and_then(|field| field.parse::<u64>().ok()).unwrap_or(0);
    Some(ticks(USER_TICKS_FIELD) + ticks(SYSTEM_TICKS_FIELD))
}

/// Index of `utime` in proc(5), counted from the field after the command name.
const USER_TICKS_FIELD: usize = 11;
/// Index of `stime`, counted in the same way.
const SYSTEM_TICKS_FIELD: usize = 12;

/// Returns the thread id and the CPU time in nanoseconds of each live thread of a process.
pub fn thread_cpu_ns(process: &str) -> impl Iterator<Item = (String, u64)> {
    let tasks = std::fs::read_dir(format!("/proc/{process}/task"));
    tasks.into_iter().flatten().flatten().filter_map(|task| {
        let text = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
        let ns = text.split_whitespace().next()?.parse().ok()?;
        Some((task.file_name().into_string().ok()?, ns))
    })
}

/// Returns the load average of the machine over the last minute.
pub fn load_average() -> Option<f64> {
    std::fs::read_to_string("/proc/loadavg").ok()?.split(' ').next()?.parse().ok()
}
