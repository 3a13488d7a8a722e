//! Tests that the decision packages work without HTTP, JSON or sockets.
//!
//! A minimal front end serves lines of text, with all processes as values in one
//! thread. It would not compile if a decision package required an encoding.

use std::fs;
use std::path::Path;
use std::time::Duration;

use shallotrill_claim::acceptor;
use shallotrill_claim::acceptor::Acceptor;
use shallotrill_claim::ballot::Sequence;
use shallotrill_claim::change::Change;
use shallotrill_claim::change::Holder;
use shallotrill_claim::epoch;
use shallotrill_claim::epoch::Group;
use shallotrill_claim::epoch::Seat;
use shallotrill_claim::epoch::VotingState;
use shallotrill_claim::grant;
use shallotrill_claim::key::Key;
use shallotrill_claim::proposer::Failure;
use shallotrill_claim::proposer::Proposer;
use shallotrill_claim::proposer::Step;
use shallotrill_claim::proposer::Task;
use shallotrill_claim::record::Refusal;
use shallotrill_claim::record::Report;
use shallotrill_limits::config::Config as GateConfig;
use shallotrill_limits::gate::Gate;
use shallotrill_limits::ticket;
use shallotrill_limits::ticket::Release;
use shallotrill_limits::ticket::Ticket;
use shallotrill_limits::ticket::Verdict;
use shallotrill_model::attempt;
use shallotrill_model::class;
use shallotrill_model::class::Class;
use shallotrill_model::digest::Digest;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::instance;
use shallotrill_model::outcome::Answer;
use shallotrill_model::partner;
use shallotrill_model::region;
use shallotrill_model::service;
use shallotrill_model::target::State;
use shallotrill_model::target::Target;
use shallotrill_model::time::Instant;
use shallotrill_model::zone;
use shallotrill_routing::choice::Query;
use shallotrill_routing::config::Config as RoutingConfig;
use shallotrill_routing::table::Table;

struct Case {
    name: &'static str,
    /// Requests in order: method, path, partner and idempotency key, or `-` for no key.
    lines: &'static [&'static str],
    expected: &'static [&'static str],
}

const KEY: &str = "01a24009-24aa-7034-9e81-e04d1d1489eb";

/// Guards against decision code that requires HTTP.
const CASES: &[Case] = &[
    Case {
        name: "a repeated look-up runs again",
        lines: &["GET /birds growers -", "GET /birds growers -"],
        expected: &["ran 1", "ran 2"],
    },
    Case {
        name: "a repeated deposit gets the stored response",
        lines: &["POST /deposits growers KEY", "POST /deposits growers KEY"],
        expected: &["ran 1", "stored 1"],
    },
    Case {
        name: "the idempotency key of a different request",
        lines: &["POST /deposits growers KEY", "POST /orders growers KEY"],
        expected: &["ran 1", "key reused"],
    },
    Case {
        name: "a deposit without a key",
        lines: &["POST /deposits growers -"],
        expected: &["key invalid"],
    },
    Case {
        name: "the same key of another partner",
        lines: &["POST /deposits growers KEY", "POST /deposits butchers KEY"],
        expected: &["ran 1", "ran 2"],
    },
];

/// A front end with one target, its gate and a claim group of three acceptors.
struct FrontEnd {
    rules: Vec<class::Rule>,
    routing: Table,
    gate: Gate,
    group: Group,
    acceptors: Vec<Acceptor>,
    sequence: Sequence,
    executed: u64,
    last_id: u64,
}

fn service_name() -> service::Name {
    service::Name::new("payments").expect("the name is valid")
}

fn new_front_end() -> FrontEnd {
    let zone = zone::Name::new("hamilton").expect("the name is valid");
    let region = region::Name::new("waikato").expect("the name is valid");
    let target = Target {
        service: service_name(),
        instance: instance::Name::new("hamilton-1").expect("the name is valid"),
        incarnation: Incarnation(1),
        zone: zone.clone(),
        region: region.clone(),
        address: ([127, 0, 0, 1], 1).into(),
        state: State::Ready,
        slots: 10,
    };
    let mut routing = Table::new(RoutingConfig::new(region, zone));
    routing.apply(&[target], Instant(0));
    let seat = |member| Seat {
        member: epoch::Member(member),
        disk: epoch::Disk(u64::from(member)),
        voting_state: VotingState::Voting,
    };
    let seats = vec![seat(1), seat(2), seat(3)];
    let group = Group::new(epoch::Number(1), seats).expect("the seats form a group");
    let acceptors = (1..=3).map(|member| acceptor(member, &group)).collect();
    let rule = |method: &str, class| class::Rule {
        method: method.into(),
        path: "/".into(),
        class,
        priority: 0,
        join: false,
    };
    FrontEnd {
        rules: vec![
            rule("GET", Class::Idempotent),
            rule("POST", Class::NonIdempotent),
        ],
        routing,
        gate: Gate::new(GateConfig::new(Incarnation(1), 10, 10)),
        group,
        acceptors,
        sequence: Sequence::new(epoch::Member(1), 1),
        executed: 0,
        last_id: 0,
    }
}

fn acceptor(member: u32, group: &Group) -> Acceptor {
    let mut acceptor = Acceptor::new(acceptor::Config {
        member: epoch::Member(member),
        disk: epoch::Disk(u64::from(member)),
        limit_bytes: 1 << 20,
        reserve_bytes: 1 << 16,
    });
    acceptor
        .enter(group)
        .expect("the acceptor is a member of the group");
    acceptor
}

