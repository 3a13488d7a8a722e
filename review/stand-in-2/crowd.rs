//! A crowd of callers that misbehave at one router, then at another one.

use std::fs;
use std::io;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Outcome;
use crate::fleet;
use crate::fleet::Fleet;
use crate::fleet::Machine;
use crate::fleet::Operator;
use crate::fleet::Record;
use crate::target;
use crate::target::Runs;
use crate::target::Target;

/// `memoryMb` of a router in the settings of the deployments with 160 MB.
const MEMORY_MB: u64 = 160;

/// Routers at which the crowd is, one after the other. The fleet has 20 machines, and a tenth of them are two.
const ATTACKED: usize = 2;

/// Machines with a backend server, and how many of them belong to the service that the crowd calls.
const SIDE: usize = 15;
const CALLED: usize = 13;

const TICK: Duration = Duration::from_millis(100);

/// Time for the crowd at each router.
const CROWD: Duration = Duration::from_secs(48);

/// Delay after which the platform restarts a process.
const RESTART: Duration = Duration::from_secs(1);

/// Ends of a process on one machine that are a fault.
const ENDS: usize = 3;

/// What the callers of a crowd do.
#[derive(Clone, Copy)]
pub enum Conduct {
    /// They send a body in one piece but for its last byte, and stay.
    StopShort,
    /// They download and read slowly.
    ReadSlowly,
}

/// Length of the bodies that stop short.
const BODY_BYTES: usize = 36_000;

/// Largest response to a download in the site file.
const RESPONSE_BYTES: usize = 540_000;

/// What a slow reader reads at once, and how often: 1,000 bytes a second.
const READ_BYTES: usize = 2_500;
const READ_TICKS: usize = 25;

impl Conduct {
    /// Callers that are connected at once; a router of 4,100 descriptors takes 1,804.
    const fn callers(self) -> usize {
        match self {
            Self::StopShort => 1_700,
            Self::ReadSlowly => 1_500,
        }
    }

    /// New connections in a tick.
    const fn opened(self) -> usize {
        match self {
            Self::StopShort => 200,
            Self::ReadSlowly => 25,
        }
    }

    /// Time limit that each of them states.
    const fn time_limit_ms(self) -> u32 {
        match self {
            Self::StopShort => 2_000,
            Self::ReadSlowly => 1_000,
        }
    }

    fn describe(self) -> String {
        match self {
            Self::StopShort => format!("each send {} of {BODY_BYTES} bytes of a body and stay", BODY_BYTES - 1),
            Self::ReadSlowly => format!("download {RESPONSE_BYTES} bytes each and read 1,000 bytes a second"),
        }
    }

    fn request(self, number: usize) -> Vec<u8> {
        let head = |method: &str, path: &str, fields: &str| {
            format!("{method} {path}{number} HTTP/1.1\r\nHost: jepu9.example\r\nShallotrill-Attempt-Id: c{number}\r\nShallotrill-Deadline-Ms: {}\r\n{fields}\r\n", self.time_limit_ms()).into_bytes()
        };
        match self {
            Self::StopShort => {
                let mut bytes = head("POST", "/order/", &format!("Content-Length: {BODY_BYTES}\r\n"));
                bytes.resize(bytes.len() + BODY_BYTES - 1, b'x');
                bytes
            }
            Self::ReadSlowly => head("GET", "/bundle/", &format!("X-Body-Bytes: {RESPONSE_BYTES}\r\n")),
        }
    }
}

/// A caller of a crowd.
struct Caller {
    stream: TcpStream,
    /// Bytes that are still to be sent.
    unsent: Vec<u8>,
    ticks: usize,
    /// Whether it has read the begin of a response.
    answered: bool,
}

impl Caller {
    fn connect(router: SocketAddr, request: Vec<u8>) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&router, Duration::from_millis(100))?;
        stream.set_nonblocking(true)?;
        Ok(Self { stream, unsent: request, ticks: 0, answered: false })
    }

    /// Sends and reads what is due. An error means that the caller leaves.
    fn step(&mut self, conduct: Conduct, buffer: &mut [u8]) -> io::Result<()> {
        let blocked = |error: io::Error| if error.kind() == ErrorKind::WouldBlock { Ok(0) } else { Err(error) };
        while !self.unsent.is_empty() {
            let written = self.stream.write(&self.unsent).or_else(blocked)?;
            if written == 0 {
                return Ok(());
            }
            self.unsent.drain(..written);
        }
        self.ticks += 1;
        let length = match (self.answered, self.ticks % READ_TICKS) {
            (false, _) => 100,
            (true, 0) => READ_BYTES,
            (true, _) => return Ok(()),
        };
        match self.stream.read(&mut buffer[..length]) {
            Ok(read) => {
                let refused = !self.answered && !buffer.starts_with(b"HTTP/1.1 2");
                if read == 0 || refused || matches!(conduct, Conduct::StopShort) {
                    return Err(ErrorKind::ConnectionReset.into());
                }
                self.answered = true;
                Ok(())
            }
            Err(error) => blocked(error).map(|_| ()),
        }
    }
}

/// A router with the callers of the crowd.
struct Attack {
    router: SocketAddr,
    conduct: Conduct,
    callers: Vec<Option<Caller>>,
    /// How often the process has ended, and when the platform restarts it.
    ends: usize,
    restart_at: Option<Instant>,
    highest_kb: u64,
}

