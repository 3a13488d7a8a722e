//! Reads the processor time of a process from `/proc`.

use std::fs;
use std::io;
use std::time::Duration;

/// Processor time that a process has used, in user and system mode.
///
/// # Errors
///
/// Returns the error of the system when the process has exited, or an error of kind `Other` when a field is not a number.
pub fn processor_time(id: u32) -> io::Result<Duration> {
    let text = fs::read_to_string(format!("/proc/{id}/stat"))?;
    // The name of the program, which may contain spaces, ends with the last parenthesis.
    let fields = text.rsplit_once(')').map_or("", |(_, fields)| fields);
    let ticks: u64 = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .map(|field| field.parse::<u64>().map_err(io::Error::other))
        .sum::<io::Result<u64>>()?;
    let per_second = rustix::param::clock_ticks_per_second();
    Ok(Duration::from_secs_f64(ticks as f64 / per_second as f64))
}
