//! One installation of real processes that several cases use one after another.

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
use shallotrill_bench::http::Answer;
use shallotrill_bench::http::Ask;
use shallotrill_bench::http::Failure;
use shallotrill_bench::operate;
use shallotrill_language::result_table;
use shallotrill_language::result_table::Cell;
use shallotrill_operator::client::Client;
use shallotrill_operator::client::Error;
use shallotrill_operator::wire;

/// The service of every scene: GETs are idempotent, POSTs are not.
pub(crate) const SERVICE: &str = "payments";

/// Longest wait for a condition; generous, because the machine may be busy.
pub(crate) const LIMIT: Duration = Duration::from_secs(30);

/// Pause between two looks at a condition.
const PAUSE: Duration = Duration::from_millis(50);

/// A step of the system, the fault that meets it, and what must come of it.
pub(crate) struct Case {
    /// What the system is doing.
    pub(crate) step: &'static str,
    /// What goes wrong meanwhile.
    pub(crate) fault: &'static str,
    /// What must be seen.
    pub(crate) expected: &'static str,
    /// Brings the fault about and checks what is expected.
    pub(crate) run: fn(&mut Scene),
}

/// A running installation.
pub(crate) struct Scene {
    pub(crate) cluster: Cluster,
    pub(crate) runtime: Runtime,
    folder: Option<TempDir>,
}

/// Runs the cases in their order in one installation and reports all that failed.
pub(crate) fn run_all(cases: &[Case]) {
    let mut scene = Scene::start();
    let mut failed = Vec::new();
    for case in cases {
        let started = Instant::now();
        let result = panic::catch_unwind(AssertUnwindSafe(|| (case.run)(&mut scene)));
        let healed = panic::catch_unwind(AssertUnwindSafe(|| scene.heal()));
        let text = format!("{} / {} / {}", case.step, case.fault, case.expected);
        println!("{:?} {text}", started.elapsed());
        if result.is_err() || healed.is_err() {
            failed.push(text);
        }
    }
    if !failed.is_empty() {
        let folder = scene.folder.take().map(TempDir::keep);
        panic!("failed, logs in {folder:?}:\n{}", failed.join("\n"));
    }
    scene.cluster.stop().expect("processes end");
}

/// Builds the programs once into the target folder of this test, with the profile of this test.
fn build() {
    static BUILT: OnceLock<()> = OnceLock::new();
    BUILT.get_or_init(|| {
        let folder = cluster::programs().expect("the path of the test is known");
        let target = folder.parent().expect("profiles have a folder each");
        let mut command = Command::new(env!("CARGO"));
        command
            .args(["build", "--quiet", "--locked", "--workspace"])
            .args(["--bins", "--examples", "--target-dir"])
            .arg(target)
            .current_dir(Path::new(env!("CARGO_MANIFEST_DIR")));
        if folder.ends_with("release") {
            command.arg("--release");
        }
        let status = command.status().expect("cargo runs");
        assert!(status.success(), "the programs are built");
    });
}

impl Scene {
    /// Starts an installation with the service and waits until every node takes calls.
    pub(crate) fn start() -> Self {
        build();
        let folder = tempfile::tempdir().expect("a folder can be made");
        let service = Service {
            name: SERVICE,
            targets: 3,
            slots: 10,
            service_time: Duration::from_millis(5),
            crash_path: Some("/crash"),
        };
        let layout = Layout {
            programs: cluster::programs().expect("the path of the test is known"),
            folder: folder.path().to_path_buf(),
            ip: cluster::own_ip(),
            region: "waikato",
            zones: vec!["hamilton", "cambridge", "matamata"],
            services: vec![service.clone()],
            log: "info",
        };
        let runtime = Runtime::new().expect("a runtime starts");
        let cluster = Cluster::start(&layout).expect("the processes start");
        let scene = Self {
            cluster,
            runtime,
            folder: Some(folder),
        };
        let operators = &scene.cluster.operators;
        scene
            .runtime
            .block_on(operate::insist(operators, "show services", LIMIT))
            .expect("a quorum forms");
        scene
            .runtime
            .block_on(operate::create(operators, &service))
            .expect("the service is created");
        scene.settle();
        scene
    }

