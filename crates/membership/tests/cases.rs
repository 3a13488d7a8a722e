//! Refusals, expiry under suspicion, takeover, and the view at a switch of source.

use std::time::Duration;

use shallotrill_membership::announcement::Announcement;
use shallotrill_membership::announcement::Session;
use shallotrill_membership::change::Refusal;
use shallotrill_membership::config::Config;
use shallotrill_membership::contact::Contact;
use shallotrill_membership::incarnation;
use shallotrill_membership::incarnation::Life;
use shallotrill_membership::owner::Owner;
use shallotrill_membership::table::Status;
use shallotrill_membership::table::Table;
use shallotrill_membership::view::View;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::instance;
use shallotrill_model::region;
use shallotrill_model::service;
use shallotrill_model::target::State;
use shallotrill_model::target::Target;
use shallotrill_model::time::Instant;
use shallotrill_model::time::Wall;
use shallotrill_model::zone;

const fn at(ms: u64) -> Instant {
    Instant(ms * 1_000)
}

fn name(number: usize) -> instance::Name {
    instance::Name::new(&format!("n{number}")).expect("valid")
}

fn payments() -> service::Name {
    service::Name::new("payments").expect("valid")
}

fn announcement(number: usize, incarnation: u64, sequence: u64, port: u16) -> Announcement {
    let target = Target {
        service: payments(),
        instance: name(number),
        incarnation: Incarnation(incarnation),
        zone: zone::Name::new("hamilton").expect("valid"),
        region: region::Name::new("waikato").expect("valid"),
        address: ([127, 0, 0, 1], port).into(),
        state: if sequence > 1 {
            State::Draining
        } else {
            State::Ready
        },
        slots: 10,
    };
    let session = Session { node: 1, sequence };
    Announcement { target, session }
}

/// A table that holds the leases of nodes `0..nodes`.
fn table(source: &str, nodes: usize, now: Instant) -> Table {
    let name = instance::Name::new(source).expect("valid");
    let mut table = Table::new(Owner { name, start: 1 }, Config::default());
    for number in 0..nodes {
        table
            .announce(announcement(number, 5, 1, 80), now)
            .expect("nothing is known");
    }
    table
}

struct Offer {
    name: &'static str,
    content: (u64, u64, u16),
    at: Instant,
    expected: Result<(), Refusal>,
}

#[rustfmt::skip]
const fn offer(name: &'static str, content: (u64, u64, u16), at: Instant, expected: Result<(), Refusal>) -> Offer {
    Offer { name, content, at, expected }
}

const LATE: Refusal = Refusal::Late(Session {
    node: 1,
    sequence: 1,
});
const REUSED: Refusal = Refusal::Reused(Session {
    node: 1,
    sequence: 1,
});

/// Guards against a delayed announcement that revives an old life or undoes a drain, and against two instances of one name.
#[rustfmt::skip]
const OFFERS: &[Offer] = &[
    offer("older incarnation", (4, 9, 80), at(0), Err(Refusal::Superseded(Incarnation(5)))),
    offer("repeated", (5, 1, 80), at(0), Ok(())),
    offer("drain", (5, 2, 80), at(0), Ok(())),
    offer("delayed", (5, 0, 80), at(0), Err(LATE)),
    offer("restarted", (6, 0, 80), at(0), Ok(())),
    offer("other address after the holder fell silent", (6, 1, 81), at(2_000), Ok(())),
    offer("same session with another content", (5, 1, 81), at(2_000), Err(REUSED)),
];

