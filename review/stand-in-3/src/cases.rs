//! The cases. Each returns whether the rule was broken, or `None` if the case could not run.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::network::Network;
use crate::world;
use crate::world::ADMIN_PORT;
use crate::world::Life;
use crate::world::Process;
use crate::world::Run;
use crate::world::World;

/// Time in which a start, a repair or a change has to be seen.
const PATIENCE: Duration = Duration::from_secs(12);

/// `configApplyS`, in seconds.
const CONFIG_APPLY_S: f64 = 2.0;

/// `drainS`, in seconds.
const DRAIN_S: f64 = 2.0;

/// Addresses of the first routers; registries are below.
const ROUTERS: u8 = 21;

/// A deployment of five registries and two routers for each of two services.
struct Deployment {
    world: Arc<World>,
    registries: Vec<Process>,
    routers: Vec<Process>,
    lives: Vec<Arc<Life>>,
    runs: Arc<Mutex<Vec<Run>>>,
}

impl Deployment {
    /// Starts all machines, and the targets except those that the case starts itself.
    fn start(world: &Arc<World>, own_targets: &[u8]) -> Option<Self> {
        Self::start_with(world, own_targets, 4)
    }

    /// Starts a deployment with this number of routers.
    fn start_with(world: &Arc<World>, own_targets: &[u8], routers: u8) -> Option<Self> {
        Self::start_then(world, own_targets, routers, |_| {})
    }

    /// Starts a deployment, and calls a function for each process that was started.
    fn start_then(
        world: &Arc<World>,
        own_targets: &[u8],
        routers: u8,
        started: impl Fn(&Process),
    ) -> Option<Self> {
        let last = ROUTERS + routers;
        let seeds = [1, 2, 3];
        let mut registries: Vec<Process> = (1..=5)
            .map(|index| Process::registry(world, index, true, &seeds))
            .collect();
        let mut routers: Vec<Process> = (ROUTERS..last)
            .map(|index| Process::router(world, index, service_of(index), &seeds))
            .collect();
        registries.iter_mut().for_each(Process::start);
        routers.iter_mut().for_each(Process::start);
        registries.iter().chain(&routers).for_each(started);
        let runs = Arc::new(Mutex::new(Vec::new()));
        let others = (ROUTERS..last).filter(|index| !own_targets.contains(index));
        let lives = others
            .map(|index| {
                let id = format!("i-{index:08x}");
                let born = world::wall_ms();
                Life::start(world, index, &id, service_of(index), 1, born, &runs)
            })
            .collect();
        let deployment = Self {
            world: Arc::clone(world),
            registries,
            routers,
            lives,
            runs,
        };
        let first = world::upsert(&[
            world::service("portal", 1),
            world::service("ledger", 1),
            world::limits(1),
            world::route("r-portal", 1, "/portal/", "safe", "portal"),
            world::route("r-ledger", 1, "/ledger/", "unsafe", "ledger"),
        ]);
        thread::sleep(Duration::from_secs(1));
        if world::change(world, &[1, 2, 3], &first, PATIENCE) != Some(200) {
            return None;
        }
        let served = deployment.wait_for_service();
        // After a start, the leases and votes of all machines are known.
        thread::sleep(Duration::from_secs(2));
        served.then_some(deployment)
    }

    fn wait_for_service(&self) -> bool {
        world::wait_until(
            &self.world,
            "all routes are served everywhere",
            PATIENCE,
            || {
                self.routers.iter().all(|router| {
                    let portal = world::ask(&self.world, router.index, "GET", "/portal/ready", "");
                    let ledger = world::ask(&self.world, router.index, "POST", "/ledger/ready", "");
                    portal.1 == Some(200) && ledger.1 == Some(200)
                })
            },
        )
    }

    /// All runs of a request.
    fn runs_of(&self, id: &str) -> Vec<Run> {
        let runs = self.runs.lock().expect("no thread panics with the runs");
        runs.iter().filter(|run| run.id == id).cloned().collect()
    }

