//! Costs of the keys of workspaces at several sizes: look-up, change of one workspace, memory and encoded size.
//!
//! `cargo run --release -p shallotrill-bench --example keys`

use std::hint::black_box;
use std::process;
use std::sync::Arc;
use std::time::Instant;

use anyhow::Context;

use shallotrill_bench::slopes::process::resident_bytes;
use shallotrill_items::item::Content;
use shallotrill_items::item::Item;
use shallotrill_items::item::Key;
use shallotrill_items::item::Kind;
use shallotrill_items::table::Table;
use shallotrill_items::workspace::Allotment;
use shallotrill_items::workspace::Digest;
use shallotrill_items::workspace::Workspace;
use shallotrill_model::rate::Rate;

/// Numbers of keys; the largest is that of the target size.
const KEYS: [usize; 3] = [100, 10_000, 100_000];

/// Keys of each workspace.
const KEYS_PER_WORKSPACE: usize = 2;

/// Look-ups that are timed.
const LOOKUPS: usize = 200_000;

/// Changes of one workspace that are timed.
const CHANGES: u64 = 10;

fn key(number: usize) -> String {
    format!("key-{number:016}")
}

fn workspace(number: usize, version: u64) -> Item {
    let first = number * KEYS_PER_WORKSPACE;
    let keys = first..first + KEYS_PER_WORKSPACE;
    let mut keys: Vec<Digest> = keys.map(|k| Digest::of(key(k).as_bytes())).collect();
    keys.sort();
    Item {
        key: Key {
            kind: Kind::Workspace,
            name: format!("workspace-{number:06}").into(),
        },
        version,
        content: Content::Workspace(Workspace {
            keys,
            priority: 1,
            allotment: Some(Allotment {
                rate: Rate::from_millihertz(10_000),
                burst: 10,
            }),
        }),
        document: "".into(),
    }
}

fn main() -> anyhow::Result<()> {
    println!("| keys | look-up | change of one workspace | resident memory | items for a router |");
    println!("|---|---|---|---|---|");
    for keys in KEYS {
        let before = resident_bytes(process::id())?;
        let items = (0..keys / KEYS_PER_WORKSPACE).map(|number| Arc::new(workspace(number, 1)));
        let items: Vec<Arc<Item>> = items.collect();
        let encoded = postcard::to_allocvec(&items).context("the items cannot be encoded")?;
        let mut table = Table::default();
        table.apply(&items);
        drop(items);
        let memory = resident_bytes(process::id())? - before;
        let texts: Vec<String> = (0..LOOKUPS).map(|n| key(n * 7 % (2 * keys))).collect();
        let begin = Instant::now();
        let found = texts.iter().filter(|text| {
            let digest = Digest::of(text.as_bytes());
            black_box(table.workspace_of(digest)).is_some()
        });
        let found = found.count();
        let lookup = begin.elapsed() / LOOKUPS as u32;
        anyhow::ensure!(
            found > 0 && found < LOOKUPS,
            "known and unknown keys are looked up"
        );
        let begin = Instant::now();
        for version in 2..2 + CHANGES {
            let mut changed = table.clone();
            changed.apply(&[Arc::new(workspace(0, version))]);
            table = changed;
        }
        let change = begin.elapsed() / CHANGES as u32;
        println!(
            "| {keys} | {lookup:?} | {change:?} | {:.1} MB | {:.2} MB |",
            memory as f64 / 1e6,
            encoded.len() as f64 / 1e6
        );
    }
    Ok(())
}