#[test]
fn announcements_are_ordered() {
    for case in OFFERS {
        let mut table = table("a", 1, at(0));
        let (incarnation, sequence, port) = case.content;
        let result = table.announce(announcement(0, incarnation, sequence, port), case.at);
        assert_eq!(result.map(|_| ()), case.expected, "{}", case.name);
    }
    let mut other = table("b", 0, at(0));
    let mut table = table("a", 1, at(0));
    other.exchange(&table.export(None, at(0)), at(0));
    let elsewhere = other.announce(announcement(0, 6, 1, 81), at(1_000));
    assert!(
        matches!(elsewhere, Err(Refusal::Conflict { .. })),
        "{elsewhere:?}"
    );
    let conflict = table.announce(announcement(0, 6, 1, 81), at(1_000));
    assert!(
        matches!(conflict, Err(Refusal::Conflict { .. })),
        "{conflict:?}"
    );
    table
        .leave(&name(0), Incarnation(5), at(0))
        .expect("it is live");
    let left = table.announce(announcement(0, 5, 1, 80), at(0));
    assert_eq!(left.map(|_| ()), Err(Refusal::Left(Incarnation(5))));
}

struct Silence {
    name: &'static str,
    /// Nodes of ten that renew until the end.
    renewing: usize,
    heard: usize,
    /// When contact begins.
    contact: Instant,
    expired: usize,
    suspect: bool,
}

/// Guards against a mass expiry by a process that is cut off, and against a failed zone that is never removed.
#[rustfmt::skip]
const SILENCES: &[Silence] = &[
    Silence { name: "few are silent", renewing: 6, heard: 0, contact: at(0), expired: 4, suspect: false },
    Silence { name: "cut off", renewing: 0, heard: 0, contact: at(0), expired: 0, suspect: true },
    Silence { name: "cut off from most", renewing: 4, heard: 0, contact: at(0), expired: 0, suspect: true },
    Silence { name: "zone failed", renewing: 0, heard: 2, contact: at(0), expired: 10, suspect: false },
    Silence { name: "contact just returned", renewing: 0, heard: 2, contact: at(5_000), expired: 0, suspect: true },
    Silence { name: "contact returned a lease ago", renewing: 0, heard: 2, contact: at(2_800), expired: 10, suspect: false },
    Silence { name: "zone failed with a control process", renewing: 0, heard: 1, contact: at(0), expired: 10, suspect: false },
];

#[test]
fn expiry_needs_contact() {
    for case in SILENCES {
        let mut table = table("a", 10, at(0));
        let mut expired = 0;
        for ms in (0..6_000).step_by(100) {
            // The last heartbeats before the cut are spread over one heartbeat interval.
            let renews = |node: &usize| *node < case.renewing || ms == *node as u64 * 100;
            for node in (0..10).filter(renews) {
                let renewed = table.renew(&name(node), Incarnation(5), at(ms));
                renewed.expect("it is known");
            }
            let heard = if at(ms) < case.contact { 0 } else { case.heard };
            expired += table.expire(at(ms), &Contact { others: 2, heard }).len();
        }
        let suspect = matches!(table.status(), Status::Suspect { .. });
        assert_eq!(
            (expired, suspect),
            (case.expired, case.suspect),
            "{}",
            case.name
        );
    }
}

struct Takeover {
    name: &'static str,
    /// Nodes of ten that renew at the other process.
    moved: usize,
    heard: usize,
    at: Instant,
    live: usize,
}

/// Guards against targets lost with the control process that held their leases, and against ones that stay after it.
#[rustfmt::skip]
const TAKEOVERS: &[Takeover] = &[
    Takeover { name: "within the grace", moved: 4, heard: 1, at: at(4_900), live: 10 },
    Takeover { name: "after the grace", moved: 4, heard: 1, at: at(5_000), live: 4 },
    Takeover { name: "without a majority", moved: 4, heard: 0, at: at(60_000), live: 10 },
];

#[test]
fn leases_of_a_dead_owner_move_or_expire() {
    for case in TAKEOVERS {
        let dead = table("a", 10, at(0));
        let mut table = table("b", 0, at(0));
        table.exchange(&dead.export(None, at(0)), at(0));
        for node in 0..case.moved {
            table
                .renew(&name(node), Incarnation(5), case.at)
                .expect("it is known");
        }
        let heard = case.heard;
        table.expire(at(0), &Contact { others: 2, heard });
        table.expire(case.at, &Contact { others: 2, heard });
        let live = table.rows().filter(|row| row.is_live()).count();
        assert_eq!(live, case.live, "{}", case.name);
    }
}