    /// Waits until each control process answers, knows all targets, and each node takes deposits.
    pub(crate) fn settle(&self) {
        wait("all targets known everywhere", || {
            (0..3).all(|control| {
                let shown = self.operate(&[control], &format!("show targets of {SERVICE}"));
                shown.is_ok_and(|shown| {
                    let text = shown.to_string();
                    shown.rows.len() == 3 && text.matches(" ready ").count() == 3
                })
            })
        });
        for node in 0..3 {
            wait("the node takes deposits", || {
                let answer = self.send(node, &deposit(&http::key(), "settle"));
                answer.is_ok_and(|answer| answer.status == 200)
            });
        }
    }

    /// Wakes and restarts whatever a case left frozen or dead.
    pub(crate) fn heal(&mut self) {
        let cluster = &mut self.cluster;
        let of_places = cluster
            .places
            .iter_mut()
            .flat_map(|place| [&mut place.node, &mut place.backend]);
        for process in cluster.controls.iter_mut().chain(of_places) {
            if process.is_running() {
                process.signal(Signal::CONT).expect("signals are sent");
            } else {
                process.start().expect("processes start");
            }
        }
        for place in 0..3 {
            wait("the backend server is up", || {
                self.steer(place, "mode=normal&service-us=5000")
            });
        }
        self.settle();
    }

    /// Sends a request to a node and waits for the answer.
    pub(crate) fn send(&self, node: usize, ask: &Ask) -> Result<Answer, Failure> {
        self.send_to(self.cluster.places[node].caller, ask)
    }

    /// Sends a request to an address and waits for the answer.
    pub(crate) fn send_to(&self, address: SocketAddr, ask: &Ask) -> Result<Answer, Failure> {
        self.runtime.block_on(http::send(address, ask, LIMIT))
    }

    /// Sends a request to a node and goes on.
    pub(crate) fn spawn(&self, node: usize, ask: Ask) -> JoinHandle<Result<Answer, Failure>> {
        let caller = self.cluster.places[node].caller;
        self.runtime
            .spawn(async move { http::send(caller, &ask, LIMIT).await })
    }

    /// Waits for a request that was sent.
    pub(crate) fn join(
        &self,
        sent: JoinHandle<Result<Answer, Failure>>,
    ) -> Result<Answer, Failure> {
        self.runtime.block_on(sent).expect("callers do not panic")
    }

    /// Sends a request to a node again and again until the answer is as expected.
    pub(crate) fn until(&self, node: usize, ask: &Ask, expected: fn(&Answer) -> bool) -> Answer {
        let mut last = None;
        let end = Instant::now() + LIMIT;
        while Instant::now() < end {
            match self.send(node, ask) {
                Ok(answer) if expected(&answer) => return answer,
                other => last = Some(other),
            }
            std::thread::sleep(PAUSE);
        }
        panic!("no expected answer within {LIMIT:?}, the last was {last:?}");
    }

    /// Runs a statement at some of the control processes.
    pub(crate) fn operate(
        &self,
        controls: &[usize],
        statement: &str,
    ) -> Result<result_table::ResultTable, Error> {
        let id = format!("{:032x}", rand::random::<u128>());
        self.command(controls, statement, &id)
    }

