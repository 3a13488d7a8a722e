//! Durable state of a registry process: a document with its registers, and one with the departures of
//! backend servers, which change more often and are small.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use log::warn;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::Mutex;
use tokio::task;
use tokio::time;

use shallotrill_disk::calls::IoCalls;
use shallotrill_disk::document::Document;
use shallotrill_disk::failure::Failure;
use shallotrill_disk::folder::Folder;
use shallotrill_feed::message::Departure;
use shallotrill_items::ballot::Identity;
use shallotrill_items::replica::Replica;

/// Name of the document with the registers.
const REGISTERS_NAME: &str = "registers";

/// Name of the document with the departures.
const DEPARTURES_NAME: &str = "departures";

/// Delay before opening the data folder is retried at the start.
const OPEN_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Content of the document with the registers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Content {
    /// Whether the process was there at the first start of the whole system, or a voter in a release without a list of
    /// voters. It may then take part in forming the first list.
    pub founder: bool,
    /// Replica of the registers.
    pub replica: Replica,
}

/// Store of a registry process.
#[derive(Debug)]
pub struct Store {
    /// The registers.
    pub registers: Revisions,
    /// The departures of backend servers.
    pub departures: Revisions,
    _folder: Folder,
}

/// What a registry process reads from its data folder at its start.
#[derive(Debug)]
pub struct Opened {
    /// The opened store.
    pub store: Store,
    /// Identity of the disk.
    pub identity: Identity,
    /// Registers; `None` if they were never written or cannot be decoded.
    pub content: Option<Content>,
    /// Departures of backend servers.
    pub departures: Vec<Departure>,
}

/// Opens the data folder and reads its content, if there is any. Retries until this succeeds.
pub async fn open(path: &Path) -> Opened {
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

fn try_open(path: &Path) -> Result<Opened, Failure> {
    let folder = Folder::open(path)?;
    let identity = folder.identity();
    let document = |name| Document::new(path, name, identity, IoCalls::default());
    let (registers, departures) = (document(REGISTERS_NAME), document(DEPARTURES_NAME));
    let content: Option<Content> = read(&registers)?;
    let departed: Option<Vec<Departure>> = read(&departures)?;
    info!(event = "disk-opened", identity = identity.to_string().as_str(), remembered = content.is_some(); "data folder opened");
    let store = Store {
        registers: Revisions::new(registers),
        departures: Revisions::new(departures),
        _folder: folder,
    };
    Ok(Opened {
        store,
        identity: Identity(identity.0),
        content,
        departures: departed.unwrap_or_default(),
    })
}

/// Reads a document; `None` if it was never written or cannot be decoded.
fn read<T: DeserializeOwned>(document: &Document) -> Result<Option<T>, Failure> {
    let Some(mut bytes) = document.read()? else {
        return Ok(None);
    };
    let decoded = postcard::from_bytes(&bytes).or_else(|_| {
        // Registers that an earlier release has written end before the list of proposals; zero is an empty list.
        bytes.push(0);
        postcard::from_bytes(&bytes)
    });
    match decoded {
        Ok(content) => Ok(Some(content)),
        Err(error) => {
            // The checksum was correct, so another release has written the document. Its content can be copied from
            // the other processes.
            warn!(event = "registers-unreadable"; "cannot decode a stored document, starting without it: {error}");
            Ok(None)
        }
    }
}

/// A document that is replaced whenever its content has a new revision.
#[derive(Debug)]
pub struct Revisions {
    document: Arc<Document>,
    /// Latest durable revision. It is locked during a write, so that queued writers share the next one.
    durable: Arc<Mutex<u64>>,
}

impl Revisions {
    /// Creates the revisions of a document, none of which is known to be durable.
    pub fn new(document: Document) -> Self {
        Self {
            document: Arc::new(document),
            durable: Arc::new(Mutex::new(0)),
        }
    }

    /// Makes all changes up to `revision` durable. `content` returns the current revision and its encoded content.
    ///
    /// # Errors
    ///
    /// Fails when the document cannot be written.
    pub async fn persist(
        &self,
        revision: u64,
        content: &(dyn Fn() -> (u64, Vec<u8>) + Send + Sync),
    ) -> Result<(), Failure> {
        let mut durable = Arc::clone(&self.durable).lock_owned().await;
        if *durable >= revision {
            return Ok(());
        }
        let (written_revision, bytes) = content();
        let document = Arc::clone(&self.document);
        // The write holds the lock: it goes on when the call is dropped, and the next one uses the same temporary file.
        let written = task::spawn_blocking(move || {
            document.write(&bytes)?;
            *durable = written_revision;
            Ok(())
        });
        match written.await {
            Ok(written) => written,
            Err(error) => match error.try_into_panic() {
                Ok(panic) => std::panic::resume_unwind(panic),
                // The runtime does not begin the write while it shuts down.
                Err(_) => Err(Failure::Stopping),
            },
        }
    }
}

/// Encodes the content of a document.
///
/// # Panics
///
/// Panics when the content has a type that the format does not support.
pub fn encode<T: Serialize>(content: &T) -> Vec<u8> {
    postcard::to_allocvec(content).expect("the content has only types that postcard supports")
}
