//! One real process of a run.

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
use crate::plan::Process;
use crate::plan::REGISTRIES;

/// The file that a registry process writes before it takes the place of the earlier one.
const NEW_FILE: &str = "registers.tmp";

/// A process, its files and how it is started.
#[derive(Debug)]
pub struct Program {
    /// Its number.
    pub process: Process,
    binary: PathBuf,
    folder: PathBuf,
    layout: Layout,
    child: Option<Child>,
    starts: u32,
    /// Error of its clock from the next start on.
    pub clock_offset_ms: i64,
    /// Whether the whole system starts for the first time.
    first: bool,
}

impl Program {
    /// Prepares the files of a process in the folder of the run.
    ///
    /// # Errors
    ///
    /// Returns the error of the system.
    pub fn new(binary: &Path, folder: &Path, layout: Layout, process: Process) -> io::Result<Self> {
        let program = Self {
            process,
            binary: binary.to_owned(),
            folder: folder.join(layout::name(process)),
            layout,
            child: None,
            starts: 0,
            clock_offset_ms: 0,
            first: true,
        };
        fs::create_dir_all(program.data())?;
        program.write_settings(&[0, 1, 2])?;
        Ok(program)
    }

    fn data(&self) -> PathBuf {
        self.folder.join("data")
    }

    fn settings(&self) -> PathBuf {
        self.folder.join("settings.json")
    }

    /// The file with everything that the process wrote.
    pub fn log(&self) -> PathBuf {
        self.folder.join("log")
    }

    fn write_settings(&self, seeds: &[Process]) -> io::Result<()> {
        let value = self
            .layout
            .settings(self.process, seeds, self.first, &self.data());
        fs::write(self.settings(), value.to_string())
    }

    /// Starts the process, unless it runs.
    ///
    /// # Errors
    ///
    /// Returns the error of the system.
    pub fn start(&mut self) -> io::Result<()> {
        if self.child.is_some() {
            return Ok(());
        }
        self.starts += 1;
        let log = File::options().create(true).append(true).open(self.log())?;
        let offset = format!("--clock-offset-ms={}", self.clock_offset_ms);
        let child = Command::new(&self.binary)
            .arg("platform")
            .arg(format!(
                "--advertise={}",
                self.layout.reachable(self.process)
            ))
            .arg(offset)
            .env_clear()
            .env("SHALLOTRILL_NODE_FILE", self.settings())
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
            // A process that has just ended cannot be signalled, and needs no signal.
            let _ = rustix::process::kill_process(pid, signal);
        }
    }

    /// Suspends it.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets it go on.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Ends it at once.
    ///
    /// # Errors
    ///
    /// Returns the error of the system.
    pub fn kill(&mut self) -> io::Result<()> {
        if let Some(mut child) = self.child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Asks it to stop.
    pub fn ask_to_stop(&self) {
        self.signal(Signal::TERM);
    }

    /// Number of its starts.
    pub const fn starts(&self) -> u32 {
        self.starts
    }

    /// Whether it does not run.
    ///
    /// # Errors
    ///
    /// Returns the error of the system.
    pub fn has_ended(&mut self) -> io::Result<bool> {
        let Some(child) = &mut self.child else {
            return Ok(true);
        };
        let ended = child.try_wait()?.is_some();
        if ended {
            self.child = None;
        }
        Ok(ended)
    }

    /// The status of a process that ended without being asked.
    ///
    /// # Errors
    ///
    /// Returns the error of the system.
    pub fn ended_by_itself(&mut self) -> io::Result<Option<ExitStatus>> {
        match &mut self.child {
            Some(child) => child.try_wait(),
            None => Ok(None),
        }
    }

    /// Gives it other seeds, and tells it so or not.
    ///
    /// # Errors
    ///
    /// Returns the error of the system.
    pub fn reseed(&mut self, tell: bool) -> io::Result<()> {
        let turned = self.process % REGISTRIES;
        let seeds = [3, 4, 0].map(|seed| (seed + turned) % REGISTRIES);
        self.write_settings(&seeds)?;
        if tell {
            self.signal(Signal::HUP);
        }
        Ok(())
    }

    /// From now on the system has started before, so an empty disk has forgotten something.
    ///
    /// # Errors
    ///
    /// Returns the error of the system.
    pub fn has_started(&mut self) -> io::Result<()> {
        self.first = false;
        self.write_settings(&[0, 1, 2])
    }

    /// Empties the disk of a process that does not run.
    ///
    /// # Errors
    ///
    /// Returns the error of the system.
    pub fn lose_disk(&self) -> io::Result<()> {
        fs::remove_dir_all(self.data())?;
        fs::create_dir_all(self.data())
    }

    /// Makes the disk refuse the next writes, or take them again.
    ///
    /// The process writes a new file and renames it; a folder at the place of the new file refuses that.
    ///
    /// # Errors
    ///
    /// Returns the error of the system.
    pub fn refuse_writes(&self, refuse: bool) -> io::Result<()> {
        let place = self.data().join(NEW_FILE);
        match (refuse, place.is_dir()) {
            (true, false) if !place.exists() => fs::create_dir(place),
            (false, true) => fs::remove_dir(place),
            _ => Ok(()),
        }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        // Nothing can be reported here, and a process that is gone needs no end.
        drop(self.kill());
    }
}
