//! Executes a plan: starts the processes, injects the faults, and checks the recovery and the records.

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

use crate::backend_server::BackendServer;
use crate::caller;
use crate::check;
use crate::history::Disturbance;
use crate::history::DisturbanceKind;
use crate::history::History;
use crate::history::Outcome;
use crate::layout;
use crate::layout::Layout;
use crate::network;
use crate::network::Network;
use crate::operator;
use crate::plan::Fault;
use crate::plan::Plan;
use crate::plan::ProcessIndex;
use crate::plan::REGISTRIES;
use crate::program::Program;
use crate::workspaces;
use shallotrill_bench::http as client;
use shallotrill_bench::http::Request;

/// Time within which all requests must be served again after the last fault (`recoveryS` in the user documentation).
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum time until all processes are ready at the start.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval of polling for conditions that have no event to wait for.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Time between the exit of a process and its restart.
const RESTART_DOWNTIME: Duration = Duration::from_millis(300);

/// Number of callers of each router.
const CALLERS_PER_ROUTER: usize = 3;

/// Maximum number of further loopback networks to try when concurrent runs use the chosen one.
const NETWORK_RETRIES_MAX: u8 = 20;

/// State shared by all parts of a run.
#[derive(Debug)]
pub struct RunContext {
    /// Addresses of the run.
    pub layout: Layout,
    /// Records of the run.
    pub history: Mutex<History>,
    /// Highest version that an operator has used.
    pub version: Mutex<u64>,
    /// Becomes true when the callers must stop.
    pub callers_stopped: watch::Receiver<bool>,
    origin: Instant,
    network: Network,
    programs: Vec<Mutex<Program>>,
    /// Backend servers by router; the first router has index 0.
    backend_servers: Vec<Arc<BackendServer>>,
}

impl RunContext {
    /// Milliseconds since the start of the run.
    pub fn now(&self) -> u64 {
        self.origin.elapsed().as_millis() as u64
    }

    /// Records a failure detected during the run.
    pub fn record_failure(&self, invariant: &'static str, what: &str) {
        let at = self.now();
        let mut history = self.history.lock();
        history
            .failures
            .push((invariant, format!("{what} (at {at})")));
    }

    /// Records the start of a disturbance and returns its index.
    fn begin_disturbance(&self, process: ProcessIndex, kind: DisturbanceKind) -> usize {
        let from_ms = self.now();
        let mut history = self.history.lock();
        history.disturbances.push(Disturbance {
            process,
            kind,
            from_ms,
            until_ms: u64::MAX,
        });
        history.disturbances.len() - 1
    }

    fn end_disturbance(&self, index: usize) {
        self.history.lock().disturbances[index].until_ms = self.now();
    }

    fn backend_server(&self, router: ProcessIndex) -> &Arc<BackendServer> {
        &self.backend_servers[router - REGISTRIES]
    }

    fn routers(&self) -> std::ops::Range<ProcessIndex> {
        REGISTRIES..self.programs.len()
    }
}