impl Attack {
    /// Replaces some of the callers that have left, and lets all of them send and read. Returns how many are there.
    fn step(&mut self, sent: &mut usize) -> usize {
        if self.restart_at.is_some() {
            self.callers.iter_mut().for_each(|caller| *caller = None);
            return 0;
        }
        let (mut opened, mut open) = (0, 0);
        let mut buffer = vec![0; READ_BYTES];
        for place in &mut self.callers {
            if place.is_none() && opened < self.conduct.opened() {
                opened += 1;
                *sent += 1;
                *place = Caller::connect(self.router, self.conduct.request(*sent)).ok();
            }
            let Some(caller) = place else { continue };
            if caller.step(self.conduct, &mut buffer).is_ok() {
                open += 1;
            } else {
                *place = None;
            }
        }
        open
    }
}

pub fn run(record: &Record, conduct: Conduct, trouble: bool) -> Outcome {
    let text = |e: io::Error| e.to_string();
    let fleet = Fleet::new(record.clone()).map_err(text)?;
    let operator = Operator { record: record.clone() };
    let runs: Runs = Arc::new(Mutex::new(Vec::new()));
    let mut core: Vec<Machine> = Vec::new();
    for host in 1..=5 {
        core.push(fleet.machine(&format!("core-{host}"), host, None).map_err(text)?);
    }
    let mut side: Vec<Machine> = Vec::new();
    for index in 0..SIDE {
        let host = 11 + index as u8;
        let service = if index < SIDE - CALLED { "catalogue" } else { "bookings" };
        let mut machine = fleet.machine(&format!("side-{host}"), host, Some(service)).map_err(text)?;
        machine.memory_mb = MEMORY_MB;
        side.push(machine);
        let target = Target::start(record, &runs, fleet.ip(host), &format!("i-{host}"), service).map_err(text)?;
        target.quiet.store(true, Ordering::Relaxed);
    }
    for machine in core.iter_mut().chain(&mut side) {
        machine.start().map_err(text)?;
    }
    let all: Vec<SocketAddr> = core.iter().map(Machine::admin).collect();
    thread::sleep(Duration::from_secs(1));
    for body in [
        fleet::first_config(7),
        fleet::patch(&[fleet::route("r-bundle", "/bundle/", "download", "bookings", 8, 2.0)]),
    ] {
        let answer = operator.order(&all, "POST", "/api/Config.Patch", &body, Duration::from_secs(10));
        if answer.is_none_or(|answer| answer.status != 200) {
            return Err("the config was not accepted".to_owned());
        }
    }
    thread::sleep(Duration::from_secs(4));
    let mut attacks: Vec<Attack> = Vec::new();
    for (number, machine) in side[..ATTACKED].iter().enumerate() {
        let id = format!("before-{number}");
        let answer = target::request(record, machine.outbound(), ("GET", "/look/a", &id), "", Duration::from_secs(2));
        if answer.is_err() {
            return Err("the system did not serve in calm".to_owned());
        }
        record.line(&format!("{} uses {} kB", machine.name, memory_kb(machine)));
        let mut callers = Vec::new();
        callers.resize_with(if trouble { conduct.callers() } else { 0 }, || None);
        attacks.push(Attack { router: machine.outbound(), conduct, callers, ends: 0, restart_at: None, highest_kb: 0 });
    }
    if trouble {
        record.line(&format!("disruption: {} callers at one router at a time {}", conduct.callers(), conduct.describe()));
    }
    let length = if trouble { CROWD } else { Duration::from_secs(5) };
    let mut sent = 0;
    for (attack, machine) in attacks.iter_mut().zip(&mut side) {
        let started = Instant::now();
        let mut reported = Instant::now();
        while started.elapsed() < length && attack.ends < ENDS {
            let tick = Instant::now();
            if attack.restart_at.is_some_and(|at| tick >= at) {
                attack.restart_at = None;
                machine.start().map_err(text)?;
            }
            let open = attack.step(&mut sent);
            let used = memory_kb(machine);
            attack.highest_kb = attack.highest_kb.max(used);
            if reported.elapsed() > Duration::from_secs(1) {
                reported = Instant::now();
                record.line(&format!("{}: {open} callers are there, the process uses {used} kB", machine.name));
            }
            // The platform kills a process that uses more than `memoryMb`, and restarts it after a short delay.
            if used > MEMORY_MB * 1024 || machine.has_ended() {
                record.line(&format!("{}: {open} callers are there, the process uses {used} kB, more than {MEMORY_MB} MB: the platform kills it", machine.name));
                machine.kill();
                attack.ends += 1;
                attack.restart_at = Some(Instant::now() + RESTART);
            }
            thread::sleep(TICK.saturating_sub(tick.elapsed()));
        }
        attack.callers.clear();
    }
    for (attack, machine) in attacks.iter().zip(&side) {
        record.line(&format!("{}: {} ends, at most {} kB", machine.name, attack.ends, attack.highest_kb));
    }
    Ok(attacks.iter().any(|attack| attack.ends < ENDS))
}

/// Resident memory of the process of a machine.
fn memory_kb(machine: &Machine) -> u64 {
    let Some(id) = machine.id() else { return 0 };
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().trim_end_matches("kB").trim().parse().ok()).unwrap_or(0)
}
