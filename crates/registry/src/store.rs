//! What a registry process keeps on its disk.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use log::warn;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Mutex;
use tokio::task;
use tokio::time;

use shallotrill_disk::calls::IoCalls;
use shallotrill_disk::document::Document;
use shallotrill_disk::failure::Failure;
use shallotrill_disk::folder::Folder;
use shallotrill_items::ballot::Identity;
use shallotrill_items::replica::Replica;

/// Name of the document in the data folder.
const NAME: &str = "registers";

/// Pause before the disk is tried again at the start.
const RETRY: Duration = Duration::from_millis(500);

/// Content of the document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Content {
    /// Whether the process takes part in agreements.
    pub votes: bool,
    /// Its registers.
    pub replica: Replica,
}

/// The disk of a registry process.
#[derive(Debug)]
pub struct Store {
    document: Arc<Document>,
    /// Revision that is durable. It is locked across a sync, so writers queue and share one sync.
    durable: Mutex<u64>,
    _folder: Folder,
}

/// Opens the data folder and reads what it holds; waits while the disk refuses.
pub async fn open(path: &Path) -> (Store, Identity, Option<Content>) {
    loop {
        match try_open(path) {
            Ok(opened) => return opened,
            Err(error) => warn!(event = "disk-refused"; "{error}"),
        }
        time::sleep(RETRY).await;
    }
}

fn try_open(path: &Path) -> Result<(Store, Identity, Option<Content>), Failure> {
    let folder = Folder::open(path)?;
    let identity = folder.identity();
    let document = Document::new(path, NAME, identity, IoCalls::default());
    let content = document.read()?;
    let content = content.and_then(|bytes| match postcard::from_bytes(&bytes) {
        Ok(content) => Some(content),
        Err(error) => {
            // The checksum was right, so another release has written it. Copying from the others is safe.
            warn!(event = "registers-unreadable"; "{error}");
            None
        }
    });
    info!(event = "disk-opened", identity = identity.to_string().as_str(), remembered = content.is_some(); "");
    let store = Store {
        document: Arc::new(document),
        durable: Mutex::new(0),
        _folder: folder,
    };
    Ok((store, Identity(identity.0), content))
}

impl Store {
    /// Makes all changes up to `revision` durable. `content` gives the present content and its revision.
    ///
    /// # Errors
    ///
    /// Fails when the disk refuses.
    pub async fn persist(
        &self,
        revision: u64,
        content: &(dyn Fn() -> (u64, Content) + Send + Sync),
    ) -> Result<(), Failure> {
        let mut durable = self.durable.lock().await;
        if *durable >= revision {
            return Ok(());
        }
        let (covers, content) = content();
        let bytes = postcard::to_allocvec(&content).unwrap_or_default();
        let document = Arc::clone(&self.document);
        let written = task::spawn_blocking(move || document.write(&bytes)).await;
        match written {
            Ok(Ok(())) => {
                *durable = covers;
                Ok(())
            }
            Ok(Err(failure)) => Err(failure),
            Err(panic) => std::panic::resume_unwind(panic.into_panic()),
        }
    }
}