/// Result of a run.
#[derive(Debug)]
pub struct Report {
    /// Number of requests that callers sent.
    pub requests: usize,
    /// Number of requests with status 200.
    pub served: usize,
    /// Number of other requests by status or outcome.
    pub outcomes: BTreeMap<String, usize>,
    /// Number of acknowledged changes.
    pub changes: usize,
    /// Violated invariants: name and description.
    pub violated_invariants: Vec<(&'static str, String)>,
}

/// Runs a plan with the program at `binary` and writes logs to `folder`.
///
/// # Errors
///
/// Returns the error of the operating system when the run could not be executed.
pub async fn run(plan: &Plan, binary: &Path, folder: &Path) -> io::Result<Report> {
    let (stop_callers, callers_stopped) = watch::channel(false);
    let run_context = Arc::new(prepare(plan, binary, folder, callers_stopped).await?);
    let mut callers = JoinSet::new();
    if start_all(&run_context).await? {
        for router in run_context.routers() {
            for number in 0..CALLERS_PER_ROUTER {
                let seed = plan.seed ^ ((router * CALLERS_PER_ROUTER + number) as u64) << 32;
                callers.spawn(caller::run(Arc::clone(&run_context), router, seed));
            }
        }
        callers.spawn(workspaces::change_keys(Arc::clone(&run_context)));
        run_plan(&run_context, plan).await;
        wait_for_recovery(&run_context, plan.seed).await;
        stop_callers.send_replace(true);
        callers.join_all().await;
        read_routes(&run_context).await;
    }
    stop_all(&run_context).await?;
    find_panics(&run_context)?;
    let history = run_context.history.lock();
    let mut outcomes = BTreeMap::new();
    for sent in history.requests.values() {
        let outcome = match &sent.outcome {
            Some((_, Outcome::Response { status, .. })) => status.to_string(),
            Some((_, outcome)) => format!("{outcome:?}").to_lowercase(),
            None => "open".to_owned(),
        };
        *outcomes.entry(outcome).or_insert(0) += 1;
    }
    let served = outcomes.remove("200").unwrap_or_default();
    Ok(Report {
        requests: history.requests.len(),
        served,
        outcomes,
        changes: history
            .changes
            .iter()
            .filter(|c| c.acknowledged_at_ms.is_some())
            .count(),
        violated_invariants: check::violated_invariants(&history),
    })
}

async fn prepare(
    plan: &Plan,
    binary: &Path,
    folder: &Path,
    callers_stopped: watch::Receiver<bool>,
) -> io::Result<RunContext> {
    let processes = REGISTRIES + plan.routers;
    let mut retries = 0;
    let (layout, network) = loop {
        let layout = Layout {
            network: rand::random_range(1..=250),
        };
        match Network::start(layout, processes).await {
            Ok(network) => break (layout, network),
            Err(error) if retries == NETWORK_RETRIES_MAX => return Err(error),
            Err(_) => retries += 1,
        }
    };
    let programs: io::Result<Vec<Mutex<Program>>> = (0..processes)
        .map(|process| Program::new(binary, folder, layout, process).map(Mutex::new))
        .collect();
    let backend_servers =
        (REGISTRIES..processes).map(|router| Arc::new(BackendServer::new(router)));
    Ok(RunContext {
        layout,
        history: Mutex::new(History::default()),
        version: Mutex::new(1),
        callers_stopped,
        origin: Instant::now(),
        network,
        programs: programs?,
        backend_servers: backend_servers.collect(),
    })
}

/// Starts all processes and backend servers; returns whether all became ready in time.
async fn start_all(run_context: &Arc<RunContext>) -> io::Result<bool> {
    for program in &run_context.programs {
        program.lock().start()?;
    }
    for backend_server in &run_context.backend_servers {
        backend_server.start(run_context).await?;
    }
    let deadline = Instant::now() + START_TIMEOUT;
    while !operator::send_initial_configuration(run_context).await {
        if Instant::now() >= deadline {
            run_context.record_failure(
                "first-start",
                "no registry process accepted the initial configuration",
            );
            return Ok(false);
        }
        time::sleep(POLL_INTERVAL).await;
    }
    for program in &run_context.programs {
        program.lock().mark_started()?;
    }
    for router in run_context.routers() {
        while !is_ready(run_context, router).await {
            if Instant::now() >= deadline {
                run_context.record_failure(
                    "first-start",
                    &format!("{} is not ready", layout::name(router)),
                );
                return Ok(false);
            }
            time::sleep(POLL_INTERVAL).await;
        }
    }
    Ok(true)
}

async fn is_ready(run_context: &RunContext, router: ProcessIndex) -> bool {
    let address = run_context.layout.address(router, layout::READY_PORT);
    let request = Request::get("ready", "/api/readyz");
    let answer = client::send(address, &request, Duration::from_secs(1)).await;
    answer.is_ok_and(|answer| answer.status.is_success())
}

async fn run_plan(run_context: &Arc<RunContext>, plan: &Plan) {
    let plan_start = Instant::now();
    let mut faults = JoinSet::new();
    for (number, step) in plan.steps.iter().enumerate() {
        time::sleep_until(plan_start + Duration::from_millis(step.at_ms)).await;
        let (run_context, fault) = (Arc::clone(run_context), step.fault);
        let seed = plan.seed ^ (number as u64) << 48;
        faults.spawn(async move {
            if let Err(error) = inject(&run_context, fault, seed).await {
                run_context
                    .record_failure("soak", &format!("{fault:?} could not be injected: {error}"));
            }
        });
    }
    faults.join_all().await;
    run_context.network.clear_faults();
    for program in &run_context.programs {
        let exit_status = program.lock().unexpected_exit();
        if let Ok(Some(status)) = exit_status {
            let process = program.lock().process;
            run_context.record_failure(
                "runs-on",
                &format!("{} exited unexpectedly: {status}", layout::name(process)),
            );
        }
    }
}

async fn inject(run_context: &Arc<RunContext>, fault: Fault, seed: u64) -> io::Result<()> {
    match fault {
        Fault::Pause(process, duration_ms) => {
            let index = run_context.begin_disturbance(process, DisturbanceKind::Pause);
            run_context.programs[process].lock().pause();
            time::sleep(Duration::from_millis(duration_ms)).await;
            run_context.programs[process].lock().resume();
            run_context.end_disturbance(index);
        }
        Fault::Kill(process) => kill(run_context, process).await?,
        Fault::KillAll => {
            let all = (0..run_context.programs.len()).map(|process| kill(run_context, process));
            future::try_join_all(all).await?;
        }
        Fault::Restart(process, offset_ms) => restart(run_context, process, offset_ms).await?,
        Fault::Reseed(process, reload) => run_context.programs[process].lock().set_seeds(reload)?,
        Fault::LoseDisk(process) => {
            let index = run_context.begin_disturbance(process, DisturbanceKind::Other);
            {
                let mut program = run_context.programs[process].lock();
                program.kill()?;
                program.erase_disk()?;
            }
            time::sleep(RESTART_DOWNTIME).await;
            run_context.programs[process].lock().start()?;
            run_context.end_disturbance(index);
        }
        Fault::RefuseWrites(process, duration_ms) => {
            let index = run_context.begin_disturbance(process, DisturbanceKind::Other);
            run_context.programs[process].lock().refuse_writes(true)?;
            time::sleep(Duration::from_millis(duration_ms)).await;
            run_context.programs[process].lock().refuse_writes(false)?;
            run_context.end_disturbance(index);
        }
        Fault::Peers(process, link_fault, duration_ms) => {
            let index = run_context.begin_disturbance(process, DisturbanceKind::Other);
            network::apply_fault(run_context.network.peer_forwarder(process), link_fault);
            time::sleep(Duration::from_millis(duration_ms)).await;
            network::clear_fault(run_context.network.peer_forwarder(process));
            run_context.end_disturbance(index);
        }
        Fault::Backend(process, link_fault, duration_ms) => {
            let Some(forward) = run_context.network.backend_forwarder(process) else {
                return Ok(());
            };
            let index = run_context.begin_disturbance(process, DisturbanceKind::Other);
            network::apply_fault(forward, link_fault);
            time::sleep(Duration::from_millis(duration_ms)).await;
            network::clear_fault(forward);
            run_context.end_disturbance(index);
        }
        Fault::Crash(router) => {
            let index = run_context.begin_disturbance(router, DisturbanceKind::Other);
            run_context
                .backend_server(router)
                .crash(run_context)
                .await?;
            run_context.end_disturbance(index);
        }
        Fault::Leave(router, notice) => {
            let index = run_context.begin_disturbance(router, DisturbanceKind::Other);
            run_context
                .backend_server(router)
                .shut_down(run_context, notice)
                .await?;
            run_context.end_disturbance(index);
        }
        Fault::SlowBackend(router, factor, duration_ms) => {
            run_context.backend_server(router).set_slowdown(factor);
            time::sleep(Duration::from_millis(duration_ms)).await;
            run_context.backend_server(router).set_slowdown(1);
        }
        Fault::StateLimit(router, millihertz, duration_ms) => {
            let server = run_context.backend_server(router);
            let duration = Duration::from_millis(duration_ms);
            server.state_limit(run_context, millihertz, duration).await;
        }
        Fault::LeaveUnannounced(router) => {
            let index = run_context.begin_disturbance(router, DisturbanceKind::Other);
            run_context
                .backend_server(router)
                .leave_unannounced(run_context)
                .await?;
            run_context.end_disturbance(index);
        }
        Fault::Changes(count) => {
            operator::send_changes(run_context, &mut Pcg64::seed_from_u64(seed), count).await;
        }
        Fault::Race => operator::send_conflict(run_context, &mut Pcg64::seed_from_u64(seed)).await,
    }
    Ok(())
}

async fn kill(run_context: &RunContext, process: ProcessIndex) -> io::Result<()> {
    let index = run_context.begin_disturbance(process, DisturbanceKind::Other);
    run_context.programs[process].lock().kill()?;
    time::sleep(RESTART_DOWNTIME).await;
    run_context.programs[process].lock().start()?;
    run_context.end_disturbance(index);
    Ok(())
}

/// Stops a process gracefully and restarts it; kills it when it does not exit in time.
async fn restart(
    run_context: &RunContext,
    process: ProcessIndex,
    offset_ms: i64,
) -> io::Result<()> {
    let index = run_context.begin_disturbance(process, DisturbanceKind::Stop);
    let from_ms = run_context.now();
    let start_count = {
        let program = run_context.programs[process].lock();
        program.request_stop();
        program.start_count()
    };
    let deadline = Instant::now() + Duration::from_secs(layout::GRACE_PERIOD_S);
    loop {
        {
            let mut program = run_context.programs[process].lock();
            // A concurrent fault may have stopped and restarted the process.
            if program.start_count() != start_count || program.has_exited()? {
                break;
            }
            if Instant::now() >= deadline {
                program.kill()?;
                drop(program);
                let history = run_context.history.lock();
                let was_paused = history.is_disturbed(
                    process,
                    DisturbanceKind::Pause,
                    from_ms,
                    run_context.now(),
                );
                drop(history);
                if !was_paused {
                    let name = layout::name(process);
                    run_context.record_failure(
                        "stops-in-time",
                        &format!("{name} did not exit in time after SIGTERM and was killed"),
                    );
                }
                break;
            }
        }
        time::sleep(Duration::from_millis(20)).await;
    }
    time::sleep(RESTART_DOWNTIME).await;
    let mut program = run_context.programs[process].lock();
    program.clock_offset_ms = offset_ms;
    program.start()?;
    drop(program);
    run_context.end_disturbance(index);
    Ok(())
}

/// Waits until every router serves every route according to a configuration that may be in force.
async fn wait_for_recovery(run_context: &Arc<RunContext>, seed: u64) {
    let deadline = Instant::now() + RECOVERY_TIMEOUT;
    let all = run_context.routers().map(|router| {
        let run_context = Arc::clone(run_context);
        async move {
            let mut random = Pcg64::seed_from_u64(seed ^ router as u64);
            for route in 0..operator::ROUTES.len() {
                loop {
                    let Err(reason) = check_route(&run_context, &mut random, router, route).await
                    else {
                        break;
                    };
                    if Instant::now() >= deadline {
                        let name = layout::name(router);
                        let route = operator::ROUTES[route].name;
                        run_context.record_failure(
                            "recovers",
                            &format!("{name} does not serve {route}: {reason}"),
                        );
                        return;
                    }
                    time::sleep(POLL_INTERVAL).await;
                }
            }
        }
    });
    future::join_all(all).await;
}

/// Sends one request and compares its outcome with the contents of the route that may be in force.
async fn check_route(
    run_context: &RunContext,
    random: &mut Pcg64,
    router: ProcessIndex,
    route: usize,
) -> Result<(), String> {
    let request = caller::new_request(run_context, random, router, route, workspaces::CONSTANT_KEY);
    let answer = caller::send(run_context, &mut None, router, &request, None).await;
    let history = run_context.history.lock();
    let name = operator::ROUTES[route].name;
    let changes = || history.changes.iter().filter(|c| &*c.route == name);
    let acknowledged = changes().filter(|c| c.acknowledged_at_ms.is_some());
    let newest = acknowledged.map(|c| c.version).max().unwrap_or_default();
    let mut in_force = changes().filter(|c| c.version >= newest);
    let mut arrivals = history.arrivals.iter().rev();
    let service = arrivals
        .find(|a| a.executed && a.request == request.identity)
        .map(|a| &a.service);
    let status = answer.map(|answer| answer.status.as_u16());
    let matches_configuration = match (status, service) {
        (Some(200), Some(service)) => {
            in_force.any(|c| c.content.iter().flatten().any(|allowed| allowed == service))
        }
        (Some(404), None) => in_force.any(|c| c.content.is_none()),
        _ => false,
    };
    if matches_configuration {
        Ok(())
    } else {
        Err(format!("{}: {status:?} from {service:?}", request.identity))
    }
}

/// Reads the routes in force from every registry process.
async fn read_routes(run_context: &RunContext) {
    let deadline = Instant::now() + RECOVERY_TIMEOUT;
    for registry in 0..REGISTRIES {
        let routes = loop {
            match operator::read_routes(run_context, registry).await {
                Some(routes) => break routes,
                None if Instant::now() >= deadline => {
                    let name = layout::name(registry);
                    run_context.record_failure(
                        "recovers",
                        &format!("{name} does not report the routes in force"),
                    );
                    return;
                }
                None => time::sleep(POLL_INTERVAL).await,
            }
        };
        run_context
            .history
            .lock()
            .final_routes
            .push((registry, routes));
    }
}

async fn stop_all(run_context: &RunContext) -> io::Result<()> {
    for program in &run_context.programs {
        program.lock().request_stop();
    }
    let deadline = Instant::now() + Duration::from_secs(layout::GRACE_PERIOD_S) + POLL_INTERVAL;
    for program in &run_context.programs {
        while !program.lock().has_exited()? {
            if Instant::now() >= deadline {
                let mut program = program.lock();
                program.kill()?;
                let name = layout::name(program.process);
                run_context.record_failure(
                    "stops-in-time",
                    &format!("{name} did not exit in time after SIGTERM at the end of the run and was killed"),
                );
                break;
            }
            time::sleep(POLL_INTERVAL).await;
        }
    }
    Ok(())
}

/// Searches the logs for panics, which the runtime catches, so that they appear only in the logs.
fn find_panics(run_context: &RunContext) -> io::Result<()> {
    let logs: Vec<PathBuf> = run_context
        .programs
        .iter()
        .map(|p| p.lock().log())
        .collect();
    for log in logs {
        let text = fs::read(&log)?;
        let text = String::from_utf8_lossy(&text);
        if let Some(line) = text.lines().find(|line| line.contains("panicked at")) {
            run_context.record_failure("no-panic", &format!("{}: {line}", log.display()));
        }
    }
    Ok(())
}
