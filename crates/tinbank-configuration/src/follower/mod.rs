//! Follows the configuration stream and activates each new state.
//!
//! Entries come from the log or, if it is slow or unavailable, from peers, so that a new host can serve during an outage
//! of the log. See `docs/design/configuration.md`.

mod history;
mod peers;
mod task;

use std::{fmt, sync::Arc, time::Duration};

use tinbank_base::{
    frame::request::Response,
    id,
    peer::{Directory, Peers},
    platform::log::{Entry, Log},
};
use tinbank_log::{reader, writer::Writer};
use tinbank_timeline::Recorder;
use tokio::sync::{mpsc, oneshot, watch};

use crate::{
    fold::checkpoint,
    snapshot::{Shared, Snapshot},
};

/// Settings of a [`Follower`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Settings of the log reader.
    pub reader: reader::Settings,
    /// Interval of checks for peers with a newer configuration.
    pub peer_check_interval: Duration,
    /// Timeout of requests to peers.
    pub peer_timeout: Duration,
    /// When starting during an outage: time to discover peers before the newest state among them counts as current.
    pub peer_discovery_time: Duration,
    /// When to write a checkpoint.
    pub checkpoint: checkpoint::Policy,
    /// Minimum interval of checks whether a checkpoint is due. Jitter of up to the same length is added, so that usually
    /// one of many hosts writes it.
    pub checkpoint_check_interval: Duration,
    /// Maximum number of bytes of recent entries kept for peers.
    pub history_bytes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            reader: reader::Settings::default(),
            peer_check_interval: Duration::from_millis(250),
            peer_timeout: Duration::from_secs(3),
            peer_discovery_time: Duration::from_secs(3),
            checkpoint: checkpoint::Policy::default(),
            checkpoint_check_interval: Duration::from_secs(300),
            history_bytes: 2 << 20,
        }
    }
}

/// How far this process has followed the stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Offset of the first entry that is not yet active.
    pub next: id::Offset,
    /// Whether the process may serve: it has reached the tail or, during an outage, has the newest state of its peers.
    pub ready: bool,
}

/// Handle to the task that follows the stream. Clones share the task, which ends when the last of them is dropped.
#[derive(Clone)]
pub struct Follower {
    shared: Shared,
    progress: watch::Receiver<Progress>,
    commands: mpsc::Sender<Command>,
}

impl fmt::Debug for Follower {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Follower")
            .field("progress", &*self.progress.borrow())
            .finish_non_exhaustive()
    }
}

/// Capacity of the command queue. Senders wait while it is full.
const COMMAND_QUEUE_CAPACITY: usize = 64;

enum Command {
    Connect {
        peers: Arc<dyn Peers>,
        directory: Arc<dyn Directory>,
    },
    ApplyFromPeer(Vec<Entry>),
    Serve {
        from: id::Offset,
        reply: oneshot::Sender<Vec<Response>>,
    },
}

impl Follower {
    /// Starts to follow the stream. Also writes checkpoints when they are due if `checkpoints` is a writer.
    pub fn start(
        log: Arc<dyn Log>,
        recorder: Recorder,
        checkpoints: Option<Writer>,
        settings: Settings,
    ) -> Self {
        let shared = Shared::default();
        let (progress_sender, progress) = watch::channel(Progress::default());
        let (commands, receiver) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
        let task = task::Task::new(
            log,
            recorder,
            checkpoints,
            settings,
            shared.clone(),
            progress_sender,
        );
        tokio::spawn(task.run(receiver));
        Self {
            shared,
            progress,
            commands,
        }
    }

    /// Returns the shared snapshot that traffic threads read.
    pub fn shared(&self) -> Shared {
        self.shared.clone()
    }

    /// Returns the active configuration.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.shared.load_full()
    }

    /// Returns a watch on the progress. It changes after the corresponding snapshot is published.
    pub fn progress(&self) -> watch::Receiver<Progress> {
        self.progress.clone()
    }

    /// Connects the follower to peers, from which it requests newer entries from now on.
    pub async fn connect(&self, peers: Arc<dyn Peers>, directory: Arc<dyn Directory>) {
        self.command(Command::Connect { peers, directory }).await;
    }

    /// Applies entries received from a peer.
    pub async fn apply_from_peer(&self, entries: Vec<Entry>) {
        self.command(Command::ApplyFromPeer(entries)).await;
    }

    /// Answers the request of a peer for the entries from an offset on. A response without entries means that there is
    /// nothing newer.
    pub async fn serve(&self, from: id::Offset) -> Vec<Response> {
        let (reply, answer) = oneshot::channel();
        self.command(Command::Serve { from, reply }).await;
        answer
            .await
            .unwrap_or_else(|_| vec![Response::Config(Vec::new())])
    }

    /// Sends a command to the task. A closed channel is ignored, as the task ends only together with the process.
    async fn command(&self, command: Command) {
        let _ = self.commands.send(command).await;
    }
}
