//! Appends to the log for a whole process: the edge around [`Group`](crate::group::Group).

mod error;
mod room;
mod task;

use std::{
    fmt,
    sync::Arc,
    time::{Duration, Instant},
};

use serde::Serialize;
use tinbank_base::{
    clock::Stamp,
    id,
    platform::log::{Log, Stream},
    record,
};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time,
};

pub use self::error::Error;
use self::{
    room::{Buffer, Room},
    task::{Message, Reply, Task},
};
use crate::{
    budget::Priority,
    encode,
    group::{Append, Settings as Bounds},
};

/// Gives the time stamp of an envelope, from the process's hybrid clock.
pub type Stamper = Arc<dyn Fn() -> Stamp + Send + Sync>;

/// What bounds a writer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Bounds of groups, backoff and budget.
    pub group: Bounds,
    /// Most bytes of records that wait or are in flight, over all streams.
    pub buffer_bytes: usize,
    /// Time that [`Writer::append`] gives an append.
    pub append_timeout: Duration,
    /// Time after which an answer of the log counts as lost.
    pub answer_timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            group: Bounds::default(),
            buffer_bytes: 16 << 20,
            append_timeout: Duration::from_secs(10),
            answer_timeout: Duration::from_secs(3),
        }
    }
}

/// Handle on the task that appends. Clones share it; the task ends with the last of them, after what it was given.
#[derive(Clone)]
pub struct Writer {
    identity: record::Writer,
    settings: Settings,
    buffer: Buffer,
    sender: mpsc::UnboundedSender<Message>,
}

impl fmt::Debug for Writer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Writer")
            .field("identity", &self.identity)
            .finish_non_exhaustive()
    }
}

impl Writer {
    /// Starts the task. `writers` tells how many live processes share the fleet's budget, this one included.
    pub fn start(
        log: Arc<dyn Log>,
        identity: record::Writer,
        stamper: Stamper,
        settings: Settings,
        writers: watch::Receiver<usize>,
    ) -> Self {
        let (sender, messages) = mpsc::unbounded_channel();
        let share = *writers.borrow();
        let task = Task::new(log, identity, stamper, settings, share);
        tokio::spawn(task.run(messages, writers));
        Self {
            identity,
            settings,
            buffer: Buffer::new(settings.buffer_bytes),
            sender,
        }
    }

    /// Who this writer is.
    pub fn identity(&self) -> record::Writer {
        self.identity
    }

    /// Appends records and returns the offset of their envelope once they last. Configuration and leases draw on the
    /// reserve by themselves; the wait is bounded by the settings.
    ///
    /// After a lost answer the offset is that of the copy sent last, and the fold may have counted an earlier one.
    /// So what depends on the place, such as a revision or a fencing number, is taken from the fold.
    ///
    /// # Errors
    /// See [`Error`]; dropping the future does not take the records back.
    pub async fn append<R: Serialize>(
        &self,
        stream: Stream,
        records: Vec<R>,
    ) -> Result<id::Offset, Error> {
        let priority = match stream {
            Stream::Config | Stream::Fleet => Priority::Reserved,
            Stream::Work(_) => Priority::Normal,
        };
        let deadline = now() + self.settings.append_timeout;
        self.append_by(stream, records, priority, deadline).await
    }

    /// Appends records with a given priority and deadline.
    ///
    /// # Errors
    /// See [`Error`]; dropping the future does not take the records back.
    pub async fn append_by<R: Serialize>(
        &self,
        stream: Stream,
        records: Vec<R>,
        priority: Priority,
        deadline: Instant,
    ) -> Result<id::Offset, Error> {
        if records.is_empty() {
            return Err(Error::Empty);
        }
        let count = records.len();
        let records = encode::records(&records);
        let room = self.room(records.len())?;
        let (sender, receiver) = oneshot::channel();
        let append = Append {
            ticket: 0,
            stream,
            records,
            count,
            priority,
            deadline,
        };
        let reply = Reply { sender, room };
        let message = Message { append, reply };
        self.sender.send(message).map_err(|_| Error::Stopped)?;
        receiver.await.map_err(|_| Error::Stopped)?
    }

    fn room(&self, bytes: usize) -> Result<Room, Error> {
        let limit = self.settings.group.group_bytes;
        if bytes > limit {
            return Err(Error::TooLarge { size: bytes, limit });
        }
        self.buffer.take(bytes)
    }
}

/// The time of tokio's clock, which tests can pause.
fn now() -> Instant {
    time::Instant::now().into_std()
}
