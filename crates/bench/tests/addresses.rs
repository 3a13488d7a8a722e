//! Addresses of installations that run at the same time.

use shallotrill_bench::cluster;

/// Number of installations; with a random last byte, two of them would share an address in almost every run.
const INSTALLATIONS: usize = 60;

/// Guards against two groups of a test run on one address: a process of one group then joins the other one.
#[test]
fn no_two_installations_share_an_address() {
    let reserve = || cluster::reserve_ip().expect("a loopback address is free");
    let threads: Vec<_> = (0..INSTALLATIONS)
        .map(|_| std::thread::spawn(reserve))
        .collect();
    let addresses = threads.into_iter().map(std::thread::JoinHandle::join);
    let mut addresses: Vec<_> = addresses
        .map(|address| address.expect("the thread ends"))
        .collect();
    addresses.sort_unstable();
    addresses.dedup();
    assert_eq!(addresses.len(), INSTALLATIONS);
}
