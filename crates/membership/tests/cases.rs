//! Refusal of announcements, expiry of leases with and without contact, takeover of leases, differences
//! for readers, and the view at a switch of source.

use std::time::Duration;

use shallotrill_membership::announcement::Announcement;
use shallotrill_membership::announcement::AnnouncementVersion;
use shallotrill_membership::change::Refusal;
use shallotrill_membership::config::Config;
use shallotrill_membership::incarnation;
use shallotrill_membership::incarnation::ServerIncarnation;
use shallotrill_membership::owner::Owner;
use shallotrill_membership::reachability::Reachability;
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

const fn at_ms(ms: u64) -> Instant {
    Instant(ms * 1_000)
}

fn name(number: usize) -> instance::Name {
    instance::Name::new(&format!("n{number}")).expect("the name is valid")
}

fn payments() -> service::Name {
    service::Name::new("payments").expect("the name is valid")
}

fn announcement(number: usize, incarnation: u64, sequence: u64, port: u16) -> Announcement {
    let target = Target {
        service: payments(),
        instance: name(number),
        incarnation: Incarnation(incarnation),
        zone: zone::Name::new("hamilton").expect("the name is valid"),
        region: region::Name::new("waikato").expect("the name is valid"),
        address: ([127, 0, 0, 1], port).into(),
        state: if sequence > 1 {
            State::Draining
        } else {
            State::Ready
        },
        slots: 10,
    };
    let session = AnnouncementVersion { node: 1, sequence };
    Announcement { target, session }
}

/// Creates a table that holds the leases of nodes `0..nodes`.
fn table(source: &str, nodes: usize, now: Instant) -> Table {
    let name = instance::Name::new(source).expect("the name is valid");
    let mut table = Table::new(Owner { name, start: 1 }, Config::default());
    for number in 0..nodes {
        table
            .announce(announcement(number, 5, 1, 80), now)
            .expect("the instance is new");
    }
    table
}

struct AnnouncementCase {
    name: &'static str,
    content: (u64, u64, u16),
    at: Instant,
    expected: Result<(), Refusal>,
}

#[rustfmt::skip]
const fn announcement_case(name: &'static str, content: (u64, u64, u16), at: Instant, expected: Result<(), Refusal>) -> AnnouncementCase {
    AnnouncementCase { name, content, at, expected }
}

const LATE: Refusal = Refusal::Late(AnnouncementVersion {
    node: 1,
    sequence: 1,
});
const REUSED: Refusal = Refusal::Reused(AnnouncementVersion {
    node: 1,
    sequence: 1,
});

/// Guards against a delayed announcement that restores an old incarnation or undoes a drain, and
/// against two instances with the same name.
#[rustfmt::skip]
const ANNOUNCEMENT_CASES: &[AnnouncementCase] = &[
    announcement_case("announcement of an older incarnation", (4, 9, 80), at_ms(0), Err(Refusal::Superseded(Incarnation(5)))),
    announcement_case("repeated announcement", (5, 1, 80), at_ms(0), Ok(())),
    announcement_case("drain", (5, 2, 80), at_ms(0), Ok(())),
    announcement_case("delayed announcement", (5, 0, 80), at_ms(0), Err(LATE)),
    announcement_case("restarted backend server", (6, 0, 80), at_ms(0), Ok(())),
    announcement_case("other address after the last renewal timed out", (6, 1, 81), at_ms(2_000), Ok(())),
    announcement_case("same session with a different content", (5, 1, 81), at_ms(2_000), Err(REUSED)),
];

#[test]
fn outdated_and_conflicting_announcements_are_refused() {
    for case in ANNOUNCEMENT_CASES {
        let mut table = table("a", 1, at_ms(0));
        let (incarnation, sequence, port) = case.content;
        let result = table.announce(announcement(0, incarnation, sequence, port), case.at);
        assert_eq!(result.map(|_| ()), case.expected, "{}", case.name);
    }
    let mut other = table("b", 0, at_ms(0));
    let mut table = table("a", 1, at_ms(0));
    other.merge_difference(&table.export(None, at_ms(0)), at_ms(0));
    let conflict_elsewhere = other.announce(announcement(0, 6, 1, 81), at_ms(1_000));
    assert!(
        matches!(conflict_elsewhere, Err(Refusal::Conflict { .. })),
        "at another process: {conflict_elsewhere:?}"
    );
    let conflict = table.announce(announcement(0, 6, 1, 81), at_ms(1_000));
    assert!(
        matches!(conflict, Err(Refusal::Conflict { .. })),
        "at the owner: {conflict:?}"
    );
    table
        .leave(&name(0), Incarnation(5), at_ms(0))
        .expect("the instance is live");
    let left = table.announce(announcement(0, 5, 1, 80), at_ms(0));
    assert_eq!(left.map(|_| ()), Err(Refusal::Left(Incarnation(5))));
}