    fn end(&mut self) {
        for life in &self.lives {
            life.crash();
        }
        self.routers.iter_mut().for_each(Process::kill);
        self.registries.iter_mut().for_each(Process::kill);
    }
}

fn service_of(router: u8) -> &'static str {
    if router < ROUTERS + 2 || (ROUTERS + 4..ROUTERS + 6).contains(&router) {
        "portal"
    } else {
        "ledger"
    }
}

/// The seeds are exchanged and their machines removed one by one; later all registries are down for 32 s at once.
pub fn orphan(world: &Arc<World>, trouble: bool) -> Option<bool> {
    let mut deployment = Deployment::start(world, &[])?;
    // Planned work: each of the first three core machines is replaced by an empty one at another address.
    for new in 6..=8 {
        let mut registry = Process::registry(world, new, false, &[4, 5, new - 5]);
        registry.start();
        deployment.registries.push(registry);
        deployment.registries[0].kill();
        drop(deployment.registries.remove(0));
        let knows = world::wait_until(world, "the new core machine answers", PATIENCE, || {
            let answer = world::get(world.address(new, ADMIN_PORT), "/api/Config.Get");
            answer.is_ok_and(|answer| answer.status == 200)
        });
        if !knows {
            return None;
        }
        // `catchUpS`.
        thread::sleep(Duration::from_secs(4));
    }
    // The settings of all machines name seeds that run, and SIGHUP says so.
    let seeds = [4, 6, 8];
    let processes = deployment.registries.iter().chain(&deployment.routers);
    for process in processes {
        process.write_settings(false, &seeds);
        process.signal(world::SIGHUP);
    }
    world.record("platform names other seeds in all settings and sends SIGHUP");
    thread::sleep(Duration::from_secs(6));
    if !deployment.wait_for_service() {
        return None;
    }
    if trouble {
        deployment.registries.iter_mut().for_each(Process::kill);
    }
    thread::sleep(Duration::from_secs(32));
    if trouble {
        deployment.registries.iter_mut().for_each(Process::start);
    }
    let nodes = [4, 5, 6, 7, 8];
    let knows = world::wait_until(world, "all core machines answer", PATIENCE, || {
        nodes.iter().all(|node| {
            let answer = world::get(world.address(*node, ADMIN_PORT), "/api/Config.Get");
            answer.is_ok_and(|answer| answer.status == 200)
        })
    });
    if !knows {
        return None;
    }
    // `recoveryS` after all are back, and long after `stabilityWindowS`.
    thread::sleep(Duration::from_secs(16));
    let moved = world::upsert(&[
        world::route("r-portal", 2, "/portal/", "safe", "ledger"),
        world::route("r-new", 2, "/new/", "safe", "portal"),
    ]);
    if world::change(world, &nodes, &moved, PATIENCE) != Some(200) {
        return None;
    }
    thread::sleep(Duration::from_secs_f64(CONFIG_APPLY_S + 2.0));
    let mut stale = 0;
    for router in ROUTERS..ROUTERS + 4 {
        for _ in 0..3 {
            let (id, _) = world::ask(world, router, "GET", "/portal/after", "");
            stale += deployment
                .runs_of(&id)
                .iter()
                .filter(|run| service_of(run.target) == "portal")
                .count();
            let (_, status) = world::ask(world, router, "GET", "/new/after", "");
            stale += usize::from(status == Some(404));
        }
    }
    world.record(&format!(
        "{stale} of 24 requests were handled as only the older version allows"
    ));
    deployment.end();
    Some(stale > 0)
}

