//! Makes a plan happen.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future;
use parking_lot::Mutex;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time;
use tokio::time::Instant;

use crate::caller;
use crate::check;
use crate::layout;
use crate::layout::Layout;
use crate::ledger::Disturbance;
use crate::ledger::End;
use crate::ledger::Ledger;
use crate::ledger::Manner;
use crate::network;
use crate::network::Network;
use crate::operator;
use crate::plan::Fault;
use crate::plan::Plan;
use crate::plan::Process;
use crate::plan::REGISTRIES;
use crate::program::Program;
use crate::target::Target;
use shallotrill_bench::http as client;
use shallotrill_bench::http::Request;

/// All is served again within this time after the last fault (`recoveryS` of the users' pages).
const RECOVERY: Duration = Duration::from_secs(15);

/// Longest wait for the processes to be ready at the start.
const START_LIMIT: Duration = Duration::from_secs(20);

/// Interval of looks at what no event tells.
const LOOK: Duration = Duration::from_millis(100);

/// Time between the end of a killed process and its next start.
const DOWN: Duration = Duration::from_millis(300);

/// Callers beside each router.
const CALLERS: usize = 3;

/// Networks that are tried when others are taken by runs beside this one.
const NETWORKS: u8 = 20;

/// What all parts of a run share.
#[derive(Debug)]
pub struct Scene {
    /// Addresses of the run.
    pub layout: Layout,
    /// What was seen.
    pub ledger: Mutex<Ledger>,
    /// Highest version that an operator has used.
    pub version: Mutex<u64>,
    /// Whether callers stop.
    pub calm: watch::Receiver<bool>,
    origin: Instant,
    network: Network,
    programs: Vec<Mutex<Program>>,
    /// By router, the first one at 0.
    targets: Vec<Arc<Target>>,
}

impl Scene {
    /// Milliseconds since the start of the run.
    pub fn now(&self) -> u64 {
        self.origin.elapsed().as_millis() as u64
    }

    /// Notes a failure that the run itself saw.
    pub fn fail(&self, promise: &'static str, what: &str) {
        let at = self.now();
        let mut ledger = self.ledger.lock();
        ledger.failures.push((promise, format!("{what} (at {at})")));
    }

    /// Notes a disturbance that begins now, and returns its place.
    fn disturb(&self, process: Process, manner: Manner) -> usize {
        let from = self.now();
        let mut ledger = self.ledger.lock();
        ledger.disturbances.push(Disturbance {
            process,
            manner,
            from,
            until: u64::MAX,
        });
        ledger.disturbances.len() - 1
    }

    fn calm_down(&self, place: usize) {
        self.ledger.lock().disturbances[place].until = self.now();
    }

    fn target(&self, router: Process) -> &Arc<Target> {
        &self.targets[router - REGISTRIES]
    }

    fn routers(&self) -> std::ops::Range<Process> {
        REGISTRIES..self.programs.len()
    }
}