struct ExpiryCase {
    name: &'static str,
    /// Number of nodes, of ten, that renew until the end.
    renewing: usize,
    reachable: usize,
    /// When contact with other processes begins.
    contact_start: Instant,
    expired: usize,
    suspect: bool,
}

/// Guards against a mass expiry by a partitioned process, and against targets of a failed zone that are never removed.
#[rustfmt::skip]
const EXPIRY_CASES: &[ExpiryCase] = &[
    ExpiryCase { name: "less than half of the leases unresponsive", renewing: 6, reachable: 0, contact_start: at_ms(0), expired: 4, suspect: false },
    ExpiryCase { name: "partitioned from all nodes", renewing: 0, reachable: 0, contact_start: at_ms(0), expired: 0, suspect: true },
    ExpiryCase { name: "partitioned from more than half of the nodes", renewing: 4, reachable: 0, contact_start: at_ms(0), expired: 0, suspect: true },
    ExpiryCase { name: "all nodes failed, all processes in contact", renewing: 0, reachable: 2, contact_start: at_ms(0), expired: 10, suspect: false },
    ExpiryCase { name: "contact returned less than a lease period ago", renewing: 0, reachable: 2, contact_start: at_ms(5_000), expired: 0, suspect: true },
    ExpiryCase { name: "contact returned a lease period ago", renewing: 0, reachable: 2, contact_start: at_ms(2_800), expired: 10, suspect: false },
    ExpiryCase { name: "all nodes and one control process failed", renewing: 0, reachable: 1, contact_start: at_ms(0), expired: 10, suspect: false },
];

