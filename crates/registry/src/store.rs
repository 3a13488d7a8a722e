//! Durable state of a registry process: one document with its registers and its vote.

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
const DOCUMENT_NAME: &str = "registers";

/// Delay before opening the data folder is retried at the start.
const OPEN_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Content of the document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Content {
    /// Whether the process is a voter.
    pub votes: bool,
    /// Replica of the registers.
    pub replica: Replica,
}

/// Store of a registry process.
#[derive(Debug)]
pub struct Store {
    document: Arc<Document>,
    /// Latest durable revision. It is locked during a sync, so that queued writers share the next sync.
    durable: Mutex<u64>,
    _folder: Folder,
}

/// Opens the data folder and reads its content, if there is any. Retries until this succeeds.
pub async fn open(path: &Path) -> (Store, Identity, Option<Content>) {
    loop {
        match try_open(path) {
            Ok(opened) => return opened,
            Err(error) => warn!(
                event = "disk-refused";
                "cannot open the data folder, trying again: {error}"
            ),
        }
        time::sleep(OPEN_RETRY_INTERVAL).await;
    }
}

fn try_open(path: &Path) -> Result<(Store, Identity, Option<Content>), Failure> {
    let folder = Folder::open(path)?;
    let identity = folder.identity();
    let document = Document::new(path, DOCUMENT_NAME, identity, IoCalls::default());
    let content = document.read()?;
    let content = content.and_then(|bytes| match postcard::from_bytes(&bytes) {
        Ok(content) => Some(content),
        Err(error) => {
            // The checksum was correct, so another release has written the document. The registers can
            // be copied from the other processes.
            warn!(event = "registers-unreadable"; "cannot decode the stored registers, starting without them: {error}");
            None
        }
    });
    info!(event = "disk-opened", identity = identity.to_string().as_str(), remembered = content.is_some(); "data folder opened");
    let store = Store {
        document: Arc::new(document),
        durable: Mutex::new(0),
        _folder: folder,
    };
    Ok((store, Identity(identity.0), content))
}

impl Store {
    /// Makes all changes up to `revision` durable. `content` returns the current revision and content.
    ///
    /// # Errors
    ///
    /// Fails when the document cannot be written.
    pub async fn persist(
        &self,
        revision: u64,
        content: &(dyn Fn() -> (u64, Content) + Send + Sync),
    ) -> Result<(), Failure> {
        let mut durable = self.durable.lock().await;
        if *durable >= revision {
            return Ok(());
        }
        let (written_revision, content) = content();
        let bytes = postcard::to_allocvec(&content).unwrap_or_default();
        let document = Arc::clone(&self.document);
        let written = task::spawn_blocking(move || document.write(&bytes)).await;
        match written {
            Ok(Ok(())) => {
                *durable = written_revision;
                Ok(())
            }
            Ok(Err(failure)) => Err(failure),
            Err(panic) => std::panic::resume_unwind(panic.into_panic()),
        }
    }
}
