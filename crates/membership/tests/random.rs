//! Property test: random operations on three tables and a view, compared with a simple model.

use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;
use proptest::proptest;

use shallotrill_membership::announcement::Announcement;
use shallotrill_membership::announcement::AnnouncementVersion;
use shallotrill_membership::config::Config;
use shallotrill_membership::difference::Difference;
use shallotrill_membership::owner::Owner;
use shallotrill_membership::reachability::Reachability;
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

/// One random operation. Message numbers are taken modulo the number of messages.
#[derive(Clone, Copy, Debug)]
enum Step {
    Restart {
        node: usize,
    },
    Drain {
        node: usize,
    },
    /// Announces the current incarnation, or delivers a delayed announcement of an earlier one.
    Announce {
        node: usize,
        table: usize,
        incarnations_back: u64,
    },
    Renew {
        node: usize,
        table: usize,
    },
    Leave {
        node: usize,
        table: usize,
    },
    AdvanceTime {
        ms: u64,
    },
    Expire {
        table: usize,
        reachable: usize,
    },
    /// Exports a table into the pool of messages in transit.
    Export {
        table: usize,
        snapshot: bool,
    },
    /// Delivers any message of the pool. It stays in the pool, so a message may be delivered repeatedly or never.
    Deliver {
        table: usize,
        message: usize,
    },
    UpdateView,
}

fn step() -> impl Strategy<Value = Step> {
    let node = || 0..NODES;
    let table = || 0..TABLES;
    prop_oneof![
        1 => node().prop_map(|node| Step::Restart { node }),
        1 => node().prop_map(|node| Step::Drain { node }),
        4 => (node(), table(), 0_u64..3).prop_map(|(node, table, incarnations_back)| Step::Announce { node, table, incarnations_back }),
        4 => (node(), table()).prop_map(|(node, table)| Step::Renew { node, table }),
        1 => (node(), table()).prop_map(|(node, table)| Step::Leave { node, table }),
        2 => (0_u64..4_000).prop_map(|ms| Step::AdvanceTime { ms }),
        3 => (table(), 0_usize..3).prop_map(|(table, reachable)| Step::Expire { table, reachable }),
        4 => (table(), any::<bool>()).prop_map(|(table, snapshot)| Step::Export { table, snapshot }),
        6 => (table(), any::<usize>()).prop_map(|(table, message)| Step::Deliver { table, message }),
        3 => proptest::strategy::Just(Step::UpdateView),
    ]
}

/// Model of a node: its incarnation and the state of its announcements.
#[derive(Clone, Copy, Debug)]
struct Node {
    incarnation: u64,
    sequence: u64,
    left: bool,
}

struct Model {
    now: Instant,
    nodes: [Node; NODES],
    tables: Vec<Table>,
    messages: Vec<Difference>,
    view: View,
}

fn target(node: usize, incarnation: u64, draining: bool) -> Target {
    Target {
        service: service::Name::new("payments").expect("the name is valid"),
        instance: instance::Name::new(&format!("n{node}")).expect("the name is valid"),
        incarnation: Incarnation(incarnation),
        zone: zone::Name::new("hamilton").expect("the name is valid"),
        region: region::Name::new("waikato").expect("the name is valid"),
        address: ([127, 0, 0, 1], 8_000).into(),
        state: if draining {
            State::Draining
        } else {
            State::Ready
        },
        slots: 10,
    }
}

impl Model {
    fn new() -> Self {
        let table = |index: usize| {
            let name = instance::Name::new(&format!("control-{index}")).expect("the name is valid");
            Table::new(Owner { name, start: 1 }, Config::default())
        };
        Self {
            now: Instant(1),
            nodes: [Node {
                incarnation: 10,
                sequence: 0,
                left: false,
            }; NODES],
            tables: (0..TABLES).map(table).collect(),
            messages: Vec::new(),
            view: View::new(Duration::from_secs(3)),
        }
    }

    fn announce(&mut self, node: usize, table: usize, incarnations_back: u64) {
        let Node {
            incarnation,
            sequence,
            ..
        } = self.nodes[node];
        let sequence = if incarnations_back == 0 { sequence } else { 0 };
        let target = target(node, incarnation - incarnations_back, sequence > 0);
        let session = AnnouncementVersion { node: 1, sequence };
        // Refusals are expected here; the test checks its invariants on the rows.
        let _ = self.tables[table].announce(Announcement { target, session }, self.now);
    }