    /// Runs a statement with a stated command id.
    pub(crate) fn command(
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

    /// Sends a statement to control processes and goes on.
    pub(crate) fn spawn_command(
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
        let client = Client::new(self.operators(controls), LIMIT);
        self.runtime
            .spawn(async move { client.send(&request).await })
    }

    /// Waits for a statement that was sent.
    pub(crate) fn join_statement(
        &self,
        sent: JoinHandle<Result<result_table::ResultTable, Error>>,
    ) -> Result<result_table::ResultTable, Error> {
        self.runtime.block_on(sent).expect("operators do not panic")
    }

    fn operators(&self, controls: &[usize]) -> Vec<SocketAddr> {
        let all = &self.cluster.operators;
        controls.iter().map(|control| all[*control]).collect()
    }

    /// Repeats a statement until it succeeds.
    pub(crate) fn insist(&self, controls: &[usize], statement: &str) -> result_table::ResultTable {
        let operators = self.operators(controls);
        let insisting = operate::insist(&operators, statement, LIMIT);
        self.runtime.block_on(insisting).expect(statement)
    }

    /// The revision of the service.
    pub(crate) fn revision(&self, controls: &[usize]) -> u64 {
        let shown = self.insist(controls, &format!("show service {SERVICE}"));
        let mut words = shown.notes[0].split_whitespace();
        let number = words.find_map(|word| word.parse().ok());
        number.expect("the first note has the revision")
    }

    /// Member that leads, as an index of the control processes.
    pub(crate) fn leader(&self, controls: &[usize]) -> usize {
        let mut leader = None;
        wait("a leader is known", || {
            let shown = self.operate(controls, "show members");
            leader = shown.ok().and_then(|shown| {
                let row = shown.rows.iter().find(|row| row[3] == Cell::Flag(true));
                row.and_then(|row| match row[0] {
                    Cell::Count(number) => Some(number as usize - 1),
                    _ => None,
                })
            });
            leader.is_some()
        });
        leader.expect("waited for")
    }

    /// Changes the behaviour of a backend server.
    pub(crate) fn steer(&self, place: usize, query: &str) -> bool {
        let mut ask = Ask::get(SERVICE, &format!("/standin?{query}"));
        ask.method = ::http::Method::POST;
        let address = self.cluster.places[place].backend_address;
        let sent = self.runtime.block_on(http::send(address, &ask, LIMIT));
        sent.is_ok_and(|answer| answer.status == 200)
    }

    /// How often a key was run at a place, over all lives of its backend server.
    pub(crate) fn executed_at(&self, place: usize, key: &str) -> usize {
        let text = fs::read_to_string(&self.cluster.places[place].journal);
        let text = text.unwrap_or_default();
        text.lines().filter(|line| *line == key).count()
    }

    /// How many keyed requests a place ran.
    pub(crate) fn executions_at(&self, place: usize) -> usize {
        let text = fs::read_to_string(&self.cluster.places[place].journal);
        text.unwrap_or_default().lines().count()
    }

    /// How often a key was run anywhere.
    pub(crate) fn executed(&self, key: &str) -> usize {
        (0..3).map(|place| self.executed_at(place, key)).sum()
    }

    /// Waits until a key runs and returns where.
    pub(crate) fn place_of(&self, key: &str) -> usize {
        let mut place = None;
        wait("the deposit runs", || {
            place = (0..3).find(|place| self.executed_at(*place, key) > 0);
            place.is_some()
        });
        place.expect("waited for")
    }

    /// The place that takes a new deposit, with its entry at another node, while it runs.
    pub(crate) fn in_flight(&self, key: &str) -> (usize, JoinHandle<Result<Answer, Failure>>) {
        let sent = self.spawn(0, deposit(key, "in flight"));
        (self.place_of(key), sent)
    }

    /// A number of keys, each sent by a caller of its own to a node in turn.
    pub(crate) fn many(&self, keys: &[String]) -> Vec<JoinHandle<Result<Answer, Failure>>> {
        let send = |(index, key): (usize, &String)| self.spawn(index % 3, deposit(key, "many"));
        keys.iter().enumerate().map(send).collect()
    }

    /// Repeats deposits until they have outcomes; none ran twice, and each answered one ran once.
    pub(crate) fn outcomes(&self, keys: &[String], body: &str) -> [usize; 2] {
        let (mut answered, mut unknown) = (0, 0);
        for key in keys {
            let answer = self.until(1, &deposit(key, body), is_settled);
            if answer.status == 200 {
                answered += 1;
                assert_eq!(self.executed(key), 1, "{key} is answered and ran once");
            } else {
                unknown += 1;
                assert!(self.executed(key) <= 1, "{key} ran at most once");
            }
        }
        [answered, unknown]
    }
}

/// Whether the answer is final.
pub(crate) fn is_settled(answer: &Answer) -> bool {
    answer.status == 200 || answer.header("shallotrill-error") == "outcome-unknown"
}

/// Whether the deposit was answered by the backend server, now or earlier.
pub(crate) fn is_answered(answer: &Answer) -> bool {
    answer.status == 200
}

/// Whether the answer says that nobody knows the outcome.
pub(crate) fn is_unknown(answer: &Answer) -> bool {
    answer.header("shallotrill-error") == "outcome-unknown"
}

/// A deposit.
pub(crate) fn deposit(key: &str, body: &str) -> Ask {
    Ask::post(SERVICE, "/deposits", key, body)
}

/// Several new keys.
pub(crate) fn keys(count: usize) -> Vec<String> {
    (0..count).map(|_| http::key()).collect()
}

/// Waits until a condition holds.
pub(crate) fn wait(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + LIMIT;
    while !condition() {
        assert!(Instant::now() < end, "not within {LIMIT:?}: {what}");
        std::thread::sleep(PAUSE);
    }
}