struct Reader {
    name: &'static str,
    change: fn(&mut Table),
    /// Whether a node gets a snapshot, then the live and the removed rows that it gets.
    node: (bool, usize, usize),
    /// Live rows at another control process after an exchange.
    elsewhere: usize,
}

/// Announces node 0, which served `payments` in incarnation 5, for another service.
fn serve(table: &mut Table, service: &str, incarnation: u64) {
    let mut other = announcement(0, incarnation, 1, 80);
    other.target.service = service::Name::new(service).expect("valid");
    table.announce(other, at(0)).expect("it is newer");
}

fn leave(table: &mut Table) {
    table
        .leave(&name(0), Incarnation(5), at(0))
        .expect("it is live");
}

fn prune(table: &mut Table) {
    table.expire(
        at(600_000),
        &Contact {
            others: 2,
            heard: 0,
        },
    );
}

/// Guards against a reader that keeps a target which left, moved to another service, or was forgotten while it was away.
#[rustfmt::skip]
const READERS: &[Reader] = &[
    Reader { name: "idle", change: |_| (), node: (false, 0, 0), elsewhere: 2 },
    Reader { name: "drain", change: |t| drop(t.announce(announcement(0, 5, 2, 80), at(0))), node: (false, 1, 0), elsewhere: 2 },
    Reader { name: "left", change: leave, node: (false, 0, 1), elsewhere: 1 },
    Reader { name: "other service", change: |t| serve(t, "bookings", 6), node: (false, 0, 1), elsewhere: 2 },
    Reader { name: "two other services", change: |t| { serve(t, "bookings", 6); serve(t, "catalogue", 7); }, node: (false, 0, 1), elsewhere: 2 },
    Reader { name: "forgotten", change: |t| { leave(t); prune(t); }, node: (true, 1, 0), elsewhere: 1 },
];

#[test]
fn readers_drop_what_is_gone() {
    for case in READERS {
        let mut source = table("a", 2, at(0));
        let mut other = table("b", 0, at(0));
        other.exchange(&source.export(None, at(0)), at(0));
        let held = source.version();
        (case.change)(&mut source);
        let difference = source.difference(Some(&held), &[payments()]);
        let sizes = (difference.rows.len(), difference.removed.len());
        let node = (difference.is_snapshot(), sizes.0, sizes.1);
        assert_eq!(node, case.node, "{}", case.name);
        other.exchange(&source.export(Some(&held), at(0)), at(0));
        let live = other.rows().filter(|row| row.is_live()).count();
        assert_eq!(live, case.elsewhere, "{}", case.name);
    }
}

struct Gain {
    name: &'static str,
    /// Whether the reader names the gained service.
    fresh: bool,
    /// Rows that it gets, and rows that it holds then.
    expected: (usize, usize),
}

/// Guards against a reader that gains a service and gets all rows of the others again, or misses rows of the gained one.
#[rustfmt::skip]
const GAINS: &[Gain] = &[
    Gain { name: "nothing gained", fresh: false, expected: (0, 9) },
    Gain { name: "one service gained", fresh: true, expected: (1, 10) },
];

#[test]
fn gained_services_come_without_the_others() {
    for case in GAINS {
        let mut source = table("a", 10, at(0));
        serve(&mut source, "bookings", 6);
        let bookings = service::Name::new("bookings").expect("valid");
        let mut view = View::new(Duration::from_secs(3));
        view.apply(&source.difference(None, &[payments()]), at(0))
            .expect("a snapshot");
        let fresh = if case.fresh {
            vec![bookings.clone()]
        } else {
            Vec::new()
        };
        let interest = [bookings, payments()];
        let difference = source.difference_with(view.version(), &interest, &fresh);
        view.apply(&difference, at(0)).expect("in order");
        let found = (difference.rows.len(), view.rows().len());
        assert_eq!(found, case.expected, "{}", case.name);
        view.keep(&[payments()]);
        assert_eq!(view.rows().len(), 9, "{}", case.name);
    }
}

