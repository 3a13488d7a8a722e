//! Test fixture: an installation of real processes that several cases use in sequence.

use std::fs;
use std::net::SocketAddr;
use std::panic;
use std::panic::AssertUnwindSafe;
use std::path::Path;
use std::process::Command;
use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Signal;
use tempfile::TempDir;
use tokio::runtime::Runtime;
use tokio::task::JoinHandle;

use shallotrill_bench::cluster;
use shallotrill_bench::cluster::Cluster;
use shallotrill_bench::cluster::Layout;
use shallotrill_bench::cluster::Service;
use shallotrill_bench::http;
use shallotrill_bench::http::Failure;
use shallotrill_bench::http::Request;
use shallotrill_bench::http::Response;
use shallotrill_bench::operate;
use shallotrill_language::result_table;
use shallotrill_language::result_table::Cell;
use shallotrill_operator::client::Client;
use shallotrill_operator::client::Error;
use shallotrill_operator::wire;

/// Service of every fixture: GETs are idempotent, POSTs are not.
pub(crate) const SERVICE: &str = "payments";

/// Time limit for a condition or a response; long, because the machine may be busy.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// One fault during one operation, with the expected result.
pub(crate) struct Case {
    /// Operation during which the fault occurs.
    pub(crate) step: &'static str,
    /// Injected fault.
    pub(crate) fault: &'static str,
    /// Expected result.
    pub(crate) expected: &'static str,
    /// Injects the fault and checks the result.
    pub(crate) run: fn(&mut Fixture),
}

/// A running installation with a runtime for callers and operators.
pub(crate) struct Fixture {
    pub(crate) cluster: Cluster,
    pub(crate) runtime: Runtime,
    folder: Option<TempDir>,
}

/// Runs the cases in order in one installation and reports all that failed.
pub(crate) fn run_all(cases: &[Case]) {
    let mut fixture = Fixture::start();
    let mut failed = Vec::new();
    for case in cases {
        let started = Instant::now();
        let result = panic::catch_unwind(AssertUnwindSafe(|| (case.run)(&mut fixture)));
        let restored = panic::catch_unwind(AssertUnwindSafe(|| fixture.restore_processes()));
        let text = format!("{} / {} / {}", case.step, case.fault, case.expected);
        println!("{:?} {text}", started.elapsed());
        if result.is_err() || restored.is_err() {
            failed.push(text);
        }
    }
    if !failed.is_empty() {
        let folder = fixture.folder.take().map(TempDir::keep);
        panic!("failed, logs in {folder:?}:\n{}", failed.join("\n"));
    }
    fixture.cluster.stop().expect("all processes stop");
}

/// Builds the programs once, into the target folder of this test and with its profile.
fn build() {
    static BUILT: OnceLock<()> = OnceLock::new();
    BUILT.get_or_init(|| {
        let folder = cluster::program_folder().expect("the path of the test executable is known");
        let target = folder
            .parent()
            .expect("the folder of the build profile has a parent");
        let mut command = Command::new(env!("CARGO"));
        command
            .args(["build", "--quiet", "--locked", "--workspace"])
            .args(["--bins", "--examples", "--target-dir"])
            .arg(target)
            .current_dir(Path::new(env!("CARGO_MANIFEST_DIR")));
        if folder.ends_with("release") {
            command.arg("--release");
        }
        let status = command.status().expect("cargo can be started");
        assert!(status.success(), "cargo build failed: {status}");
    });
}

impl Fixture {
    /// Starts an installation with the service and waits until every node accepts requests.
    pub(crate) fn start() -> Self {
        build();
        let folder = tempfile::tempdir().expect("a temporary folder can be created");
        let service = Service {
            name: SERVICE,
            targets: 3,
            slots: 10,
            service_time: Duration::from_millis(5),
            crash_path: Some("/crash"),
        };
        let layout = Layout {
            program_folder: cluster::program_folder()
                .expect("the path of the test executable is known"),
            folder: folder.path().to_path_buf(),
            ip: cluster::reserve_ip().expect("a loopback address is free"),
            region: "waikato",
            zones: vec!["hamilton", "cambridge", "matamata"],
            services: vec![service.clone()],
            log_level: "info",
        };
        let runtime = Runtime::new().expect("the runtime starts");
        let cluster = Cluster::start(&layout).expect("the processes start");
        let fixture = Self {
            cluster,
            runtime,
            folder: Some(folder),
        };
        let operators = &fixture.cluster.operators;
        fixture
            .runtime
            .block_on(operate::run_with_retries(
                operators,
                "show services",
                WAIT_TIMEOUT,
            ))
            .expect("the control processes form a quorum");
        fixture
            .runtime
            .block_on(operate::create_service(operators, &service))
            .expect("the service is created");
        fixture.wait_until_ready();
        fixture
    }

