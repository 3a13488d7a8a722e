//! Restarts of all processes after some of them have become voters.

use tokio::time;

use shallotrill_feed::message::Departure;
use shallotrill_feed::message::Reply;
use shallotrill_items::voters;
use shallotrill_model::instance;
use shallotrill_registry::members;

use crate::Member;
use crate::POLL_INTERVAL;
use crate::change;
use crate::depart;
use crate::folder;
use crate::group;
use crate::service;
use crate::start;
use crate::start_group;
use crate::stop;
use crate::voters as voters_of;
use crate::votes;
use crate::wait_for;
use crate::wait_until_in_force;

/// Replaces a process by one with an empty disk that follows the others.
async fn lose_disk(members: &mut Vec<Member>) {
    drop(stop(members.remove(0)).await);
    let seeds = members.iter().map(|member| member.address).collect();
    members.push(start(seeds, false, folder()).await);
}

/// Stops all processes and starts them again; the first `lost_disks` of them have empty disks then.
async fn restart_all(members: Vec<Member>, lost_disks: usize) -> Vec<Member> {
    let mut folders = Vec::new();
    for member in members {
        folders.push(stop(member).await);
    }
    for lost in &mut folders[..lost_disks] {
        *lost = folder();
    }
    let mut restarted: Vec<Member> = Vec::new();
    for folder in folders {
        let seeds = restarted.first().map(|member| member.address);
        restarted.push(start(seeds.into_iter().collect(), false, folder).await);
    }
    restarted
}

struct Case {
    name: &'static str,
    /// Number of processes that lose their disks one after another; each is a voter before the next one.
    lost_one_by_one: usize,
    /// Number of other disks that are lost when all processes restart.
    lost_in_restart: usize,
}

/// Guards against a configuration that is never in force again: a process that had become a voter on a new disk was no
/// voter after a restart, and too few voters were left.
const CASES: &[Case] = &[
    Case {
        name: "one disk, and two others in the restart",
        lost_one_by_one: 1,
        lost_in_restart: 2,
    },
    Case {
        name: "four disks, and none in the restart",
        lost_one_by_one: 4,
        lost_in_restart: 0,
    },
];

#[tokio::test]
async fn a_voter_on_a_new_disk_does_not_vote_after_a_restart() {
    for case in CASES {
        let mut members = group().await;
        let item = service("a", 1, 10);
        change(&members[0], &item)
            .await
            .expect("the change is accepted");
        for _ in 0..case.lost_one_by_one {
            lose_disk(&mut members).await;
            let emptied = members.last().expect("five processes");
            wait_for("the process with a new disk is a voter", || votes(emptied)).await;
        }
        let members = restart_all(members, case.lost_in_restart).await;
        for member in &members {
            wait_until_in_force(member, &item).await;
        }
        for member in &members {
            wait_for(case.name, || votes(member)).await;
        }
    }
}

/// Guards against a vote that counts for other processes although a restart of the process would lose it.
#[tokio::test]
async fn a_process_that_cannot_store_its_vote_does_not_vote() {
    let mut members = group().await;
    let item = service("a", 1, 10);
    change(&members[0], &item)
        .await
        .expect("the change is accepted");
    drop(stop(members.remove(0)).await);
    let seeds = members.iter().map(|member| member.address).collect();
    let emptied = start(seeds, false, folder()).await;
    // The document is written under this name first, so every write fails while it is a folder.
    let blocked = emptied.folder.path().join("registers.tmp");
    std::fs::create_dir(&blocked).expect("nothing is written yet");
    wait_until_in_force(&emptied, &item).await;
    // Several rounds of maintenance end in this time.
    for _ in 0..20 {
        assert!(!votes(&emptied));
        time::sleep(POLL_INTERVAL).await;
    }
    std::fs::remove_dir(&blocked).expect("the folder is empty");
    wait_for("the process is a voter", || votes(&emptied)).await;
    members.push(emptied);
    let members = restart_all(members, 2).await;
    for member in &members {
        wait_until_in_force(member, &item).await;
    }
}

/// Guards against a sixth voter after a restart: the place of a lost disk was taken while a write failed.
#[tokio::test]
async fn a_process_whose_place_was_taken_is_no_voter_after_a_restart() {
    let mut members = group().await;
    let item = service("a", 1, 10);
    change(&members[0], &item)
        .await
        .expect("the change is accepted");
    for lost in members.drain(..2) {
        drop(stop(lost).await);
    }
    let seeds: Vec<_> = members.iter().map(|member| member.address).collect();
    let late = start(seeds.clone(), false, folder()).await;
    let blocked = late.folder.path().join("registers.tmp");
    std::fs::create_dir(&blocked).expect("nothing is written yet");
    wait_until_in_force(&late, &item).await;
    for _ in 0..2 {
        members.push(start(seeds.clone(), false, folder()).await);
    }
    for member in &members {
        wait_for("the process is a voter", || votes(member)).await;
    }
    let knows_five = || {
        let state = late.registry.state();
        let consensus = state.consensus.lock();
        let others = consensus.roster.others(state.now());
        others.filter(|(member, _)| member.votes).count() == 5
    };
    wait_for("the process knows five voters", knows_five).await;
    std::fs::remove_dir(&blocked).expect("the folder is empty");
    wait_for("the document is written", || {
        late.folder.path().join("registers").exists()
    })
    .await;
    let late = start(seeds, false, stop(late).await).await;
    wait_until_in_force(&late, &item).await;
    assert!(!votes(&late));
    assert_eq!(voters::of(&voters_of(&late).item).len(), 5);
}

/// Guards against a departure that is forgotten: a process with a new disk had copied it and was a voter, and the other
/// disks that had it were lost when all processes restarted.
#[tokio::test]
async fn a_departure_copied_to_a_new_disk_is_forgotten_in_a_restart() {
    let mut members = group().await;
    change(&members[0], &service("a", 1, 10))
        .await
        .expect("the change is accepted");
    let departure = Departure {
        router: "127.0.0.1:1".parse().expect("an address"),
        instance: instance::Name::new("i-1").expect("a valid name"),
        start_time_ms: 5,
    };
    for member in &members[..3] {
        let request = depart(member, std::slice::from_ref(&departure));
        let reply = members::handle(&member.registry.state(), &request).await;
        assert!(matches!(reply, Reply::Done), "{reply:?}");
    }
    lose_disk(&mut members).await;
    let emptied = members.last().expect("five processes");
    wait_for("the process with a new disk is a voter", || votes(emptied)).await;
    for member in restart_all(members, 2).await {
        let state = member.registry.state();
        let complete = || state.consensus.lock().is_complete(state.now());
        wait_for("the process knows what is in force", complete).await;
        let departures = state.departures.lock().of(departure.router);
        assert_eq!(departures, std::slice::from_ref(&departure));
    }
}

/// Guards against a group that never accepts a change: all processes were restarted before the first change, and none
/// was a voter any more.
#[tokio::test]
async fn no_process_votes_after_a_restart_before_the_first_change() {
    // With the first list on disk, and perhaps without it.
    for (is_formed, lost_disks) in [(true, 0), (true, 2), (false, 0), (false, 2)] {
        let members = if is_formed {
            group().await
        } else {
            start_group().await
        };
        let members = restart_all(members, lost_disks).await;
        let item = service("a", 1, 10);
        change(&members[4], &item)
            .await
            .expect("the change is accepted");
        for member in &members {
            wait_until_in_force(member, &item).await;
            wait_for("the process is a voter", || votes(member)).await;
        }
    }
}
