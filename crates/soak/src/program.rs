//! A process of the program under test.

use std::fs;
use std::fs::File;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;

use rustix::process::Pid;
use rustix::process::Signal;

use crate::layout;
use crate::layout::Layout;
use crate::plan::ProcessIndex;
use crate::plan::REGISTRIES;

/// The temporary file that a registry process writes and then renames over the previous file.
const TEMPORARY_FILE: &str = "registers.tmp";

/// A process of a run with its files and start options.
#[derive(Debug)]
pub struct Program {
    /// Index of the process.
    pub process: ProcessIndex,
    binary: PathBuf,
    folder: PathBuf,
    layout: Layout,
    child: Option<Child>,
    start_count: u32,
    /// Offset of its clock, in effect from the next start.
    pub clock_offset_ms: i64,
    /// Whether the whole system has not started before; see [`Program::mark_started`].
    first_start: bool,
}

impl Program {
    /// Creates the files of a process in the folder of the run, without starting it.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn new(
        binary: &Path,
        folder: &Path,
        layout: Layout,
        process: ProcessIndex,
    ) -> io::Result<Self> {
        let program = Self {
            process,
            binary: binary.to_owned(),
            folder: folder.join(layout::name(process)),
            layout,
            child: None,
            start_count: 0,
            clock_offset_ms: 0,
            first_start: true,
        };
        fs::create_dir_all(program.data_folder())?;
        program.write_settings(&[0, 1, 2])?;
        Ok(program)
    }

    fn data_folder(&self) -> PathBuf {
        self.folder.join("data")
    }

    fn settings_path(&self) -> PathBuf {
        self.folder.join("settings.json")
    }

    /// Path of the file that receives standard output and standard error of the process.
    pub fn log(&self) -> PathBuf {
        self.folder.join("log")
    }

    fn write_settings(&self, seeds: &[ProcessIndex]) -> io::Result<()> {
        let value =
            self.layout
                .settings(self.process, seeds, self.first_start, &self.data_folder());
        fs::write(self.settings_path(), value.to_string())
    }

    /// Starts the process unless it is already running.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn start(&mut self) -> io::Result<()> {
        if self.child.is_some() {
            return Ok(());
        }
        self.start_count += 1;
        let log = File::options().create(true).append(true).open(self.log())?;
        let offset = format!("--clock-offset-ms={}", self.clock_offset_ms);
        let child = Command::new(&self.binary)
            .arg("platform")
            .arg(format!(
                "--advertise={}",
                self.layout.forwarder_ip(self.process)
            ))
            .arg(offset)
            .env_clear()
            .env("SHALLOTRILL_NODE_FILE", self.settings_path())
            .env("RUST_BACKTRACE", "1")
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    fn signal(&self, signal: Signal) {
        let Some(child) = &self.child else { return };
        if let Ok(id) = i32::try_from(child.id())
            && let Some(pid) = Pid::from_raw(id)
        {
            // Fails only when the process has already exited, and then no signal is needed.
            let _ = rustix::process::kill_process(pid, signal);
        }
    }

    /// Suspends the process.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes the suspended process.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Kills the process and waits for its exit.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn kill(&mut self) -> io::Result<()> {
        if let Some(mut child) = self.child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Requests a graceful stop.
    pub fn request_stop(&self) {
        self.signal(Signal::TERM);
    }

    /// How often the process was started.
    pub const fn start_count(&self) -> u32 {
        self.start_count
    }

    /// Whether the process is not running.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn has_exited(&mut self) -> io::Result<bool> {
        let Some(child) = &mut self.child else {
            return Ok(true);
        };
        let exited = child.try_wait()?.is_some();
        if exited {
            self.child = None;
        }
        Ok(exited)
    }

    /// Returns the exit status if the process exited without being stopped or killed.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn unexpected_exit(&mut self) -> io::Result<Option<ExitStatus>> {
        match &mut self.child {
            Some(child) => child.try_wait(),
            None => Ok(None),
        }
    }

    /// Replaces the seed addresses in the settings file; with `signal`, also requests a reload.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn set_seeds(&mut self, signal: bool) -> io::Result<()> {
        let rotation = self.process % REGISTRIES;
        let seeds = [3, 4, 0].map(|seed| (seed + rotation) % REGISTRIES);
        self.write_settings(&seeds)?;
        if signal {
            self.signal(Signal::HUP);
        }
        Ok(())
    }

    /// Records that the system has started once: from now on an empty disk means lost data, not a first start.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn mark_started(&mut self) -> io::Result<()> {
        self.first_start = false;
        self.write_settings(&[0, 1, 2])
    }

    /// Deletes the data of a process that is not running.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn erase_disk(&self) -> io::Result<()> {
        fs::remove_dir_all(self.data_folder())?;
        fs::create_dir_all(self.data_folder())
    }

    /// Makes the disk refuse writes, or accept them again.
    ///
    /// The process writes a temporary file and renames it. A folder with the name of the temporary file makes that fail.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn refuse_writes(&self, refuse: bool) -> io::Result<()> {
        let path = self.data_folder().join(TEMPORARY_FILE);
        match (refuse, path.is_dir()) {
            (true, false) if !path.exists() => fs::create_dir(path),
            (false, true) => fs::remove_dir(path),
            _ => Ok(()),
        }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        // Errors cannot be reported here, and a process that has exited need not be killed.
        drop(self.kill());
    }
}