    /// Waits until each control process lists all targets as ready and each node serves deposits.
    pub(crate) fn wait_until_ready(&self) {
        wait("every control process lists all targets as ready", || {
            (0..3).all(|control| {
                let shown = self.run_statement(&[control], &format!("show targets of {SERVICE}"));
                shown.is_ok_and(|shown| {
                    let text = shown.to_string();
                    shown.rows.len() == 3 && text.matches(" ready ").count() == 3
                })
            })
        });
        for node in 0..3 {
            wait("the node serves deposits", || {
                let response = self.send(node, &deposit(&http::new_idempotency_key(), "settle"));
                response.is_ok_and(|response| response.status == 200)
            });
        }
    }

    /// Resumes stopped processes and restarts exited ones, then waits until the installation is ready.
    pub(crate) fn restore_processes(&mut self) {
        let cluster = &mut self.cluster;
        let of_instances = cluster
            .instances
            .iter_mut()
            .flat_map(|instance| [&mut instance.node, &mut instance.backend]);
        for process in cluster.controls.iter_mut().chain(of_instances) {
            if process.is_running() {
                process.signal(Signal::CONT).expect("SIGCONT is sent");
            } else {
                process.start().expect("the process starts");
            }
        }
        for instance in 0..3 {
            wait("the backend server is up", || {
                self.set_behavior(instance, "mode=normal&service-us=5000")
            });
        }
        self.wait_until_ready();
    }

    /// Sends a request to a node and waits for the response.
    pub(crate) fn send(&self, node: usize, request: &Request) -> Result<Response, Failure> {
        self.send_to(self.cluster.instances[node].caller, request)
    }

    /// Sends a request to an address and waits for the response.
    pub(crate) fn send_to(
        &self,
        address: SocketAddr,
        request: &Request,
    ) -> Result<Response, Failure> {
        self.runtime
            .block_on(http::send(address, request, WAIT_TIMEOUT))
    }

    /// Sends a request to a node without waiting for the response.
    pub(crate) fn spawn_request(
        &self,
        node: usize,
        request: Request,
    ) -> JoinHandle<Result<Response, Failure>> {
        let caller = self.cluster.instances[node].caller;
        self.runtime
            .spawn(async move { http::send(caller, &request, WAIT_TIMEOUT).await })
    }

    /// Waits for the response to a spawned request.
    pub(crate) fn join_request(
        &self,
        sent: JoinHandle<Result<Response, Failure>>,
    ) -> Result<Response, Failure> {
        self.runtime
            .block_on(sent)
            .expect("the caller task does not panic")
    }

