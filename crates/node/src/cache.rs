//! Caches the last configuration on disk, so that a node can start while control is unreachable.
//!
//! The cache is not authoritative: a configuration from control replaces it,
//! and a corrupt cache or one of another format version is ignored.

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

/// Version of the file format.
const VERSION: u32 = 1;

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    version: u32,
    /// BLAKE3 digest of `configuration`, which detects a corrupt file.
    digest: String,
    configuration: String,
}

/// Writes the configuration in the background. Does nothing without a cache folder.
pub(crate) fn store(state: &Arc<State>, view: View) {
    let Some(folder) = state.cache.clone() else {
        return;
    };
    state.tasks.spawn_blocking(move || {
        if let Err(error) = write(&folder, &view) {
            warn!(event = "cache-not-written"; "writing the configuration cache failed: {error}");
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

/// Time since the cached configuration was written; `None` without a readable cache file.
pub(crate) fn age(folder: &Path) -> Option<Duration> {
    let written = fs::metadata(folder.join(FILE)).ok()?.modified().ok()?;
    written.elapsed().ok()
}

/// Reads the cached configuration; `None` if it is missing, corrupt or of another version.
pub(crate) fn load(folder: &Path) -> Option<View> {
    let bytes = fs::read(folder.join(FILE)).ok()?;
    let view = parse(&bytes);
    match &view {
        Some(view) => info!(event = "cache-read", revision = view.revision.0; "cache was read"),
        None => {
            warn!(event = "cache-ignored"; "the cached configuration is corrupt or of another format version");
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
