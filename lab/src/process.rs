//! What the system accounts to a process, read from `/proc`.

/// The directory of this process in `/proc`.
pub const OWN_PROCESS: &str = "self";

/// A line of `/proc/PROCESS/status` in kB, such as `VmRSS` or `VmHWM`; none where the process or the line is missing.
pub fn status_kb(process: &str, name: &str) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'))?;
    line.split_whitespace().next()?.parse().ok()
}

/// The same as a figure to calculate with: 0 where it is missing.
pub fn status_kb_or_zero(process: &str, name: &str) -> f64 {
    status_kb(process, name).map_or(0.0, |kb| kb as f64)
}

/// Resident memory of a process in kB, 0 where the process is missing.
pub fn resident_kb(process: &str) -> f64 {
    status_kb_or_zero(process, "VmRSS")
}

/// CPU time of a process in clock ticks of 10 ms, user and system together; none where the process is missing.
pub fn cpu_ticks(process: &str) -> Option<u64> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    // The command's name may hold blanks; the fields are counted behind its closing parenthesis.
    let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
    let ticks = |n: usize| fields.get(n).and_then(|field| field.parse::<u64>().ok()).unwrap_or(0);
    Some(ticks(USER_TICKS) + ticks(SYSTEM_TICKS))
}

const USER_TICKS: usize = 11; // `utime` in proc(5), counted from the field behind the command's name
const SYSTEM_TICKS: usize = 12; // `stime`

/// CPU time of each thread of a process that is alive, by its thread id and in nanoseconds.
pub fn thread_cpu_ns(process: &str) -> impl Iterator<Item = (String, u64)> {
    let tasks = std::fs::read_dir(format!("/proc/{process}/task"));
    tasks.into_iter().flatten().flatten().filter_map(|task| {
        let text = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
        let ns = text.split_whitespace().next()?.parse().ok()?;
        Some((task.file_name().into_string().ok()?, ns))
    })
}

/// The machine's load average of the last minute.
pub fn load_average() -> Option<f64> {
    std::fs::read_to_string("/proc/loadavg").ok()?.split(' ').next()?.parse().ok()
}
