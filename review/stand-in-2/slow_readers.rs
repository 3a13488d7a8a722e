//! A crowd of callers downloads at one router, then at another one, and reads very slowly.

use std::fs;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
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

/// `memoryMb` of a router in the settings of the deployment.
const MEMORY_MB: u64 = 160;

/// Routers at which the crowd is, one after the other. The fleet has 20 machines, and a tenth of them are two.
const ATTACKED: usize = 2;

/// Machines with a backend server, and how many of them belong to the service of the downloads.
const SIDE: usize = 15;
const ARCHIVES: usize = 13;

/// Callers of a crowd that are connected at once; a router of 4,100 descriptors takes 1,804.
const CALLERS: usize = 1500;

/// Largest response to a download in the site file.
const RESPONSE_BYTES: usize = 540_000;

/// What a caller reads at once, and how often: 1,000 bytes a second.
const BYTES: usize = 2_500;
const READ_TICKS: usize = 25;
const TICK: Duration = Duration::from_millis(100);

/// New connections of a crowd in a tick.
const OPENED: usize = 16;

/// Time for the crowd at each router.
const CROWD: Duration = Duration::from_secs(48);

/// Delay after which the platform restarts a process.
const RESTART: Duration = Duration::from_secs(1);

/// Ends of a process on one machine that are a fault.
const ENDS: usize = 3;

/// A caller of a crowd.
struct Caller {
    stream: TcpStream,
    /// Ticks since it has sent its request.
    ticks: usize,
    /// Whether it has read the head of its response.
    answered: bool,
}

/// A router with the callers of its crowd.
struct Attack {
    router: SocketAddr,
    callers: Vec<Option<Caller>>,
    /// How often the process has ended, and when the platform restarts it.
    ends: usize,
    restart_at: Option<Instant>,
    highest_kb: u64,
}

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let text = |e: std::io::Error| e.to_string();
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
        let service = if index < SIDE - ARCHIVES { "catalogue" } else { "bookings" };
        let mut machine = fleet.machine(&format!("side-{host}"), host, Some(service)).map_err(text)?;
        machine.memory_mb = MEMORY_MB;
        side.push(machine);
        let target = Target::start(record, &runs, fleet.ip(host), &format!("i-{host}"), service).map_err(text)?;
        target.quiet.store(true, std::sync::atomic::Ordering::Relaxed);
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
    for (machine, number) in side.iter().zip(0..ATTACKED) {
        let id = format!("before-{number}");
        let answer = target::request(record, machine.outbound(), ("GET", "/look/a", &id), "", Duration::from_secs(2));
        if answer.is_err() {
            return Err("the system did not serve in calm".to_owned());
        }
        record.line(&format!("{} uses {} kB", machine.name, memory_kb(machine)));
    }
    let callers = if trouble { CALLERS } else { 0 };
    if trouble {
        record.line(&format!("disruption: {callers} callers at one router at a time download {RESPONSE_BYTES} bytes each and read 1,000 bytes a second"));
    }
    let mut attacks: Vec<Attack> = Vec::new();
    for machine in &side[..ATTACKED] {
        let mut crowd = Vec::new();
        crowd.resize_with(callers, || None);
        let attack = Attack { router: machine.outbound(), callers: crowd, ends: 0, restart_at: None, highest_kb: 0 };
        attacks.push(attack);
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
            if reported.elapsed() > Duration::from_secs(2) {
                reported = Instant::now();
                record.line(&format!("{}: {open} callers read, the process uses {used} kB", machine.name));
            }
            // The platform kills a process that uses more than `memoryMb`, and restarts it after a short delay.
            if used > MEMORY_MB * 1024 || machine.has_ended() {
                record.line(&format!("{}: {open} callers read, the process uses {used} kB, more than {MEMORY_MB} MB: the platform kills it", machine.name));
                machine.kill();
                attack.ends += 1;
                attack.restart_at = Some(Instant::now() + RESTART);
            }
            thread::sleep(TICK.saturating_sub(tick.elapsed()));
        }
        attack.callers.clear();
    }
    for attack in &attacks {
        record.line(&format!("router {}: {} ends, at most {} kB", attack.router, attack.ends, attack.highest_kb));
    }
    Ok(attacks.iter().any(|attack| attack.ends < ENDS))
}

impl Attack {
    /// Opens some of the missing connections and reads a little on each. Returns how many are reading.
    fn step(&mut self, sent: &mut usize) -> usize {
        if self.restart_at.is_some() || self.ends >= ENDS {
            self.callers.iter_mut().for_each(|caller| *caller = None);
            return 0;
        }
        let (mut opened, mut open) = (0, 0);
        let mut bytes = vec![0; BYTES];
        for place in &mut self.callers {
            if place.is_none() && opened < OPENED {
                opened += 1;
                *sent += 1;
                let stream = open_download(self.router, *sent).ok();
                *place = stream.map(|stream| Caller { stream, ticks: 0, answered: false });
            }
            let Some(caller) = place else { continue };
            caller.ticks += 1;
            open += usize::from(caller.answered);
            let length = match (caller.answered, caller.ticks % READ_TICKS) {
                (false, _) => 100,
                (true, 0) => BYTES,
                (true, _) => continue,
            };
            match caller.stream.read(&mut bytes[..length]) {
                // A refused caller leaves, and another one comes.
                Ok(read) if read > 0 && !bytes.starts_with(b"HTTP/1.1 5") => caller.answered = true,
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                _ => *place = None,
            }
        }
        open
    }
}

fn open_download(router: SocketAddr, number: usize) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&router, Duration::from_millis(100))?;
    write!(
        stream,
        "GET /bundle/{number} HTTP/1.1\r\nHost: jepu9.example\r\nShallotrill-Attempt-Id: d{number}\r\nShallotrill-Deadline-Ms: 2000\r\nX-Body-Bytes: {RESPONSE_BYTES}\r\n\r\n"
    )?;
    stream.set_nonblocking(true)?;
    Ok(stream)
}

/// Resident memory of the process of a machine.
fn memory_kb(machine: &Machine) -> u64 {
    let Some(id) = machine.id() else { return 0 };
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().trim_end_matches("kB").trim().parse().ok()).unwrap_or(0)
}
