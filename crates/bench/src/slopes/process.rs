//! Reads processor time and memory of a process from `/proc`.

use std::fs;
use std::io;
use std::time::Duration;

/// Clock tick of `/proc/ID/stat`, which is 10 ms on every Linux platform that we build for.
const TICK: Duration = Duration::from_millis(10);

/// Fields of `/proc/ID/stat` between the name of the program and the user time.
const FIELDS_BEFORE_TIMES: usize = 11;

/// Processor time of a process, with a resolution of 10 ms.
///
/// # Errors
///
/// Returns the error of the system when the process has exited.
pub fn processor_time(id: u32) -> io::Result<Duration> {
    let text = fs::read_to_string(format!("/proc/{id}/stat"))?;
    // The name of the program is in parentheses and may contain spaces.
    let fields = text.rsplit(") ").next().unwrap_or_default();
    let times = fields.split_whitespace().skip(FIELDS_BEFORE_TIMES).take(2);
    let ticks: u32 = times.filter_map(|ticks| ticks.parse::<u32>().ok()).sum();
    Ok(TICK * ticks)
}

/// Resident memory of a process, in bytes.
///
/// # Errors
///
/// Returns the error of the system when the process has exited.
pub fn resident_bytes(id: u32) -> io::Result<u64> {
    let text = fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    let kib: u64 = number
        .and_then(|number| number.parse().ok())
        .unwrap_or_default();
    Ok(kib * 1024)
}
