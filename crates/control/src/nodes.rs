//! What each node holds, so that "in force everywhere?" has an answer with names.

use std::time::Duration;

use shallotrill_model::instance;
use shallotrill_model::revision::Revision;
use shallotrill_model::time::Instant;
use shallotrill_replica::exchange;

/// A node that was not heard for this time is forgotten.
const FORGET: Duration = Duration::from_hours(24);

/// A node heard within this time is reported to the other control processes.
const RECENT: Duration = Duration::from_secs(5);

/// A node that was not heard within this time counts as silent.
pub(crate) const SILENT: Duration = Duration::from_secs(5);

/// A node and what it holds.
#[derive(Clone, Debug)]
pub(crate) struct Node {
    pub(crate) instance: instance::Name,
    pub(crate) revision: Revision,
    pub(crate) heard: Instant,
    /// Whether it was last heard by this process itself.
    direct: bool,
}

/// All nodes that were heard, sorted by instance.
#[derive(Debug, Default)]
pub(crate) struct Nodes {
    nodes: Vec<Node>,
}

impl Nodes {
    /// Notes the heartbeat of a node.
    pub(crate) fn hear(&mut self, instance: &instance::Name, revision: Revision, now: Instant) {
        self.put(instance, revision, now, true);
    }

    /// Notes what another control process heard.
    pub(crate) fn hear_all(&mut self, nodes: &[exchange::Node], now: Instant) {
        for node in nodes {
            let age = Duration::from_millis(node.age_ms);
            self.hear_aged(&node.instance, node.revision, age, now);
        }
    }

    fn hear_aged(
        &mut self,
        instance: &instance::Name,
        revision: Revision,
        age: Duration,
        now: Instant,
    ) {
        let age = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        let heard = Instant(now.0.saturating_sub(age));
        self.put(instance, revision, heard, false);
    }

    fn put(&mut self, instance: &instance::Name, revision: Revision, heard: Instant, direct: bool) {
        match self
            .nodes
            .binary_search_by(|node| node.instance.cmp(instance))
        {
            Ok(index) => {
                let node = &mut self.nodes[index];
                if heard >= node.heard {
                    node.revision = revision;
                    node.heard = heard;
                    node.direct = direct;
                }
            }
            Err(index) => {
                let node = Node {
                    instance: instance.clone(),
                    revision,
                    heard,
                    direct,
                };
                self.nodes.insert(index, node);
            }
        }
    }

    /// Forgets nodes that were not heard for a day.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.nodes.retain(|node| now.since(node.heard) < FORGET);
    }

    /// Nodes that this process heard itself of late.
    pub(crate) fn direct(&self, now: Instant) -> Vec<exchange::Node> {
        self.nodes
            .iter()
            .filter(|node| node.direct && now.since(node.heard) < RECENT)
            .map(|node| exchange::Node {
                instance: node.instance.clone(),
                revision: node.revision,
                age_ms: now.since(node.heard).as_millis() as u64,
            })
            .collect()
    }

    /// All nodes.
    pub(crate) fn all(&self) -> &[Node] {
        &self.nodes
    }

    /// Nodes where a revision is not known to be in force: behind, or silent and so unknown.
    pub(crate) fn lagging(&self, revision: Revision, now: Instant) -> Vec<&Node> {
        self.nodes
            .iter()
            .filter(|node| node.revision < revision || now.since(node.heard) >= SILENT)
            .collect()
    }
}
