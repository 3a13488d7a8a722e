//! The last configuration on disk, so that a node starts while control is unreachable.
//!
//! The cache is no source of truth: control's answer replaces it, and a cache
//! that is damaged or of another version is ignored.

use std::fs;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use log::warn;
use serde::Deserialize;
use serde::Serialize;

use crate::state::State;
use shallotrill_catalog::view::View;

const FILE: &str = "configuration.json";
const FILE_NEW: &str = "configuration.json.new";

/// Version of the file's form.
const VERSION: u32 = 1;

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    version: u32,
    /// Digest of the text of the configuration.
    digest: String,
    configuration: String,
}

/// Writes the configuration in the background, if the node has a cache folder.
pub(crate) fn store(state: &Arc<State>, view: View) {
    let Some(folder) = state.cache.clone() else {
        return;
    };
    state.tasks.spawn_blocking(move || {
        if let Err(error) = write(&folder, &view) {
            warn!(event = "cache-not-written"; "{error}");
        }
    });
}

fn write(folder: &Path, view: &View) -> io::Result<()> {
    let configuration = serde_json::to_string(view)?;
    let file = File {
        version: VERSION,
        digest: blake3::hash(configuration.as_bytes()).to_string(),
        configuration,
    };
    fs::create_dir_all(folder)?;
    let new = folder.join(FILE_NEW);
    fs::write(&new, serde_json::to_vec(&file)?)?;
    fs::File::open(&new)?.sync_all()?;
    fs::rename(&new, folder.join(FILE))?;
    fs::File::open(folder)?.sync_all()
}

/// Time since the configuration on disk was written.
pub(crate) fn age(folder: &Path) -> Option<Duration> {
    let written = fs::metadata(folder.join(FILE)).ok()?.modified().ok()?;
    written.elapsed().ok()
}

/// Reads the configuration of an earlier run.
pub(crate) fn load(folder: &Path) -> Option<View> {
    let bytes = fs::read(folder.join(FILE)).ok()?;
    let view = parse(&bytes);
    match &view {
        Some(view) => info!(event = "cache-read", revision = view.revision.0; ""),
        None => {
            warn!(event = "cache-ignored"; "the cached configuration is damaged or of another version");
        }
    }
    view
}

fn parse(bytes: &[u8]) -> Option<View> {
    let file: File = serde_json::from_slice(bytes).ok()?;
    let digest = blake3::hash(file.configuration.as_bytes()).to_string();
    if file.version != VERSION || file.digest != digest {
        return None;
    }
    serde_json::from_str(&file.configuration).ok()
}
