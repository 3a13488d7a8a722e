//! Joining of control processes that do not vote.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::time::Duration;

use tempfile::TempDir;
use tokio::runtime::Runtime;
use tokio::time;

use shallotrill_control::run;
use shallotrill_control::run::Control;
use shallotrill_operator::client::Client;
use shallotrill_operator::wire::Request;
use shallotrill_process::settings::Role;
use shallotrill_process::settings::Settings;

/// Timeout until the group is complete.
const JOIN_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval between two requests for the members.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

struct Case {
    name: &'static str,
    processes: usize,
    voters: usize,
}

/// Guards against control processes without a vote that never receive the log and so cannot feed nodes.
#[rustfmt::skip]
const CASES: &[Case] = &[
    Case { name: "one learner", processes: 2, voters: 1 },
    Case { name: "two learners that join at the same time", processes: 5, voters: 3 },
];

#[test]
fn processes_without_a_vote_become_learners() {
    for case in CASES {
        let folder = TempDir::new().expect("create a temporary folder");
        let runtime = Runtime::new().expect("create a Tokio runtime");
        let roles = runtime.block_on(async {
            let controls = start(folder.path(), case).await;
            let members = time::timeout(JOIN_TIMEOUT, wait_for_members(&controls, case.processes));
            members.await.unwrap_or_else(|_| panic!("{}", case.name))
        });
        let learners = roles.iter().filter(|role| role.contains("learner")).count();
        assert_eq!(learners, case.processes - case.voters, "{}", case.name);
    }
}

async fn start(folder: &Path, case: &Case) -> Vec<Control> {
    let addresses = free_addresses(case.processes);
    let mut controls = Vec::new();
    for index in 0..case.processes {
        let text = settings(folder, &addresses, index, case.voters);
        let settings = Settings::parse(&text, folder).expect("the settings are valid");
        let Role::Control(control) = &settings.role else {
            panic!("the settings are not those of a control process");
        };
        let control = run::start(&settings, control).await;
        controls.push(control.expect("start a control process"));
    }
    controls
}

/// Reserves free ports. All listeners stay open until the last port is known, so that the ports differ.
fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0").expect("bind a free port"))
        .collect();
    let address = |listener: &TcpListener| listener.local_addr().expect("listener has an address");
    listeners.iter().map(address).collect()
}

fn settings(folder: &Path, addresses: &[SocketAddr], index: usize, voters: usize) -> String {
    let peers: Vec<String> = (0..addresses.len())
        .filter(|other| *other != index)
        .map(|other| {
            let address = addresses[other];
            format!(
                "{{ id = {}, address = \"{address}\", zone = \"z\" }}",
                other + 1
            )
        })
        .collect();
    let voters: Vec<String> = (1..=voters).map(|id| id.to_string()).collect();
    format!(
        "[process]\ninstance = \"control-{index}\"\nzone = \"z\"\nregion = \"r\"\n\
         [control]\nid = {}\nrpc_listen = \"{}\"\noperator_listen = \"127.0.0.1:0\"\n\
         data_folder = \"{}\"\npeers = [{}]\nvoters = [{}]\n",
        index + 1,
        addresses[index],
        folder.join(index.to_string()).display(),
        peers.join(", "),
        voters.join(", "),
    )
}

/// Waits until the last process lists all members; returns their rows.
async fn wait_for_members(controls: &[Control], processes: usize) -> Vec<String> {
    let last = controls.last().expect("each case has control processes");
    let client = Client::new(vec![last.addresses().operator], JOIN_TIMEOUT);
    let request = Request {
        statement: "show members".to_owned(),
        command: None,
        operator: "test".to_owned(),
    };
    loop {
        if let Ok(table) = client.send(&request).await
            && table.rows.len() == processes
        {
            return table.rows.iter().map(|row| format!("{row:?}")).collect();
        }
        time::sleep(POLL_INTERVAL).await;
    }
}