/// A target starts while the time of day is ahead, crashes, and starts again under its id after the clock is back.
pub fn born(world: &Arc<World>, trouble: bool) -> Option<bool> {
    /// Jump of the time of day, in milliseconds.
    const STEP_MS: u64 = 4_000;
    let index = ROUTERS;
    let mut deployment = Deployment::start(world, &[index])?;
    let id = "i-7f3a91c2";
    let ahead = if trouble { STEP_MS } else { 0 };
    if trouble {
        world.record("the time of day of the machine jumps 4 s ahead");
    }
    let runs = Arc::clone(&deployment.runs);
    let start =
        |number, born| Life::start(world, index, id, service_of(index), number, born, &runs);
    let first = start(1, world::wall_ms() + ahead);
    let runs_of_life = |life: u64| {
        let runs = runs.lock().expect("no thread panics with the runs");
        runs.iter()
            .filter(|run| run.target == index && run.life == life)
            .count()
    };
    let ask = || world::ask(world, index, "GET", "/portal/work", "");
    let served = world::wait_until(world, "the first life runs requests", PATIENCE, || {
        ask();
        runs_of_life(1) > 0
    });
    if !served {
        return None;
    }
    first.crash();
    if trouble {
        world.record("the time of day of the machine jumps back");
    }
    thread::sleep(Duration::from_millis(1_000));
    let second = start(2, world::wall_ms());
    let served = world::wait_until(world, "the second life runs requests", PATIENCE, || {
        (0..10).for_each(|_| drop(ask()));
        runs_of_life(2) > 0
    });
    if !served {
        return None;
    }
    thread::sleep(Duration::from_secs(4));
    let acknowledged = second.drain(Duration::from_secs(8))?;
    let mut late = 0;
    while world.now() < acknowledged + DRAIN_S + 6.0 {
        let (request, _) = ask();
        let runs = deployment.runs_of(&request);
        let after = runs
            .iter()
            .filter(|run| run.target == index && run.life == 2 && run.at > acknowledged + DRAIN_S);
        late += after.count();
        thread::sleep(Duration::from_millis(50));
    }
    world.record(&format!(
        "{late} requests reached the target later than drainS after its draining was acknowledged"
    ));
    second.crash();
    deployment.end();
    Some(late > 0)
}

/// After many lifetimes a target deregisters; its router is killed, and a check-in from before arrives late.
pub fn history(world: &Arc<World>, trouble: bool) -> Option<bool> {
    /// Earlier lifetimes of the target at this machine.
    const LIVES: u64 = 40;
    let index = ROUTERS;
    let mut deployment = Deployment::start(world, &[index])?;
    let runs = Arc::clone(&deployment.runs);
    // Ids as the bench draws them: ten hexadecimal digits.
    let mut state: u64 = 0x9e37_79b9_7f4a_7c15;
    let mut draw = || {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        format!("i-{:010x}", state & 0xff_ffff_ffff)
    };
    let start = |id: &str, number| {
        let born = world::wall_ms();
        Life::start(world, index, id, service_of(index), number, born, &runs)
    };
    for number in 1..=LIVES {
        let life = start(&draw(), number);
        thread::sleep(Duration::from_millis(150));
        life.deregister(Duration::from_secs(5))?;
        life.crash();
    }
    let last = start(&draw(), LIVES + 1);
    let ran = |id: &str| {
        let runs = runs.lock().expect("no thread panics with the runs");
        let mut found = runs.iter().filter(|run| run.id == id);
        found.find(|run| run.life == LIVES + 1).cloned()
    };
    let served = world::wait_until(world, "the last life runs requests", PATIENCE, || {
        let (id, _) = world::ask(world, index, "GET", "/portal/work", "");
        ran(&id).is_some()
    });
    if !served {
        return None;
    }
    thread::sleep(Duration::from_secs(4));
    let late_check_in = last.check_in();
    world.record(&format!(
        "target {} sends a check-in that is delayed",
        last.id
    ));
    let acknowledged = last.deregister(Duration::from_secs(5))?;
    if trouble {
        deployment.routers[0].kill();
        thread::sleep(Duration::from_millis(500));
        deployment.routers[0].start();
    }
    let started = world.now();
    thread::sleep(Duration::from_millis(2_500));
    let answered = last.send_check_in(&late_check_in);
    world.record(&format!(
        "the delayed check-in arrives, answered with 200: {answered}"
    ));
    // `stabilityWindowS` after its start, the machine is in touch again.
    let in_touch = started + 3.5;
    let mut late = 0;
    while world.now() < acknowledged + 12.0 {
        for machine in ROUTERS..ROUTERS + 4 {
            let sent = world.now();
            let (id, _) = world::ask(world, machine, "GET", "/portal/work", "");
            let is_late = |run: &Run| run.at > acknowledged + DRAIN_S && sent > in_touch;
            late += usize::from(ran(&id).is_some_and(|run| is_late(&run)));
        }
        thread::sleep(Duration::from_millis(50));
    }
    world.record(&format!(
        "{late} requests reached the target later than drainS after its deregistration was acknowledged, by machines in touch"
    ));
    last.crash();
    deployment.end();
    Some(late > 0)
}

