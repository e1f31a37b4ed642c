//! CPU time and memory of this process, read from `/proc`.

use std::fs;

/// Clock ticks per second of the process times in `/proc`.
const TICKS_PER_S: f64 = 100.0;
/// Size of a memory page in bytes.
const PAGE_BYTES: u64 = 4_096;

/// Returns the CPU time that this process has used, in s.
pub fn cpu_s() -> f64 {
    stat_cpu_s(&fs::read_to_string("/proc/self/stat").unwrap_or_default())
}

/// Returns the CPU time, in s, that the threads whose name satisfies `is_wanted` have used.
pub fn threads_cpu_s(is_wanted: impl Fn(&str) -> bool) -> f64 {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else { return 0.0 };
    let stats = tasks.flatten().filter_map(|task| fs::read_to_string(task.path().join("stat")).ok());
    stats.filter(|stat| is_wanted(thread_name(stat))).map(|stat| stat_cpu_s(&stat)).sum()
}

/// Returns the resident memory of this process in bytes.
pub fn memory_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn thread_name(stat: &str) -> &str {
    let start = stat.find('(').map_or(0, |at| at + 1);
    let end = stat.rfind(')').unwrap_or(stat.len());
    stat.get(start..end).unwrap_or_default()
}

fn stat_cpu_s(stat: &str) -> f64 {
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let field = |index: usize| after_name.split_whitespace().nth(index).and_then(|v| v.parse::<f64>().ok());
    (field(11).unwrap_or(0.0) + field(12).unwrap_or(0.0)) / TICKS_PER_S
}