#[test]
fn mass_expiry_needs_contact_with_a_majority() {
    for case in EXPIRY_CASES {
        let mut table = table("a", 10, at_ms(0));
        let mut expired = 0;
        for ms in (0..6_000).step_by(100) {
            // The last heartbeats before the partition are spread over one heartbeat interval.
            let renews = |node: &usize| *node < case.renewing || ms == *node as u64 * 100;
            for node in (0..10).filter(renews) {
                let renewed = table.renew(&name(node), Incarnation(5), at_ms(ms));
                renewed.expect("the instance is known");
            }
            let reachable = if at_ms(ms) < case.contact_start {
                0
            } else {
                case.reachable
            };
            expired += table
                .expire(
                    at_ms(ms),
                    &Reachability {
                        others: 2,
                        reachable,
                    },
                )
                .len();
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

struct TakeoverCase {
    name: &'static str,
    /// Number of nodes, of ten, that renew at the other process.
    moved: usize,
    reachable: usize,
    at: Instant,
    live: usize,
}

/// Guards against the loss of targets when the control process that holds their leases crashes, and
/// against targets that are never removed after such a crash.
#[rustfmt::skip]
const TAKEOVER_CASES: &[TakeoverCase] = &[
    TakeoverCase { name: "within the grace period", moved: 4, reachable: 1, at: at_ms(4_900), live: 10 },
    TakeoverCase { name: "after the grace period", moved: 4, reachable: 1, at: at_ms(5_000), live: 4 },
    TakeoverCase { name: "without contact with a majority", moved: 4, reachable: 0, at: at_ms(60_000), live: 10 },
];

#[test]
fn leases_of_a_crashed_owner_move_or_expire() {
    for case in TAKEOVER_CASES {
        let crashed = table("a", 10, at_ms(0));
        let mut table = table("b", 0, at_ms(0));
        table.merge_difference(&crashed.export(None, at_ms(0)), at_ms(0));
        for node in 0..case.moved {
            table
                .renew(&name(node), Incarnation(5), case.at)
                .expect("the instance is known");
        }
        let reachable = case.reachable;
        table.expire(
            at_ms(0),
            &Reachability {
                others: 2,
                reachable,
            },
        );
        table.expire(
            case.at,
            &Reachability {
                others: 2,
                reachable,
            },
        );
        let live = table.rows().filter(|row| row.is_live()).count();
        assert_eq!(live, case.live, "{}", case.name);
    }
}

struct ReaderCase {
    name: &'static str,
    change: fn(&mut Table),
    /// What a node receives: whether it is a snapshot, and the number of live and of removed rows.
    difference_at_node: (bool, usize, usize),
    /// Number of live rows at another control process after an exchange.
    live_at_other: usize,
}

/// Announces node 0, which served `payments` in incarnation 5, for another service in a later incarnation.
fn announce_for_service(table: &mut Table, service: &str, incarnation: u64) {
    let mut other = announcement(0, incarnation, 1, 80);
    other.target.service = service::Name::new(service).expect("the name is valid");
    table
        .announce(other, at_ms(0))
        .expect("the announcement is newer");
}

fn leave(table: &mut Table) {
    table
        .leave(&name(0), Incarnation(5), at_ms(0))
        .expect("the instance is live");
}

fn remove_tombstones(table: &mut Table) {
    table.expire(
        at_ms(600_000),
        &Reachability {
            others: 2,
            reachable: 0,
        },
    );
}

/// Guards against a reader that keeps a target which left, moved to another service, or whose
/// tombstone was removed while the reader was disconnected.
#[rustfmt::skip]
const READER_CASES: &[ReaderCase] = &[
    ReaderCase { name: "no change", change: |_| (), difference_at_node: (false, 0, 0), live_at_other: 2 },
    ReaderCase { name: "drain", change: |table| drop(table.announce(announcement(0, 5, 2, 80), at_ms(0))), difference_at_node: (false, 1, 0), live_at_other: 2 },
    ReaderCase { name: "instance left", change: leave, difference_at_node: (false, 0, 1), live_at_other: 1 },
    ReaderCase { name: "instance moved to another service", change: |table| announce_for_service(table, "bookings", 6), difference_at_node: (false, 0, 1), live_at_other: 2 },
    ReaderCase { name: "instance moved to two other services in turn", change: |table| { announce_for_service(table, "bookings", 6); announce_for_service(table, "catalogue", 7); }, difference_at_node: (false, 0, 1), live_at_other: 2 },
    ReaderCase { name: "instance left and its tombstone was removed", change: |table| { leave(table); remove_tombstones(table); }, difference_at_node: (true, 1, 0), live_at_other: 1 },
];

#[test]
fn readers_drop_removed_and_moved_targets() {
    for case in READER_CASES {
        let mut source = table("a", 2, at_ms(0));
        let mut other = table("b", 0, at_ms(0));
        other.merge_difference(&source.export(None, at_ms(0)), at_ms(0));
        let version = source.version();
        (case.change)(&mut source);
        let difference = source.difference(Some(&version), &[payments()]);
        let sizes = (difference.rows.len(), difference.removed.len());
        let difference_at_node = (difference.is_snapshot(), sizes.0, sizes.1);
        assert_eq!(difference_at_node, case.difference_at_node, "{}", case.name);
        other.merge_difference(&source.export(Some(&version), at_ms(0)), at_ms(0));
        let live = other.rows().filter(|row| row.is_live()).count();
        assert_eq!(live, case.live_at_other, "{}", case.name);
    }
}

struct AddedServiceCase {
    name: &'static str,
    /// Whether the reader lists the added service in `new_services`.
    service_is_new: bool,
    /// Number of rows that the reader receives, and number of rows in its view after that.
    expected: (usize, usize),
}

/// Guards against a reader that adds a service and receives all rows of the other services again, or
/// misses rows of the added one.
#[rustfmt::skip]
const ADDED_SERVICE_CASES: &[AddedServiceCase] = &[
    AddedServiceCase { name: "no service added", service_is_new: false, expected: (0, 9) },
    AddedServiceCase { name: "one service added", service_is_new: true, expected: (1, 10) },
];

#[test]
fn added_services_come_without_rows_of_other_services() {
    for case in ADDED_SERVICE_CASES {
        let mut source = table("a", 10, at_ms(0));
        announce_for_service(&mut source, "bookings", 6);
        let bookings = service::Name::new("bookings").expect("the name is valid");
        let mut view = View::new(Duration::from_secs(3));
        view.apply(&source.difference(None, &[payments()]), at_ms(0))
            .expect("a snapshot always applies");
        let new_services = if case.service_is_new {
            vec![bookings.clone()]
        } else {
            Vec::new()
        };
        let interest = [bookings, payments()];
        let difference = source.difference_with(view.version(), &interest, &new_services);
        view.apply(&difference, at_ms(0))
            .expect("the difference follows the version of the view");
        let row_counts = (difference.rows.len(), view.rows().len());
        assert_eq!(row_counts, case.expected, "{}", case.name);
        view.retain_services(&[payments()]);
        assert_eq!(view.rows().len(), 9, "{}", case.name);
    }
}

fn owner(source: &str) -> Owner {
    let name = instance::Name::new(source).expect("the name is valid");
    Owner { name, start: 1 }
}

struct RelayCase {
    name: &'static str,
    relayed: bool,
    expected: usize,
}

/// Guards against a control process that relays every row of all others, and against rows that a
/// reader does not receive because it cannot reach their owner.
#[rustfmt::skip]
const RELAY_CASES: &[RelayCase] = &[
    RelayCase { name: "the reader reaches every owner", relayed: false, expected: 3 },
    RelayCase { name: "the reader does not reach one owner", relayed: true, expected: 5 },
];

#[test]
fn rows_of_other_owners_are_relayed_on_request() {
    for case in RELAY_CASES {
        let remote = table("far", 2, at_ms(0));
        let mut relay = table("near", 0, at_ms(0));
        relay.merge_difference(&remote.export(None, at_ms(0)), at_ms(0));
        for node in 2..5 {
            relay
                .announce(announcement(node, 1, 1, 80), at_ms(0))
                .expect("the instance is new");
        }
        let relayed = if case.relayed {
            vec![owner("far")]
        } else {
            Vec::new()
        };
        let mut reader = table("reader", 0, at_ms(0));
        reader.merge_difference(&relay.export_own(None, &relayed, at_ms(0)), at_ms(0));
        assert_eq!(reader.rows().count(), case.expected, "{}", case.name);
        // The reader still receives the last contact with the owner that it does not reach.
        assert!(
            reader
                .live_owners(at_ms(0))
                .any(|owner_in_contact| *owner_in_contact == owner("far")),
            "{}",
            case.name
        );
    }
}

struct SourceSwitchCase {
    name: &'static str,
    /// Number of nodes that the new source knows.
    known: usize,
    at: Instant,
    expected: usize,
}

/// Guards against a control process that has just started and whose snapshot empties the view of a node.
#[rustfmt::skip]
const SOURCE_SWITCH_CASES: &[SourceSwitchCase] = &[
    SourceSwitchCase { name: "unknown to the new source for less than a lease period", known: 2, at: at_ms(2_900), expected: 10 },
    SourceSwitchCase { name: "unknown to the new source for a lease period", known: 2, at: at_ms(3_000), expected: 2 },
    SourceSwitchCase { name: "known to the new source", known: 10, at: at_ms(3_000), expected: 10 },
];

#[test]
fn view_keeps_targets_at_a_switch_of_source() {
    for case in SOURCE_SWITCH_CASES {
        let mut view = View::new(Duration::from_secs(3));
        let first = table("a", 10, at_ms(0));
        view.apply(&first.difference(None, &[payments()]), at_ms(0))
            .expect("a snapshot always applies");
        let second = table("b", case.known, at_ms(0));
        let snapshot = second.difference(view.version(), &[payments()]);
        view.apply(&snapshot, at_ms(0))
            .expect("a snapshot always applies");
        let unchanged = second.difference(view.version(), &[payments()]);
        view.apply(&unchanged, case.at)
            .expect("the difference follows the version of the view");
        assert_eq!(view.rows().len(), case.expected, "{}", case.name);
    }
}

struct IncarnationCase {
    name: &'static str,
    previous: Option<ServerIncarnation>,
    start_id: u128,
    wall: Wall,
    expected: u64,
}

const PREVIOUS: Option<ServerIncarnation> = Some(ServerIncarnation {
    incarnation: Incarnation(1_000),
    start_id: 1,
});

/// Guards against an incarnation that does not rise at a restart of the backend server because the
/// wall clock went backwards.
#[rustfmt::skip]
const INCARNATION_CASES: &[IncarnationCase] = &[
    IncarnationCase { name: "first start", previous: None, start_id: 1, wall: Wall(500), expected: 500 },
    IncarnationCase { name: "same start id", previous: PREVIOUS, start_id: 1, wall: Wall(9_000), expected: 1_000 },
    IncarnationCase { name: "restarted", previous: PREVIOUS, start_id: 2, wall: Wall(9_000), expected: 9_000 },
    IncarnationCase { name: "restarted after the clock went backwards", previous: PREVIOUS, start_id: 2, wall: Wall(10), expected: 1_001 },
];

#[test]
fn incarnations_rise_with_each_restart() {
    for case in INCARNATION_CASES {
        let derived = incarnation::derive(case.previous.as_ref(), case.start_id, case.wall);
        assert_eq!(derived.incarnation.0, case.expected, "{}", case.name);
    }
}