/// A request that crashes its targets comes again after all routers were stopped and started in turn.
pub fn crash(world: &Arc<World>, trouble: bool) -> Option<bool> {
    /// Time between the stops of two machines, and the longest time that one takes.
    const GAP: Duration = Duration::from_millis(1_300);
    const STOP_MAX: Duration = Duration::from_secs(6);
    /// `stabilityWindowS`, in seconds.
    const STABILITY_WINDOW_S: f64 = 3.0;
    let portals = [21, 22, 25, 26];
    let caller = 24;
    let mut deployment = Deployment::start_with(world, &[], 6)?;
    let keepers = Keepers::start(&deployment, &portals);
    thread::sleep(Duration::from_secs(2));
    let mut crashes: Vec<f64> = Vec::new();
    let mut retries = 0;
    for round in 0..6 {
        if round > 0 && trouble {
            for index in 0..deployment.routers.len() {
                deployment.routers[index].signal(world::SIGTERM);
                world.record(&format!(
                    "platform stops {}",
                    deployment.routers[index].name
                ));
                thread::sleep(GAP);
                deployment.routers.iter_mut().for_each(restart_ended);
            }
            world::wait_until(world, "all routers have started again", STOP_MAX, || {
                deployment.routers.iter_mut().for_each(restart_ended);
                deployment
                    .routers
                    .iter_mut()
                    .all(|router| !router.has_ended() && router.is_ready())
            });
            // The machines are in touch again after `stabilityWindowS`.
            thread::sleep(Duration::from_secs_f64(STABILITY_WINDOW_S + 0.2));
        } else if round > 0 {
            thread::sleep(Duration::from_secs(8));
        }
        // At first it comes twice at once, afterwards once.
        let copies = if round == 0 { 2 } else { 1 };
        let clients: Vec<_> = (0..copies)
            .map(|copy| {
                let (world, machine) = (Arc::clone(world), caller - copy);
                thread::spawn(move || {
                    let at = world.now();
                    (
                        at,
                        world::ask(&world, machine, "GET", "/portal/crash", "").0,
                    )
                })
            })
            .collect();
        for client in clients {
            let (sent, id) = client.join().ok()?;
            let runs = deployment.runs_of(&id);
            if crashes.len() >= 3 && sent > crashes[2] + STABILITY_WINDOW_S && !runs.is_empty() {
                retries += 1;
            }
            crashes.extend(runs.iter().map(|run| run.at));
        }
        crashes.sort_by(f64::total_cmp);
        world.record(&format!(
            "{} targets have crashed, {retries} retries have reached some later than stabilityWindowS after the third",
            crashes.len()
        ));
        thread::sleep(Duration::from_millis(2_500));
    }
    keepers.end();
    deployment.end();
    Some(retries > 3)
}