/// What a run found.
#[derive(Debug)]
pub struct Report {
    /// Requests that callers sent.
    pub requests: usize,
    /// Requests answered with success.
    pub served: usize,
    /// How the others ended, with their numbers.
    pub ends: BTreeMap<String, usize>,
    /// Changes that were acknowledged.
    pub changes: usize,
    /// Broken promises: the name and what happened.
    pub broken: Vec<(&'static str, String)>,
}

/// Runs a plan with the program at `binary`; logs go to `folder`.
///
/// # Errors
///
/// Returns the error of the system when the run could not take place.
pub async fn run(plan: &Plan, binary: &Path, folder: &Path) -> io::Result<Report> {
    let (stop_callers, calm) = watch::channel(false);
    let scene = Arc::new(prepare(plan, binary, folder, calm).await?);
    let mut callers = JoinSet::new();
    if start(&scene).await? {
        for router in scene.routers() {
            for number in 0..CALLERS {
                let seed = plan.seed ^ ((router * CALLERS + number) as u64) << 32;
                callers.spawn(caller::run(Arc::clone(&scene), router, seed));
            }
        }
        play(&scene, plan).await;
        recover(&scene, plan.seed).await;
        stop_callers.send_replace(true);
        callers.join_all().await;
        read_back(&scene).await;
    }
    stop(&scene).await?;
    search_logs(&scene)?;
    let ledger = scene.ledger.lock();
    let mut ends = BTreeMap::new();
    for sent in ledger.sent.values() {
        let end = match &sent.end {
            Some((_, End::Answer { status, .. })) => status.to_string(),
            Some((_, end)) => format!("{end:?}").to_lowercase(),
            None => "open".to_owned(),
        };
        *ends.entry(end).or_insert(0) += 1;
    }
    let served = ends.remove("200").unwrap_or_default();
    Ok(Report {
        requests: ledger.sent.len(),
        served,
        ends,
        changes: ledger
            .changes
            .iter()
            .filter(|c| c.acknowledged.is_some())
            .count(),
        broken: check::broken(&ledger),
    })
}

async fn prepare(
    plan: &Plan,
    binary: &Path,
    folder: &Path,
    calm: watch::Receiver<bool>,
) -> io::Result<Scene> {
    let processes = REGISTRIES + plan.routers;
    let mut tries = 0;
    let (layout, network) = loop {
        let layout = Layout {
            network: rand::random_range(1..=250),
        };
        match Network::start(layout, processes).await {
            Ok(network) => break (layout, network),
            Err(error) if tries == NETWORKS => return Err(error),
            Err(_) => tries += 1,
        }
    };
    let programs: io::Result<Vec<Mutex<Program>>> = (0..processes)
        .map(|process| Program::new(binary, folder, layout, process).map(Mutex::new))
        .collect();
    let targets = (REGISTRIES..processes).map(|router| Arc::new(Target::new(router)));
    Ok(Scene {
        layout,
        ledger: Mutex::new(Ledger::default()),
        version: Mutex::new(1),
        calm,
        origin: Instant::now(),
        network,
        programs: programs?,
        targets: targets.collect(),
    })
}

/// Starts everything. Returns whether all became ready.
async fn start(scene: &Arc<Scene>) -> io::Result<bool> {
    for program in &scene.programs {
        program.lock().start()?;
    }
    for target in &scene.targets {
        target.start(scene).await?;
    }
    let end = Instant::now() + START_LIMIT;
    while !operator::first(scene).await {
        if Instant::now() >= end {
            scene.fail(
                "first-start",
                "no registry process accepted the first items",
            );
            return Ok(false);
        }
        time::sleep(LOOK).await;
    }
    for program in &scene.programs {
        program.lock().has_started()?;
    }
    for router in scene.routers() {
        while !is_ready(scene, router).await {
            if Instant::now() >= end {
                scene.fail(
                    "first-start",
                    &format!("{} is not ready", layout::name(router)),
                );
                return Ok(false);
            }
            time::sleep(LOOK).await;
        }
    }
    Ok(true)
}

async fn is_ready(scene: &Scene, router: Process) -> bool {
    let address = scene.layout.at(router, layout::READY);
    let ask = Request::get("ready", "/api/readyz");
    let answer = client::send(address, &ask, Duration::from_secs(1)).await;
    answer.is_ok_and(|answer| answer.status.is_success())
}

async fn play(scene: &Arc<Scene>, plan: &Plan) {
    let begin = Instant::now();
    let mut faults = JoinSet::new();
    for (number, step) in plan.steps.iter().enumerate() {
        time::sleep_until(begin + Duration::from_millis(step.at_ms)).await;
        let (scene, fault) = (Arc::clone(scene), step.fault);
        let seed = plan.seed ^ (number as u64) << 48;
        faults.spawn(async move {
            if let Err(error) = apply(&scene, fault, seed).await {
                scene.fail("soak", &format!("{fault:?} could not be made: {error}"));
            }
        });
    }
    faults.join_all().await;
    scene.network.heal();
    for program in &scene.programs {
        let ended = program.lock().ended_by_itself();
        if let Ok(Some(status)) = ended {
            let process = program.lock().process;
            scene.fail(
                "runs-on",
                &format!("{} ended by itself: {status}", layout::name(process)),
            );
        }
    }
}

async fn apply(scene: &Arc<Scene>, fault: Fault, seed: u64) -> io::Result<()> {
    match fault {
        Fault::Pause(process, millis) => {
            let place = scene.disturb(process, Manner::Pause);
            scene.programs[process].lock().pause();
            time::sleep(Duration::from_millis(millis)).await;
            scene.programs[process].lock().resume();
            scene.calm_down(place);
        }
        Fault::Kill(process) => kill(scene, process).await?,
        Fault::KillAll => {
            let all = (0..scene.programs.len()).map(|process| kill(scene, process));
            future::try_join_all(all).await?;
        }
        Fault::Restart(process, offset) => restart(scene, process, offset).await?,
        Fault::Reseed(process, tell) => scene.programs[process].lock().reseed(tell)?,
        Fault::LoseDisk(process) => {
            let place = scene.disturb(process, Manner::Other);
            {
                let mut program = scene.programs[process].lock();
                program.kill()?;
                program.lose_disk()?;
            }
            time::sleep(DOWN).await;
            scene.programs[process].lock().start()?;
            scene.calm_down(place);
        }
        Fault::RefuseWrites(process, millis) => {
            let place = scene.disturb(process, Manner::Other);
            scene.programs[process].lock().refuse_writes(true)?;
            time::sleep(Duration::from_millis(millis)).await;
            scene.programs[process].lock().refuse_writes(false)?;
            scene.calm_down(place);
        }
        Fault::Peers(process, harm, millis) => {
            let place = scene.disturb(process, Manner::Other);
            network::begin(scene.network.peers(process), harm);
            time::sleep(Duration::from_millis(millis)).await;
            network::end(scene.network.peers(process));
            scene.calm_down(place);
        }
        Fault::Backend(process, harm, millis) => {
            let Some(forward) = scene.network.backend(process) else {
                return Ok(());
            };
            let place = scene.disturb(process, Manner::Other);
            network::begin(forward, harm);
            time::sleep(Duration::from_millis(millis)).await;
            network::end(forward);
            scene.calm_down(place);
        }
        Fault::Crash(router) => {
            let place = scene.disturb(router, Manner::Other);
            scene.target(router).crash(scene).await?;
            scene.calm_down(place);
        }
        Fault::Leave(router, notice) => {
            let place = scene.disturb(router, Manner::Other);
            scene.target(router).leave(scene, notice).await?;
            scene.calm_down(place);
        }
        Fault::SlowBackend(router, factor, millis) => {
            scene.target(router).slow(factor);
            time::sleep(Duration::from_millis(millis)).await;
            scene.target(router).slow(1);
        }
        Fault::Changes(count) => {
            operator::changes(scene, &mut Pcg64::seed_from_u64(seed), count).await;
        }
        Fault::Race => operator::race(scene, &mut Pcg64::seed_from_u64(seed)).await,
    }
    Ok(())
}

async fn kill(scene: &Scene, process: Process) -> io::Result<()> {
    let place = scene.disturb(process, Manner::Other);
    scene.programs[process].lock().kill()?;
    time::sleep(DOWN).await;
    scene.programs[process].lock().start()?;
    scene.calm_down(place);
    Ok(())
}

/// Asks a process to stop, waits for its end and starts it again.
async fn restart(scene: &Scene, process: Process, offset: i64) -> io::Result<()> {
    let place = scene.disturb(process, Manner::Stop);
    let from = scene.now();
    let start = {
        let program = scene.programs[process].lock();
        program.ask_to_stop();
        program.starts()
    };
    let end = Instant::now() + Duration::from_secs(layout::GRACE_S);
    loop {
        {
            let mut program = scene.programs[process].lock();
            // Another fault may have ended and started it meanwhile.
            if program.starts() != start || program.has_ended()? {
                break;
            }
            if Instant::now() >= end {
                program.kill()?;
                drop(program);
                let ledger = scene.ledger.lock();
                let held = ledger.is_disturbed(process, Manner::Pause, from, scene.now());
                drop(ledger);
                if !held {
                    let name = layout::name(process);
                    scene.fail("stops-in-time", &format!("{name} had to be killed"));
                }
                break;
            }
        }
        time::sleep(Duration::from_millis(20)).await;
    }
    time::sleep(DOWN).await;
    let mut program = scene.programs[process].lock();
    program.clock_offset_ms = offset;
    program.start()?;
    drop(program);
    scene.calm_down(place);
    Ok(())
}

/// Waits until every router serves every route as a configuration in force says.
async fn recover(scene: &Arc<Scene>, seed: u64) {
    let end = Instant::now() + RECOVERY;
    let all = scene.routers().map(|router| {
        let scene = Arc::clone(scene);
        async move {
            let mut random = Pcg64::seed_from_u64(seed ^ router as u64);
            for route in 0..operator::ROUTES.len() {
                loop {
                    let Err(reason) = probe(&scene, &mut random, router, route).await else {
                        break;
                    };
                    if Instant::now() >= end {
                        let name = layout::name(router);
                        let route = operator::ROUTES[route].name;
                        scene.fail(
                            "recovers",
                            &format!("{name} does not serve {route}: {reason}"),
                        );
                        return;
                    }
                    time::sleep(LOOK).await;
                }
            }
        }
    });
    future::join_all(all).await;
}

/// Sends one request and compares what became of it with the contents that may be in force.
async fn probe(
    scene: &Scene,
    random: &mut Pcg64,
    router: Process,
    route: usize,
) -> Result<(), String> {
    let request = caller::request(scene, random, router, route);
    let answer = caller::send(scene, &mut None, router, &request, None).await;
    let ledger = scene.ledger.lock();
    let name = operator::ROUTES[route].name;
    let changes = || ledger.changes.iter().filter(|c| &*c.route == name);
    let acknowledged = changes().filter(|c| c.acknowledged.is_some());
    let newest = acknowledged.map(|c| c.version).max().unwrap_or_default();
    let mut in_force = changes().filter(|c| c.version >= newest);
    let mut arrivals = ledger.arrivals.iter().rev();
    let service = arrivals
        .find(|a| a.run && a.request == request.identity)
        .map(|a| &a.service);
    let status = answer.map(|answer| answer.status.as_u16());
    let fits = match (status, service) {
        (Some(200), Some(service)) => {
            in_force.any(|c| c.content.iter().flatten().any(|held| held == service))
        }
        (Some(404), None) => in_force.any(|c| c.content.is_none()),
        _ => false,
    };
    if fits {
        Ok(())
    } else {
        Err(format!("{}: {status:?} from {service:?}", request.identity))
    }
}

/// Asks every registry process for the items in force.
async fn read_back(scene: &Scene) {
    let end = Instant::now() + RECOVERY;
    for registry in 0..REGISTRIES {
        let routes = loop {
            match operator::read_back(scene, registry).await {
                Some(routes) => break routes,
                None if Instant::now() >= end => {
                    let name = layout::name(registry);
                    scene.fail(
                        "recovers",
                        &format!("{name} does not tell what is in force"),
                    );
                    return;
                }
                None => time::sleep(LOOK).await,
            }
        };
        scene.ledger.lock().read_back.push((registry, routes));
    }
}

async fn stop(scene: &Scene) -> io::Result<()> {
    for program in &scene.programs {
        program.lock().ask_to_stop();
    }
    let end = Instant::now() + Duration::from_secs(layout::GRACE_S) + LOOK;
    for program in &scene.programs {
        while !program.lock().has_ended()? {
            if Instant::now() >= end {
                let mut program = program.lock();
                program.kill()?;
                let name = layout::name(program.process);
                scene.fail(
                    "stops-in-time",
                    &format!("{name} had to be killed at the end"),
                );
                break;
            }
            time::sleep(LOOK).await;
        }
    }
    Ok(())
}

/// A panic is caught by the runtime and shows only in the log.
fn search_logs(scene: &Scene) -> io::Result<()> {
    let logs: Vec<PathBuf> = scene.programs.iter().map(|p| p.lock().log()).collect();
    for log in logs {
        let text = fs::read(&log)?;
        let text = String::from_utf8_lossy(&text);
        if let Some(line) = text.lines().find(|line| line.contains("panicked at")) {
            scene.fail("no-panic", &format!("{}: {line}", log.display()));
        }
    }
    Ok(())
}