impl FrontEnd {
    fn handle(&mut self, line: &str) -> String {
        let words: Vec<&str> = line.split(' ').collect();
        let [method, path, partner, key] = words[..] else {
            return "line invalid".to_owned();
        };
        self.last_id += 1;
        let now = Instant(self.last_id * 1_000);
        let partner = partner::Name::new(partner).expect("the name is valid");
        let rule = class::find(&self.rules, method, path).expect("a rule matches the request");
        let class = rule.class;
        let name = service_name();
        let query = Query {
            service: &name,
            exclude: &[],
            priority: 0,
        };
        let choice = self.routing.choose(&query, now, &mut || 0);
        let choice = choice.expect("a target is available");
        let id = ticket::Id(self.last_id);
        let ticket = Ticket {
            id,
            partner: partner.clone(),
            priority: 0,
            timely_until: now + Duration::from_secs(1),
            deadline: now + Duration::from_secs(1),
        };
        assert_eq!(self.gate.offer(ticket, now), Verdict::Run);
        let result = match class {
            Class::Idempotent => Ok(self.execute()),
            Class::NonIdempotent => self.claim(path, partner, key, &choice.instance),
        };
        let release = Release {
            id,
            latency: Duration::from_millis(1),
            outcome: ticket::Outcome::Success,
        };
        drop(self.gate.release(release, now + Duration::from_millis(1)));
        result.unwrap_or_else(|refusal| refusal)
    }

    fn execute(&mut self) -> String {
        self.executed += 1;
        format!("ran {}", self.executed)
    }

    fn claim(
        &mut self,
        path: &str,
        partner: partner::Name,
        key: &str,
        instance: &instance::Name,
    ) -> Result<String, String> {
        let key = key.replace("KEY", KEY);
        let key = Key::parse(partner, service_name(), &key);
        let key = key.or(Err("key invalid".to_owned()))?;
        let mut digest = [0; 32];
        digest[..path.len()].copy_from_slice(path.as_bytes());
        let holder = Holder {
            instance: instance.clone(),
            incarnation: Incarnation(1),
        };
        let open = Change::Open {
            digest: Digest(digest),
            attempt: attempt::Number::FIRST,
            holder: holder.clone(),
            grant: grant::Id(self.last_id),
        };
        match self.run_round(&key, open) {
            Ok(Report::Granted { .. }) => {}
            Err(Failure::Refused(Refusal::Done(answer))) => {
                let body = answer.body.unwrap_or_default();
                return Ok(format!("stored {}", String::from_utf8_lossy(&body)));
            }
            Err(Failure::Refused(Refusal::KeyReused(_))) => return Err("key reused".to_owned()),
            other => return Err(format!("{other:?}")),
        }
        let text = self.execute();
        let finish = Change::Finish {
            attempt: attempt::Number::FIRST,
            holder,
            answer: Answer {
                status: 200,
                content_type: String::new(),
                body: Some(self.executed.to_string().into_bytes()),
                digest: Digest([0; 32]),
            },
        };
        self.run_round(&key, finish)
            .map_err(|error| error.to_string())?;
        Ok(text)
    }

    fn run_round(&mut self, key: &Key, change: Change) -> Result<Report, Failure> {
        let task = Task::Change(change);
        let mut proposer = Proposer::new(self.group.clone(), key.clone(), task);
        let mut envelopes = proposer.start(&mut self.sequence);
        while let Some(envelope) = envelopes.pop() {
            let index = envelope.to.0 as usize - 1;
            let (reply, _write) = self.acceptors[index].step(&envelope.message);
            match proposer.step(envelope.to, proposer.ballot(), &reply) {
                Step::Wait => {}
                Step::Send(more) => envelopes = more,
                Step::Finished(result) => return result,
            }
        }
        Err(proposer.expire())
    }
}

#[test]
fn requests_are_served_without_http() {
    for case in CASES {
        let mut front_end = new_front_end();
        let answers: Vec<String> = case
            .lines
            .iter()
            .map(|line| front_end.handle(line))
            .collect();
        assert_eq!(answers, case.expected, "{}", case.name);
    }
}

/// Decision packages, which must not depend on an encoding, a transport or a runtime.
const DECISION_PACKAGES: &[&str] = &[
    "model",
    "routing",
    "limits",
    "retry",
    "membership",
    "claim",
    "consensus",
    "catalog",
    "language",
];

/// Dependencies on encodings, transports and runtimes that a decision package must not have.
const FORBIDDEN_DEPENDENCIES: &[&str] = &[
    "http",
    "hyper",
    "tokio",
    "jsonrpsee",
    "dropshot",
    "serde_json",
    "postcard",
    "base64",
    "toml",
];

#[test]
fn decision_packages_do_not_depend_on_encodings() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    for package in DECISION_PACKAGES {
        let manifest = crates.join(package).join("Cargo.toml");
        let text = fs::read_to_string(&manifest).expect("the manifest can be read");
        let dependencies = text.split("[dev-dependencies]").next().unwrap_or_default();
        for name in FORBIDDEN_DEPENDENCIES {
            let found = dependencies.lines().any(|line| line.starts_with(name));
            assert!(!found, "{package} depends on {name}");
        }
    }
}
