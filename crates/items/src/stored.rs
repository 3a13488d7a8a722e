//! Encoded form of the content of an item.
//!
//! The variants up to [`Content::Absent`] are encoded as by earlier releases,
//! whose stored registers are still read. Settings that were added later are in
//! variants of their own, which are used only by items that have them.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::item;
use crate::route;
use crate::voters::Voter;
use crate::workspace::Workspace;
use shallotrill_model::class::Class;
use shallotrill_model::workspace;

/// Encoded content. New variants are appended: their order is part of the format.
#[derive(Clone, Serialize, Deserialize)]
pub(crate) enum Content {
    Route(Route),
    Service(Service),
    Limits(route::Limits),
    Removed,
    Absent,
    PublicRoute(Route),
    WarmingService(Service, route::WarmUp),
    Workspace(Workspace),
    KeyHolder(workspace::Name),
    Evacuation,
    Voters(Vec<Voter>),
}

#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct Route {
    host: Arc<str>,
    prefix: Arc<str>,
    class: Class,
    timeout: Duration,
    objective: Duration,
    priority: u8,
    attempts: u32,
    shares: Vec<route::Share>,
}

#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct Service {
    health_path: Arc<str>,
    connections: u32,
}

impl Route {
    fn new(route: route::Route) -> Self {
        Self {
            host: route.host,
            prefix: route.prefix,
            class: route.class,
            timeout: route.timeout,
            objective: route.objective,
            priority: route.priority,
            attempts: route.attempts,
            shares: route.shares,
        }
    }

    fn decode(self, public: bool) -> route::Route {
        route::Route {
            host: self.host,
            prefix: self.prefix,
            class: self.class,
            timeout: self.timeout,
            objective: self.objective,
            priority: self.priority,
            attempts: self.attempts,
            shares: self.shares,
            public,
        }
    }
}

impl Service {
    fn decode(self, warm_up: Option<route::WarmUp>) -> route::Service {
        route::Service {
            health_path: self.health_path,
            connections: self.connections,
            warm_up,
        }
    }
}

impl From<item::Content> for Content {
    fn from(content: item::Content) -> Self {
        match content {
            item::Content::Route(route) if route.public => Self::PublicRoute(Route::new(route)),
            item::Content::Route(route) => Self::Route(Route::new(route)),
            item::Content::Service(service) => {
                let stored = Service {
                    health_path: service.health_path,
                    connections: service.connections,
                };
                match service.warm_up {
                    Some(warm_up) => Self::WarmingService(stored, warm_up),
                    None => Self::Service(stored),
                }
            }
            item::Content::Limits(limits) => Self::Limits(limits),
            item::Content::Removed => Self::Removed,
            item::Content::Absent => Self::Absent,
            item::Content::Workspace(workspace) => Self::Workspace(workspace),
            item::Content::KeyHolder(name) => Self::KeyHolder(name),
            item::Content::Evacuation => Self::Evacuation,
            item::Content::Voters(list) => Self::Voters(list),
        }
    }
}

impl From<Content> for item::Content {
    fn from(content: Content) -> Self {
        match content {
            Content::Route(route) => Self::Route(route.decode(false)),
            Content::PublicRoute(route) => Self::Route(route.decode(true)),
            Content::Service(service) => Self::Service(service.decode(None)),
            Content::WarmingService(service, warm_up) => {
                Self::Service(service.decode(Some(warm_up)))
            }
            Content::Limits(limits) => Self::Limits(limits),
            Content::Removed => Self::Removed,
            Content::Absent => Self::Absent,
            Content::Workspace(workspace) => Self::Workspace(workspace),
            Content::KeyHolder(name) => Self::KeyHolder(name),
            Content::Evacuation => Self::Evacuation,
            Content::Voters(list) => Self::Voters(list),
        }
    }
}
