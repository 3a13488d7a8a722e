//! Encoded items: those of earlier releases are read, and new settings survive.

mod fixtures;

use std::time::Duration;

use shallotrill_items::item::Content;
use shallotrill_items::item::Item;
use shallotrill_items::item::Key;
use shallotrill_items::item::Kind;
use shallotrill_items::route::WarmUp;
use shallotrill_items::workspace::Allotment;
use shallotrill_items::workspace::Digest;
use shallotrill_items::workspace::Workspace;
use shallotrill_model::rate::Rate;
use shallotrill_model::workspace;

/// Encoding of `fixtures::route("r", 3, "s")`, followed by the service `fixtures::service("s", 1)`, by the release
/// before workspaces, as hexadecimal digits.
const EARLIER: [&str; 2] = [EARLIER_ROUTE, EARLIER_SERVICE];
const EARLIER_ROUTE: &str = "010172030004686f7374012f000100008084af5f01020101730100";
const EARLIER_SERVICE: &str = "0001730101082f6865616c74687a0a00";

/// Guards against stored registers of an earlier release that are read as something else or not at all.
#[test]
fn items_of_earlier_releases_are_read() {
    let expected = [fixtures::route("r", 3, "s"), fixtures::service("s", 1)];
    for (text, expected) in EARLIER.iter().zip(expected) {
        let digits = text.as_bytes().chunks(2);
        let bytes = digits.map(|pair| {
            let pair = std::str::from_utf8(pair).expect("ASCII digits");
            u8::from_str_radix(pair, 16).expect("hexadecimal digits")
        });
        let bytes: Vec<u8> = bytes.collect();
        let item: Item = postcard::from_bytes(&bytes).expect("a stored item");
        assert_eq!((&item.key, item.version), (&expected.key, expected.version));
        assert_eq!(item.content, expected.content);
    }
}

/// Guards against a setting that is lost between processes or on the disk.
#[test]
fn settings_survive_encoding() {
    let Content::Route(mut route) = fixtures::route("r", 1, "s").content else {
        panic!("a route is expected");
    };
    route.public = true;
    let Content::Service(mut service) = fixtures::service("s", 1).content else {
        panic!("a service is expected");
    };
    service.warm_up = Some(WarmUp {
        period: Duration::from_secs(3),
        rate: Rate::from_millihertz(9_500),
    });
    let workspace = Workspace {
        keys: vec![Digest::of(b"k")],
        priority: 2,
        allotment: Some(Allotment {
            rate: Rate::from_millihertz(1_500),
            burst: 4,
        }),
    };
    let name = workspace::Name::new("one").expect("a valid name");
    let contents = [
        Content::Route(route),
        Content::Service(service),
        Content::Workspace(workspace),
        Content::KeyHolder(name),
        Content::Evacuation,
        Content::Removed,
    ];
    for content in contents {
        let key = Key {
            kind: Kind::Evacuation,
            name: "x".into(),
        };
        let item = fixtures::item(key, 1, content);
        let bytes = postcard::to_allocvec(&item).expect("encoded");
        let decoded: Item = postcard::from_bytes(&bytes).expect("decoded");
        assert_eq!(decoded, item);
    }
}