    /// Repeats a request at a node until the response is as expected.
    pub(crate) fn send_until(
        &self,
        node: usize,
        request: &Request,
        expected: fn(&Response) -> bool,
    ) -> Response {
        let mut last = None;
        let end = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < end {
            match self.send(node, request) {
                Ok(response) if expected(&response) => return response,
                other => last = Some(other),
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        panic!("no expected response within {WAIT_TIMEOUT:?}, the last one was {last:?}");
    }

    /// Runs a statement with a new command id at the first of these control processes that responds.
    pub(crate) fn run_statement(
        &self,
        controls: &[usize],
        statement: &str,
    ) -> Result<result_table::ResultTable, Error> {
        let id = format!("{:032x}", rand::random::<u128>());
        self.run_command(controls, statement, &id)
    }

    /// Runs a statement with the given command id.
    pub(crate) fn run_command(
        &self,
        controls: &[usize],
        statement: &str,
        id: &str,
    ) -> Result<result_table::ResultTable, Error> {
        let request = wire::Request {
            statement: statement.to_owned(),
            command: Some(id.to_owned()),
            operator: "test".to_owned(),
        };
        let client = Client::new(self.operators(controls), Duration::from_secs(5));
        self.runtime.block_on(client.send(&request))
    }

    /// Sends a statement without waiting for the result.
    pub(crate) fn spawn_statement(
        &self,
        controls: &[usize],
        statement: &str,
        id: &str,
    ) -> JoinHandle<Result<result_table::ResultTable, Error>> {
        let request = wire::Request {
            statement: statement.to_owned(),
            command: Some(id.to_owned()),
            operator: "test".to_owned(),
        };
        let client = Client::new(self.operators(controls), WAIT_TIMEOUT);
        self.runtime
            .spawn(async move { client.send(&request).await })
    }

    /// Waits for the result of a spawned statement.
    pub(crate) fn join_statement(
        &self,
        sent: JoinHandle<Result<result_table::ResultTable, Error>>,
    ) -> Result<result_table::ResultTable, Error> {
        self.runtime
            .block_on(sent)
            .expect("the operator task does not panic")
    }

    fn operators(&self, controls: &[usize]) -> Vec<SocketAddr> {
        let all = &self.cluster.operators;
        controls.iter().map(|control| all[*control]).collect()
    }

    /// Retries a statement until it succeeds.
    pub(crate) fn run_with_retries(
        &self,
        controls: &[usize],
        statement: &str,
    ) -> result_table::ResultTable {
        let operators = self.operators(controls);
        let insisting = operate::run_with_retries(&operators, statement, WAIT_TIMEOUT);
        self.runtime.block_on(insisting).expect(statement)
    }

    /// Returns the revision of the service.
    pub(crate) fn revision(&self, controls: &[usize]) -> u64 {
        let shown = self.run_with_retries(controls, &format!("show service {SERVICE}"));
        let mut words = shown.notes[0].split_whitespace();
        let number = words.find_map(|word| word.parse().ok());
        number.expect("the first note contains the revision")
    }

    /// Waits for a leader and returns its index among the control processes.
    pub(crate) fn leader(&self, controls: &[usize]) -> usize {
        let mut leader = None;
        wait("a leader is elected", || {
            let shown = self.run_statement(controls, "show members");
            leader = shown.ok().and_then(|shown| {
                let row = shown.rows.iter().find(|row| row[3] == Cell::Flag(true));
                row.and_then(|row| match row[0] {
                    Cell::Count(number) => Some(number as usize - 1),
                    _ => None,
                })
            });
            leader.is_some()
        });
        leader.expect("the condition was met")
    }

    /// Changes the behaviour of a backend server through its control path; returns whether it accepted.
    pub(crate) fn set_behavior(&self, instance: usize, query: &str) -> bool {
        let mut request = Request::get(SERVICE, &format!("/standin?{query}"));
        request.method = ::http::Method::POST;
        let address = self.cluster.instances[instance].backend_address;
        let sent = self
            .runtime
            .block_on(http::send(address, &request, WAIT_TIMEOUT));
        sent.is_ok_and(|response| response.status == 200)
    }

    /// Returns how often a key ran at an instance, over all incarnations of its backend server.
    pub(crate) fn executed_at(&self, instance: usize, key: &str) -> usize {
        let text = fs::read_to_string(&self.cluster.instances[instance].journal);
        let text = text.unwrap_or_default();
        text.lines().filter(|line| *line == key).count()
    }

    /// Returns how many requests with a key ran at an instance.
    pub(crate) fn executions_at(&self, instance: usize) -> usize {
        let text = fs::read_to_string(&self.cluster.instances[instance].journal);
        text.unwrap_or_default().lines().count()
    }

    /// Returns how often a key ran at all instances together.
    pub(crate) fn executed(&self, key: &str) -> usize {
        (0..3).map(|instance| self.executed_at(instance, key)).sum()
    }

    /// Waits until a key runs and returns the index of the instance.
    pub(crate) fn executing_instance(&self, key: &str) -> usize {
        let mut instance = None;
        wait("the deposit runs", || {
            instance = (0..3).find(|instance| self.executed_at(*instance, key) > 0);
            instance.is_some()
        });
        instance.expect("the condition was met")
    }

    /// Sends a deposit through node 0 and waits until it runs; returns the instance that runs it and the open request.
    pub(crate) fn start_deposit(
        &self,
        key: &str,
    ) -> (usize, JoinHandle<Result<Response, Failure>>) {
        let sent = self.spawn_request(0, deposit(key, "in flight"));
        (self.executing_instance(key), sent)
    }

    /// Sends a deposit for each key at once, to the nodes in turn.
    pub(crate) fn spawn_deposits(
        &self,
        keys: &[String],
    ) -> Vec<JoinHandle<Result<Response, Failure>>> {
        let send =
            |(index, key): (usize, &String)| self.spawn_request(index % 3, deposit(key, "many"));
        keys.iter().enumerate().map(send).collect()
    }

    /// Repeats deposits until their outcome is final and returns the numbers of answered and unknown ones.
    ///
    /// Checks that no deposit ran twice and that each answered one ran once.
    pub(crate) fn resolve_outcomes(&self, keys: &[String], body: &str) -> [usize; 2] {
        let (mut answered, mut unknown) = (0, 0);
        for key in keys {
            let response = self.send_until(1, &deposit(key, body), is_final);
            if response.status == 200 {
                answered += 1;
                assert_eq!(
                    self.executed(key),
                    1,
                    "executions of the answered deposit {key}"
                );
            } else {
                unknown += 1;
                assert!(self.executed(key) <= 1, "{key} ran at most once");
            }
        }
        [answered, unknown]
    }
}

/// Returns whether the response is final: answered, or outcome unknown.
pub(crate) fn is_final(response: &Response) -> bool {
    response.status == 200 || response.header("shallotrill-error") == "outcome-unknown"
}

/// Returns whether the response is that of the backend server, from this or an earlier attempt.
pub(crate) fn is_answered(response: &Response) -> bool {
    response.status == 200
}

/// Returns whether the response reports an unknown outcome.
pub(crate) fn is_unknown(response: &Response) -> bool {
    response.header("shallotrill-error") == "outcome-unknown"
}

/// Creates a non-idempotent request with an idempotency key.
pub(crate) fn deposit(key: &str, body: &str) -> Request {
    Request::post(SERVICE, "/deposits", key, body)
}

/// Returns several new idempotency keys.
pub(crate) fn keys(count: usize) -> Vec<String> {
    (0..count).map(|_| http::new_idempotency_key()).collect()
}

/// Polls a condition until it is true, or panics after the time limit.
pub(crate) fn wait(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < end,
            "condition not met within {WAIT_TIMEOUT:?}: {what}"
        );
        std::thread::sleep(POLL_INTERVAL);
    }
}
