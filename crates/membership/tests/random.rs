//! Random sequences over three tables against a plain model.

use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;
use proptest::proptest;

use shallotrill_membership::announcement::Announcement;
use shallotrill_membership::announcement::Session;
use shallotrill_membership::config::Config;
use shallotrill_membership::contact::Contact;
use shallotrill_membership::difference::Difference;
use shallotrill_membership::owner::Owner;
use shallotrill_membership::row::Presence;
use shallotrill_membership::row::Row;
use shallotrill_membership::table::Table;
use shallotrill_membership::view::View;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::instance;
use shallotrill_model::region;
use shallotrill_model::service;
use shallotrill_model::target::State;
use shallotrill_model::target::Target;
use shallotrill_model::time::Instant;
use shallotrill_model::zone;

const NODES: usize = 4;
const TABLES: usize = 3;

/// One step; numbers are taken modulo what they index.
#[derive(Clone, Copy, Debug)]
enum Step {
    Restart {
        node: usize,
    },
    Drain {
        node: usize,
    },
    /// Announces the present life, or a delayed message of an earlier one.
    Announce {
        node: usize,
        table: usize,
        back: u64,
    },
    Renew {
        node: usize,
        table: usize,
    },
    Leave {
        node: usize,
        table: usize,
    },
    Pass {
        ms: u64,
    },
    Expire {
        table: usize,
        heard: usize,
    },
    /// Exports, into the pool of messages under way.
    Send {
        table: usize,
        whole: bool,
    },
    /// Delivers any message of the pool, which stays there and may arrive again or never.
    Deliver {
        table: usize,
        message: usize,
    },
    Follow,
}

fn step() -> impl Strategy<Value = Step> {
    let node = || 0..NODES;
    let table = || 0..TABLES;
    prop_oneof![
        1 => node().prop_map(|node| Step::Restart { node }),
        1 => node().prop_map(|node| Step::Drain { node }),
        4 => (node(), table(), 0_u64..3).prop_map(|(node, table, back)| Step::Announce { node, table, back }),
        4 => (node(), table()).prop_map(|(node, table)| Step::Renew { node, table }),
        1 => (node(), table()).prop_map(|(node, table)| Step::Leave { node, table }),
        2 => (0_u64..4_000).prop_map(|ms| Step::Pass { ms }),
        3 => (table(), 0_usize..3).prop_map(|(table, heard)| Step::Expire { table, heard }),
        4 => (table(), any::<bool>()).prop_map(|(table, whole)| Step::Send { table, whole }),
        6 => (table(), any::<usize>()).prop_map(|(table, message)| Step::Deliver { table, message }),
        3 => proptest::strategy::Just(Step::Follow),
    ]
}

/// What a node says of itself: its life and its announcement of it.
#[derive(Clone, Copy, Debug)]
struct Node {
    life: u64,
    sequence: u64,
    left: bool,
}

struct World {
    now: Instant,
    nodes: [Node; NODES],
    tables: Vec<Table>,
    messages: Vec<Difference>,
    view: View,
}

fn target(node: usize, life: u64, draining: bool) -> Target {
    Target {
        service: service::Name::new("payments").expect("valid"),
        instance: instance::Name::new(&format!("n{node}")).expect("valid"),
        incarnation: Incarnation(life),
        zone: zone::Name::new("hamilton").expect("valid"),
        region: region::Name::new("waikato").expect("valid"),
        address: ([127, 0, 0, 1], 8_000).into(),
        state: if draining {
            State::Draining
        } else {
            State::Ready
        },
        slots: 10,
    }
}

impl World {
    fn new() -> Self {
        let table = |index: usize| {
            let name = instance::Name::new(&format!("control-{index}")).expect("valid");
            Table::new(Owner { name, start: 1 }, Config::default())
        };
        Self {
            now: Instant(1),
            nodes: [Node {
                life: 10,
                sequence: 0,
                left: false,
            }; NODES],
            tables: (0..TABLES).map(table).collect(),
            messages: Vec::new(),
            view: View::new(Duration::from_secs(3)),
        }
    }

    fn announce(&mut self, node: usize, table: usize, back: u64) {
        let Node { life, sequence, .. } = self.nodes[node];
        let sequence = if back == 0 { sequence } else { 0 };
        let target = target(node, life - back, sequence > 0);
        let session = Session { node: 1, sequence };
        // Refusals are part of the sequence; the invariants are checked on the rows.
        let _ = self.tables[table].announce(Announcement { target, session }, self.now);
    }

