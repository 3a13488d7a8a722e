#![allow(dead_code, reason = "each test file uses its own part")]
//! Items and members for the tests.

use std::sync::Arc;
use std::time::Duration;

use shallotrill_items::item::Content;
use shallotrill_items::item::Item;
use shallotrill_items::item::Key;
use shallotrill_items::item::Kind;
use shallotrill_items::route::Route;
use shallotrill_items::route::Service;
use shallotrill_items::route::Share;
use shallotrill_model::class::Class;
use shallotrill_model::service;

pub fn service_name(name: &str) -> service::Name {
    service::Name::new(name).expect("a valid name")
}

pub fn route_key(name: &str) -> Key {
    Key {
        kind: Kind::Route,
        name: name.into(),
    }
}

pub fn service(name: &str, version: u64) -> Item {
    let key = Key {
        kind: Kind::Service,
        name: name.into(),
    };
    let service = Service {
        health_path: "/healthz".into(),
        connections: 10,
    };
    item(key, version, Content::Service(service))
}

pub fn route_content(host: &str, prefix: &str, to: &str) -> Route {
    Route {
        host: host.into(),
        prefix: prefix.into(),
        class: Class::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(200),
        priority: 1,
        attempts: 2,
        shares: vec![Share {
            service: service_name(to),
            weight: 1,
        }],
    }
}

pub fn route(name: &str, version: u64, to: &str) -> Item {
    let content = route_content("host", "/", to);
    item(route_key(name), version, Content::Route(content))
}

pub fn removal(name: &str, version: u64) -> Item {
    item(route_key(name), version, Content::Removed)
}

pub fn item(key: Key, version: u64, content: Content) -> Item {
    let document: Arc<str> = format!("{content:?}").into();
    Item {
        key,
        version,
        content,
        document,
    }
}