fn owner(source: &str) -> Owner {
    let name = instance::Name::new(source).expect("valid");
    Owner { name, start: 1 }
}

struct Relay {
    name: &'static str,
    relayed: bool,
    expected: usize,
}

/// Guards against each control process passing on every row of all others, and against rows that
/// are lost to a reader that cannot reach their owner.
#[rustfmt::skip]
const RELAYS: &[Relay] = &[
    Relay { name: "every owner is reached", relayed: false, expected: 3 },
    Relay { name: "one owner is not reached", relayed: true, expected: 5 },
];

#[test]
fn rows_of_others_are_passed_on_when_asked_for() {
    for case in RELAYS {
        let far = table("far", 2, at(0));
        let mut near = table("near", 0, at(0));
        near.exchange(&far.export(None, at(0)), at(0));
        for node in 2..5 {
            near.announce(announcement(node, 1, 1, 80), at(0))
                .expect("a new instance");
        }
        let relayed = if case.relayed {
            vec![owner("far")]
        } else {
            Vec::new()
        };
        let mut reader = table("reader", 0, at(0));
        reader.exchange(&near.export_own(None, &relayed, at(0)), at(0));
        assert_eq!(reader.rows().count(), case.expected, "{}", case.name);
        // The reader still hears of the owner that it does not reach.
        assert!(
            reader
                .live_owners(at(0))
                .any(|heard| *heard == owner("far")),
            "{}",
            case.name
        );
    }
}

struct Switch {
    name: &'static str,
    /// Nodes that the new source knows.
    known: usize,
    at: Instant,
    expected: usize,
}

/// Guards against a control process that has just started and empties the view of a node.
#[rustfmt::skip]
const SWITCHES: &[Switch] = &[
    Switch { name: "not known yet", known: 2, at: at(2_900), expected: 10 },
    Switch { name: "not known after a lease", known: 2, at: at(3_000), expected: 2 },
    Switch { name: "known", known: 10, at: at(3_000), expected: 10 },
];

#[test]
fn view_survives_a_switch() {
    for case in SWITCHES {
        let mut view = View::new(Duration::from_secs(3));
        let first = table("a", 10, at(0));
        view.apply(&first.difference(None, &[payments()]), at(0))
            .expect("a snapshot");
        let second = table("b", case.known, at(0));
        let snapshot = second.difference(view.version(), &[payments()]);
        view.apply(&snapshot, at(0)).expect("a snapshot");
        let idle = second.difference(view.version(), &[payments()]);
        view.apply(&idle, case.at).expect("in order");
        assert_eq!(view.rows().len(), case.expected, "{}", case.name);
    }
}

struct Restart {
    name: &'static str,
    previous: Option<Life>,
    start: u128,
    wall: Wall,
    expected: u64,
}

const PREVIOUS: Option<Life> = Some(Life {
    incarnation: Incarnation(1_000),
    start: 1,
});

/// Guards against a restarted backend server that is taken for its past self after the clock went backwards.
#[rustfmt::skip]
const STARTS: &[Restart] = &[
    Restart { name: "first", previous: None, start: 1, wall: Wall(500), expected: 500 },
    Restart { name: "same life", previous: PREVIOUS, start: 1, wall: Wall(9_000), expected: 1_000 },
    Restart { name: "restarted", previous: PREVIOUS, start: 2, wall: Wall(9_000), expected: 9_000 },
    Restart { name: "clock went backwards", previous: PREVIOUS, start: 2, wall: Wall(10), expected: 1_001 },
];

#[test]
fn incarnations_rise() {
    for case in STARTS {
        let life = incarnation::derive(case.previous.as_ref(), case.start, case.wall);
        assert_eq!(life.incarnation.0, case.expected, "{}", case.name);
    }
}