    fn restart(&mut self, node: usize) {
        let life = self.nodes[node].life + 1;
        self.nodes[node] = Node {
            life,
            sequence: 0,
            left: false,
        };
    }

    fn run(&mut self, step: Step) {
        let now = self.now;
        match step {
            Step::Restart { node } => self.restart(node),
            Step::Drain { node } => self.nodes[node].sequence += 1,
            Step::Announce { node, table, back } => self.announce(node, table, back),
            Step::Renew { node, table } => {
                let Target {
                    instance,
                    incarnation,
                    ..
                } = target(node, self.nodes[node].life, false);
                let _ = self.tables[table].renew(&instance, incarnation, now);
            }
            Step::Leave { node, table } => {
                let Target {
                    instance,
                    incarnation,
                    ..
                } = target(node, self.nodes[node].life, false);
                let left = self.tables[table]
                    .leave(&instance, incarnation, now)
                    .is_ok();
                self.nodes[node].left |= left;
            }
            Step::Pass { ms } => self.now = now + Duration::from_millis(ms),
            Step::Expire { table, heard } => {
                self.tables[table].expire(now, &Contact { others: 2, heard });
            }
            Step::Send { table, whole } => {
                let last = self.messages.iter().rev().map(|message| &message.version);
                let own = self.tables[table].version().source;
                let since = last.clone().find(|version| version.source == own && !whole);
                self.messages.push(self.tables[table].export(since, now));
            }
            Step::Deliver { table, message } if !self.messages.is_empty() => {
                let message = &self.messages[message % self.messages.len()];
                self.tables[table].exchange(message, now);
            }
            Step::Deliver { .. } => (),
            Step::Follow => self.follow(),
        }
    }

    fn follow(&mut self) {
        let interest = [service::Name::new("payments").expect("valid")];
        let difference = self.tables[0].difference(self.view.version(), &interest);
        self.view
            .apply(&difference, self.now)
            .expect("differences of one source are in order");
    }

    /// Every node announces itself, odd ones in a new life, and all tables exchange until nothing is under way.
    fn settle(&mut self) {
        for node in 0..NODES {
            if node % 2 == 1 {
                self.restart(node);
            }
            self.announce(node, node % TABLES, 0);
        }
        for _ in 0..4 {
            for from in 0..TABLES {
                let message = self.tables[from].export(None, self.now);
                for table in &mut self.tables {
                    table.exchange(&message, self.now);
                }
            }
        }
    }

    fn rows(&self, table: usize) -> Vec<Row> {
        self.tables[table]
            .rows()
            .map(|row| Row::clone(row))
            .collect()
    }
}

/// A row that went back to an earlier life or announcement.
fn reverted(before: &[Row], after: &[Row]) -> Option<Row> {
    let newest = |row: &Row| (row.stamp.incarnation, row.stamp.left, row.stamp.session);
    let back = |row: &&Row| {
        let same = |old: &&Row| old.target.instance == row.target.instance;
        before
            .iter()
            .find(same)
            .is_some_and(|old| newest(old) > newest(row))
    };
    after.iter().find(back).cloned()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    /// Guards against an old incarnation or an undone drain that replaces a newer row, against tables
    /// that stay different, and against differences that lead elsewhere than a snapshot.
    #[test]
    fn tables_converge(steps in vec(step(), 0..80)) {
        let mut world = World::new();
        for step in steps {
            let before: Vec<Vec<Row>> = (0..TABLES).map(|table| world.rows(table)).collect();
            world.run(step);
            for (table, before) in before.iter().enumerate() {
                assert_eq!(reverted(before, &world.rows(table)), None, "table {table} after {step:?}");
            }
        }
        world.settle();
        assert_eq!(world.rows(0), world.rows(1));
        assert_eq!(world.rows(0), world.rows(2));
        for (node, row) in world.rows(0).iter().enumerate() {
            let Node { life, left, .. } = world.nodes[node];
            let presence = if left { Presence::Left } else { Presence::Live };
            assert_eq!((row.stamp.incarnation.0, row.presence), (life, presence));
        }
        world.follow();
        let followed: Vec<Row> = world.view.rows().iter().map(|row| Row::clone(row)).collect();
        let live = world.rows(0).into_iter().filter(Row::is_live);
        assert_eq!(followed, live.collect::<Vec<Row>>());
    }
}
