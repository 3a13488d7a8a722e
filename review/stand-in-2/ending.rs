//! Ends the started processes when the script is ended from outside or has taken too long.

use std::sync::atomic::AtomicI32;
use std::sync::atomic::Ordering;

unsafe extern "C" {
    fn signal(number: i32, handler: extern "C" fn(i32)) -> usize;
    fn alarm(seconds: u32) -> u32;
    fn kill(process: i32, number: i32) -> i32;
    fn _exit(code: i32) -> !;
}

const SIGHUP: i32 = 1;
const SIGINT: i32 = 2;
const SIGKILL: i32 = 9;
const SIGALRM: i32 = 14;
const SIGTERM: i32 = 15;

/// A script may run for 120 seconds.
const LONGEST_S: u32 = 115;

/// Ids of the running processes; zero is a free place.
static PROCESSES: [AtomicI32; 64] = [const { AtomicI32::new(0) }; 64];

/// Handles the signals that end the script, and limits its time.
pub fn prepare() {
    for number in [SIGHUP, SIGINT, SIGALRM, SIGTERM] {
        // SAFETY: the handler calls only functions that are safe in a signal handler.
        unsafe { signal(number, end) };
    }
    // SAFETY: has no precondition.
    unsafe { alarm(LONGEST_S) };
}

extern "C" fn end(_: i32) {
    for process in &PROCESSES {
        let id = process.load(Ordering::SeqCst);
        if id > 0 {
            // SAFETY: the process was started here and has not been waited for, so its id is not reused.
            unsafe { kill(id, SIGKILL) };
        }
    }
    // SAFETY: has no precondition.
    unsafe { _exit(2) }
}

/// Records a process that was started.
pub fn add(id: u32) {
    let free = |place: &&AtomicI32| place.compare_exchange(0, id as i32, Ordering::SeqCst, Ordering::SeqCst).is_ok();
    assert!(PROCESSES.iter().find(free).is_some(), "too many processes");
}

/// Removes a process before it is waited for.
pub fn remove(id: u32) {
    for place in &PROCESSES {
        let _ = place.compare_exchange(id as i32, 0, Ordering::SeqCst, Ordering::SeqCst);
    }
}