/// Threads that start targets again after they have crashed.
struct Keepers {
    ended: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Keepers {
    fn start(deployment: &Deployment, machines: &[u8]) -> Self {
        let ended = Arc::new(AtomicBool::new(false));
        let keep = |machine: &u8| {
            let (world, runs) = (Arc::clone(&deployment.world), Arc::clone(&deployment.runs));
            let (machine, ended) = (*machine, Arc::clone(&ended));
            let mut lives = deployment.lives.iter();
            let life = lives.find(|life| life.index == machine).map(Arc::clone);
            thread::spawn(move || {
                let Some(mut life) = life else { return };
                let mut number = 1;
                while !ended.load(Ordering::Relaxed) {
                    if !life.has_ended() {
                        thread::sleep(Duration::from_millis(20));
                        continue;
                    }
                    // The target is back after some seconds.
                    thread::sleep(Duration::from_secs(2));
                    number += 1;
                    let id = format!("i-{machine:05x}{number:05x}");
                    let (service, born) = (service_of(machine), world::wall_ms());
                    life = Life::start(&world, machine, &id, service, number, born, &runs);
                }
                life.crash();
            })
        };
        let threads = machines.iter().map(keep).collect();
        Self { ended, threads }
    }

    fn end(self) {
        self.ended.store(true, Ordering::Relaxed);
        for thread in self.threads {
            drop(thread.join());
        }
    }
}

/// A request that crashes its targets in the middle of their answers comes again and again.
pub fn midway(world: &Arc<World>, trouble: bool) -> Option<bool> {
    /// `stabilityWindowS`, in seconds.
    const STABILITY_WINDOW_S: f64 = 3.0;
    let portals = [21, 22, 25, 26];
    let mut deployment = Deployment::start_with(world, &[], 6)?;
    let keepers = Keepers::start(&deployment, &portals);
    let orders = world::upsert(&[world::route("r-order", 2, "/order/", "unsafe", "portal")]);
    if world::change(world, &[1, 2, 3], &orders, PATIENCE) != Some(200) {
        return None;
    }
    thread::sleep(Duration::from_secs(2));
    let path = if trouble {
        "/portal/midway"
    } else {
        "/portal/calm"
    };
    let mut lost = 0;
    let mut reached: Vec<f64> = Vec::new();
    let mut retries = 0;
    for round in 0..10 {
        // Orders of others, which are at work at the targets.
        let orders: Vec<_> = (0..8)
            .map(|number| {
                let world = Arc::clone(world);
                let machine = ROUTERS + number % 4;
                let path = format!("/order/slow/{round}/{number}");
                thread::spawn(move || world::ask(&world, machine, "POST", &path, ""))
            })
            .collect();
        thread::sleep(Duration::from_millis(100));
        let sent = world.now();
        let (id, _) = world::ask(world, 24, "GET", path, "");
        let runs = deployment.runs_of(&id);
        if trouble {
            let is_late = reached
                .get(2)
                .is_some_and(|third| sent > third + STABILITY_WINDOW_S);
            retries += usize::from(is_late && !runs.is_empty());
            reached.extend(runs.iter().map(|run| run.at));
            reached.sort_by(f64::total_cmp);
        }
        for order in orders {
            let (id, status) = order.join().ok()?;
            let ran = !deployment.runs_of(&id).is_empty();
            lost += usize::from(ran && status != Some(200));
        }
        world.record(&format!(
            "{} targets have crashed, {retries} retries have reached some later than stabilityWindowS after the third; {lost} orders ran and got no success",
            reached.len()
        ));
        thread::sleep(Duration::from_millis(3_300));
    }
    keepers.end();
    deployment.end();
    Some(retries > 3)
}

/// Starts a router again that has ended after SIGTERM.
fn restart_ended(router: &mut Process) {
    if router.has_ended() {
        router.start();
    }
}

/// A zone is cut off for 18 s while clients of one tenant press on both sides.
pub fn quota(world: &Arc<World>, trouble: bool) -> Option<bool> {
    const RATE: f64 = 40.0;
    const BURST: f64 = 10.0;
    /// `quotaWindowS`, `quotaOverage` and `quotaSlack` of the sheet.
    const WINDOW_S: f64 = 5.0;
    const OVERAGE: f64 = 0.1;
    const SLACK: f64 = 20.0;
    world.use_forwarders();
    // The machines of the zone `bodo`: two of the five registries and two of the four routers.
    let network = Network::new(world, &[1, 2, 21, 23]);
    (1..=5).for_each(|machine| network.forward(machine, world::PEER_PORT));
    (ROUTERS..ROUTERS + 4).for_each(|machine| network.forward(machine, world::INBOUND_PORT));
    let started = Arc::clone(&network);
    let mut deployment = Deployment::start_then(world, &[], 4, move |process| {
        if let Some(pid) = process.pid() {
            started.record(pid, process.index);
        }
    })?;
    let tenant = format!(
        r#"{{"type":"tenants","metadata":{{"name":"t-one","version":2}},"spec":{{"apiKeys":["key-one"],"ratePerS":{RATE},"burst":{BURST},"priority":0}}}}"#
    );
    if world::change(world, &[1, 2, 3], &world::upsert(&[tenant]), PATIENCE) != Some(200) {
        return None;
    }
    thread::sleep(Duration::from_secs(4));
    let ended = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<(String, f64)>>> = Arc::default();
    let clients: Vec<_> = (ROUTERS..ROUTERS + 4)
        .map(|machine| {
            let (world, ended, sent) = (Arc::clone(world), Arc::clone(&ended), Arc::clone(&sent));
            thread::spawn(move || {
                let key = "Shallotrill-Credential: key-one\r\n";
                while !ended.load(Ordering::Relaxed) {
                    let at = world.now();
                    let (id, _) = world::ask(&world, machine, "GET", "/portal/tenant", key);
                    sent.lock()
                        .expect("no thread panics with the times")
                        .push((id, at));
                    thread::sleep(Duration::from_millis(10));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(8));
    if trouble {
        network.set_cut(true);
    }
    thread::sleep(Duration::from_secs(18));
    if trouble {
        network.set_cut(false);
    }
    thread::sleep(Duration::from_secs(3));
    ended.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().ok()?;
    }
    let sent = sent
        .lock()
        .expect("no thread panics with the times")
        .clone();
    let mut spans: Vec<(f64, f64)> = Vec::new();
    for run in deployment
        .runs
        .lock()
        .expect("no thread panics with the runs")
        .iter()
    {
        if let Some((_, at)) = sent.iter().find(|(id, _)| *id == run.id) {
            spans.push((*at, run.at));
        }
    }
    let windows = spans.iter().map(|(from, _)| {
        let inside = spans
            .iter()
            .filter(|(sent, ran)| sent >= from && *ran <= from + WINDOW_S);
        (inside.count(), *from)
    });
    let (most, from) = windows.max_by_key(|(count, _)| *count)?;
    let allowed = (RATE * WINDOW_S + BURST) * (1.0 + OVERAGE) + SLACK;
    world.record(&format!(
        "{most} requests of the tenant ran in the 5 s from {from:.1}, {allowed:.0} may"
    ));
    deployment.end();
    Some(most as f64 > allowed)
}

/// A sixth core machine is added; then the six are cut into halves, and two operators send one version to the two sides.
pub fn halves(world: &Arc<World>, trouble: bool) -> Option<bool> {
    world.use_forwarders();
    let added = 6;
    let network = Network::new(world, &[4, 5, added, 22, 24]);
    (1..=added).for_each(|machine| network.forward(machine, world::PEER_PORT));
    (ROUTERS..ROUTERS + 4).for_each(|machine| network.forward(machine, world::INBOUND_PORT));
    let started = Arc::clone(&network);
    let mut deployment = Deployment::start_then(world, &[], 4, move |process| {
        if let Some(pid) = process.pid() {
            started.record(pid, process.index);
        }
    })?;
    let mut sixth = Process::registry(world, added, false, &[1, 2, 3]);
    sixth.start();
    network.record(sixth.pid()?, added);
    deployment.registries.push(sixth);
    let read = |node: u8| {
        let answer = world::get(world.address(node, ADMIN_PORT), "/api/Config.Get").ok()?;
        (answer.status == 200).then_some(answer.body)
    };
    let knows = || read(added).is_some();
    if !world::wait_until(world, "the added core machine answers", PATIENCE, knows) {
        return None;
    }
    // `catchUpS`.
    thread::sleep(Duration::from_secs(4));
    if trouble {
        network.set_cut(true);
    }
    thread::sleep(Duration::from_secs(12));
    let send = |node: u8, service: &str| {
        let body = world::upsert(&[world::route("r-race", 5, "/race/", "unsafe", service)]);
        world::change(world, &[node], &body, Duration::from_secs(3))
    };
    let first = send(1, "portal");
    let second = send(4, "ledger");
    thread::sleep(Duration::from_millis(500));
    if trouble {
        network.set_cut(false);
    }
    // Long after `stabilityWindowS` and `catchUpS`.
    thread::sleep(Duration::from_secs(10));
    let mut lost = 0;
    for node in 1..=added {
        let body = (0..10).find_map(|_| {
            let body = read(node);
            if body.is_none() {
                thread::sleep(Duration::from_millis(300));
            }
            body
        });
        let held = body.as_deref().and_then(|body| service_in(body, "/race/"));
        world.record(&format!(
            "core-{node} shows r-race, version 5, of service {held:?}"
        ));
        for (acknowledged, service) in [(first, "portal"), (second, "ledger")] {
            lost += usize::from(acknowledged == Some(200) && held.as_deref() != Some(service));
        }
    }
    world.record(&format!(
        "{lost} times an acknowledged item isn't what was sent"
    ));
    deployment.end();
    Some(lost > 0)
}

/// The service of the route with this prefix.
fn service_in(body: &str, prefix: &str) -> Option<String> {
    let (_, rest) = body.split_once(&format!("\"{prefix}\""))?;
    let (_, rest) = rest.split_once("\"service\":\"")?;
    rest.split_once('"').map(|(service, _)| service.to_owned())
}

/// A route has a time of 17 significant digits.
pub fn number(world: &Arc<World>, trouble: bool) -> Option<bool> {
    let mut deployment = Deployment::start(world, &[])?;
    let sent = if trouble {
        "1.1500000000000001"
    } else {
        "1.15"
    };
    let route = world::route("r-number", 2, "/number/", "safe", "portal");
    let route = route.replace("\"timeoutS\":1", &format!("\"timeoutS\":{sent}"));
    if world::change(world, &[1, 2, 3], &world::upsert(&[route]), PATIENCE) != Some(200) {
        return None;
    }
    thread::sleep(Duration::from_secs(2));
    let answer = world::get(world.address(4, ADMIN_PORT), "/api/Config.Get").ok()?;
    world.record(&format!("core-4 answers {} {}", answer.status, answer.body));
    let (_, rest) = answer.body.split_once("\"/number/\"")?;
    let (_, rest) = rest.split_once("\"timeoutS\":")?;
    let end = rest.find([',', '}'])?;
    let read: f64 = rest[..end].parse().ok()?;
    let wanted: f64 = sent.parse().ok()?;
    world.record(&format!("sent {wanted:?}, read back {read:?}"));
    deployment.end();
    Some(read != wanted)
}

/// Requests with a head just below `maxHeaderBytes`.
pub fn head(world: &Arc<World>, trouble: bool) -> Option<bool> {
    let mut deployment = Deployment::start(world, &[])?;
    let length = if trouble { 5_350 } else { 500 };
    let field = |name: &str| format!("{name}: {}\r\n", "v".repeat(length));
    let more: String = ["X-First", "X-Second", "X-Third"].map(field).concat();
    let mut refused = 0;
    let total = 200;
    for number in 0..total {
        let machine = ROUTERS + (number % 4) as u8;
        let (_, status) = world::ask(world, machine, "GET", "/portal/head", &more);
        refused += usize::from(status.is_some_and(|status| {
            (300..500).contains(&status) && ![408, 421, 429].contains(&status)
        }));
    }
    let allowed = 5 + total / 500;
    world.record(&format!(
        "{refused} of {total} proper requests were ended with a 3xx or 4xx, {allowed} may be"
    ));
    deployment.end();
    Some(refused > allowed)
}
