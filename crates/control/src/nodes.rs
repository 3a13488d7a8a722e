//! Configuration revision that each node last reported, to show operators where a revision is not in force.

use std::time::Duration;

use shallotrill_model::instance;
use shallotrill_model::revision::Revision;
use shallotrill_model::time::Instant;
use shallotrill_replica::exchange;

/// Time since the last heartbeat after which a node is removed from the list.
const NODE_RETENTION_PERIOD: Duration = Duration::from_hours(24);

/// Maximum age of the last heartbeat of nodes that are reported to the other control processes.
const REPORT_AGE_MAX: Duration = Duration::from_secs(5);

/// Time since the last heartbeat after which a node counts as unresponsive.
pub(crate) const HEARTBEAT_AGE_MAX: Duration = Duration::from_secs(5);

/// A node and the configuration revision that it last reported.
#[derive(Clone, Debug)]
pub(crate) struct Node {
    pub(crate) instance: instance::Name,
    pub(crate) revision: Revision,
    pub(crate) last_contact: Instant,
    /// Whether the last heartbeat was received by this process and not by another control process.
    direct: bool,
}

/// Nodes with a heartbeat at any control process, sorted by instance.
#[derive(Debug, Default)]
pub(crate) struct Nodes {
    nodes: Vec<Node>,
}

impl Nodes {
    /// Records a heartbeat received by this process.
    pub(crate) fn record_contact(
        &mut self,
        instance: &instance::Name,
        revision: Revision,
        now: Instant,
    ) {
        self.upsert(instance, revision, now, true);
    }

    /// Records heartbeats received by another control process.
    pub(crate) fn record_reported(&mut self, nodes: &[exchange::Node], now: Instant) {
        for node in nodes {
            let age = Duration::from_millis(node.age_ms);
            self.record_aged(&node.instance, node.revision, age, now);
        }
    }

    fn record_aged(
        &mut self,
        instance: &instance::Name,
        revision: Revision,
        age: Duration,
        now: Instant,
    ) {
        let age = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        let last_contact = Instant(now.0.saturating_sub(age));
        self.upsert(instance, revision, last_contact, false);
    }

    fn upsert(
        &mut self,
        instance: &instance::Name,
        revision: Revision,
        last_contact: Instant,
        direct: bool,
    ) {
        match self
            .nodes
            .binary_search_by(|node| node.instance.cmp(instance))
        {
            Ok(index) => {
                let node = &mut self.nodes[index];
                if last_contact >= node.last_contact {
                    node.revision = revision;
                    node.last_contact = last_contact;
                    node.direct = direct;
                }
            }
            Err(index) => {
                let node = Node {
                    instance: instance.clone(),
                    revision,
                    last_contact,
                    direct,
                };
                self.nodes.insert(index, node);
            }
        }
    }

    /// Removes nodes without a heartbeat within [`NODE_RETENTION_PERIOD`].
    pub(crate) fn expire(&mut self, now: Instant) {
        self.nodes
            .retain(|node| now.since(node.last_contact) < NODE_RETENTION_PERIOD);
    }

    /// Nodes with a recent heartbeat at this process.
    pub(crate) fn direct(&self, now: Instant) -> Vec<exchange::Node> {
        self.nodes
            .iter()
            .filter(|node| node.direct && now.since(node.last_contact) < REPORT_AGE_MAX)
            .map(|node| exchange::Node {
                instance: node.instance.clone(),
                revision: node.revision,
                age_ms: now.since(node.last_contact).as_millis() as u64,
            })
            .collect()
    }

    /// All nodes.
    pub(crate) fn all(&self) -> &[Node] {
        &self.nodes
    }

    /// Nodes where a revision is not known to be in force, because they are behind or unresponsive.
    pub(crate) fn lagging(&self, revision: Revision, now: Instant) -> Vec<&Node> {
        self.nodes
            .iter()
            .filter(|node| {
                node.revision < revision || now.since(node.last_contact) >= HEARTBEAT_AGE_MAX
            })
            .collect()
    }
}