    fn restart(&mut self, node: usize) {
        let incarnation = self.nodes[node].incarnation + 1;
        self.nodes[node] = Node {
            incarnation,
            sequence: 0,
            left: false,
        };
    }

    fn run(&mut self, step: Step) {
        let now = self.now;
        match step {
            Step::Restart { node } => self.restart(node),
            Step::Drain { node } => self.nodes[node].sequence += 1,
            Step::Announce {
                node,
                table,
                incarnations_back,
            } => self.announce(node, table, incarnations_back),
            Step::Renew { node, table } => {
                let Target {
                    instance,
                    incarnation,
                    ..
                } = target(node, self.nodes[node].incarnation, false);
                let _ = self.tables[table].renew(&instance, incarnation, now);
            }
            Step::Leave { node, table } => {
                let Target {
                    instance,
                    incarnation,
                    ..
                } = target(node, self.nodes[node].incarnation, false);
                let left = self.tables[table]
                    .leave(&instance, incarnation, now)
                    .is_ok();
                self.nodes[node].left |= left;
            }
            Step::AdvanceTime { ms } => self.now = now + Duration::from_millis(ms),
            Step::Expire { table, reachable } => {
                self.tables[table].expire(
                    now,
                    &Reachability {
                        others: 2,
                        reachable,
                    },
                );
            }
            Step::Export { table, snapshot } => {
                let last = self.messages.iter().rev().map(|message| &message.version);
                let source = self.tables[table].version().source;
                let since = last
                    .clone()
                    .find(|version| version.source == source && !snapshot);
                self.messages.push(self.tables[table].export(since, now));
            }
            Step::Deliver { table, message } if !self.messages.is_empty() => {
                let message = &self.messages[message % self.messages.len()];
                self.tables[table].merge_difference(message, now);
            }
            Step::Deliver { .. } => (),
            Step::UpdateView => self.update_view(),
        }
    }

    fn update_view(&mut self) {
        let interest = [service::Name::new("payments").expect("the name is valid")];
        let difference = self.tables[0].difference(self.view.version(), &interest);
        self.view
            .apply(&difference, self.now)
            .expect("differences of one source are applied in order");
    }

    /// Announces every node, odd ones in a new incarnation, and exchanges all tables until they have converged.
    fn converge(&mut self) {
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
                    table.merge_difference(&message, self.now);
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

/// Returns a row that reverted to an earlier incarnation or announcement.
fn reverted(before: &[Row], after: &[Row]) -> Option<Row> {
    let announcement_order =
        |row: &Row| (row.stamp.incarnation, row.stamp.departed, row.stamp.session);
    let is_reverted = |row: &&Row| {
        let same = |old: &&Row| old.target.instance == row.target.instance;
        before
            .iter()
            .find(same)
            .is_some_and(|old| announcement_order(old) > announcement_order(row))
    };
    after.iter().find(is_reverted).cloned()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    /// Guards against an old incarnation or announcement that replaces a newer row, against tables
    /// that do not converge, and against differences that lead to a different view than a snapshot.
    #[test]
    fn tables_converge(steps in vec(step(), 0..80)) {
        let mut model = Model::new();
        for step in steps {
            let before: Vec<Vec<Row>> = (0..TABLES).map(|table| model.rows(table)).collect();
            model.run(step);
            for (table, before) in before.iter().enumerate() {
                assert_eq!(reverted(before, &model.rows(table)), None, "table {table} after {step:?}");
            }
        }
        model.converge();
        assert_eq!(model.rows(0), model.rows(1));
        assert_eq!(model.rows(0), model.rows(2));
        for (node, row) in model.rows(0).iter().enumerate() {
            let Node { incarnation, left, .. } = model.nodes[node];
            let presence = if left { Presence::Left } else { Presence::Live };
            assert_eq!((row.stamp.incarnation.0, row.presence), (incarnation, presence));
        }
        model.update_view();
        let viewed: Vec<Row> = model.view.rows().iter().map(|row| Row::clone(row)).collect();
        let live = model.rows(0).into_iter().filter(Row::is_live);
        assert_eq!(viewed, live.collect::<Vec<Row>>());
    }
}
