//! Follows the configuration stream and puts each state in force.
//!
//! The log is the first source; peers are the second, so that a slow log delays few and an outage does not keep a
//! new host from serving. See `docs/design/configuration.md`.

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

/// How the stream is followed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// How the log is read.
    pub reader: reader::Settings,
    /// How often it is looked whether a peer is ahead.
    pub peers_every: Duration,
    /// Time that a peer has to answer.
    pub peer_timeout: Duration,
    /// In an outage at the start: how long to listen for peers before the newest state heard of counts as the newest.
    pub settle: Duration,
    /// When a checkpoint is due.
    pub checkpoint: checkpoint::Policy,
    /// How often it is looked whether a checkpoint is due. Each look is put off at random by up to as much again, so
    /// that of many hosts one comes first.
    pub checkpoint_every: Duration,
    /// Most bytes of recent entries that are kept for peers.
    pub history_bytes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            reader: reader::Settings::default(),
            peers_every: Duration::from_millis(250),
            peer_timeout: Duration::from_secs(3),
            settle: Duration::from_secs(3),
            checkpoint: checkpoint::Policy::default(),
            checkpoint_every: Duration::from_secs(300),
            history_bytes: 2 << 20,
        }
    }
}

/// How far the configuration is at this process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// The stream up to before this offset is in force.
    pub next: id::Offset,
    /// Whether the process may serve: it has been at the tail or, in an outage, has the newest state of its peers.
    pub ready: bool,
}

/// Handle on the task that follows the stream. Clones share it; the task ends with the last of them.
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

/// Commands that may wait for the task; more make the sender wait.
const COMMANDS: usize = 64;

enum Command {
    Connect {
        peers: Arc<dyn Peers>,
        directory: Arc<dyn Directory>,
    },
    Offer(Vec<Entry>),
    Serve {
        from: id::Offset,
        reply: oneshot::Sender<Vec<Response>>,
    },
}

impl Follower {
    /// Starts to follow the stream. With a writer the process also writes checkpoints when they are due.
    pub fn start(
        log: Arc<dyn Log>,
        recorder: Recorder,
        checkpoints: Option<Writer>,
        settings: Settings,
    ) -> Self {
        let shared = Shared::default();
        let (progress_sender, progress) = watch::channel(Progress::default());
        let (commands, receiver) = mpsc::channel(COMMANDS);
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

    /// The place where traffic threads read the configuration in force.
    pub fn shared(&self) -> Shared {
        self.shared.clone()
    }

    /// The configuration in force.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.shared.load_full()
    }

    /// How far it is, as a watch; the snapshot is published before the watch changes.
    pub fn progress(&self) -> watch::Receiver<Progress> {
        self.progress.clone()
    }

    /// Gives the follower its peers, once the process knows any: from now on it asks those that are ahead.
    pub async fn connect(&self, peers: Arc<dyn Peers>, directory: Arc<dyn Directory>) {
        self.command(Command::Connect { peers, directory }).await;
    }

    /// Takes in entries from a peer.
    pub async fn offer(&self, entries: Vec<Entry>) {
        self.command(Command::Offer(entries)).await;
    }

    /// Answers a peer that asks for the stream from an offset on. Empty frames mean that there is nothing newer.
    pub async fn serve(&self, from: id::Offset) -> Vec<Response> {
        let (reply, answer) = oneshot::channel();
        self.command(Command::Serve { from, reply }).await;
        answer
            .await
            .unwrap_or_else(|_| vec![Response::Config(Vec::new())])
    }

    /// The task ends only when the process does; a command for it then has no more use.
    async fn command(&self, command: Command) {
        let _ = self.commands.send(command).await;
    }
}
