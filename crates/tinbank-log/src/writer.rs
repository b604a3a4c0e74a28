//! Appends to the log for a whole process: the edge around [`Group`](crate::group::Group).

use std::{
    collections::HashMap,
    fmt,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant, SystemTime},
};

use bytes::Bytes;
use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use serde::Serialize;
use tinbank_base::{
    clock::Stamp,
    id,
    platform::log::{self, Log, Stream},
    record,
};
use tokio::{
    sync::{mpsc, oneshot, watch},
    task::JoinSet,
    time,
};

use crate::{
    budget::Priority,
    encode,
    group::{Action, Answer, Append, Group, Settings as Bounds, Ticket},
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

/// Why an append has no offset. Only [`Error::Unknown`] leaves open whether the records stand in the stream.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The records are provably not in the stream and never will be.
    #[error("not appended: {0}")]
    NotAppended(String),
    /// The records may stand in the stream, or appear later. A reader that has passed a later envelope of this
    /// writer without finding this one knows that it never counts.
    #[error("it is not known whether envelope {sequence} was appended: {reason}")]
    Unknown {
        /// Number of the envelope.
        sequence: u64,
        /// The last answer.
        reason: String,
    },
    /// The buffer is full; nothing was appended.
    #[error("not appended: {buffered} of {limit} bytes wait for the log already")]
    Full {
        /// Bytes that wait or are in flight.
        buffered: usize,
        /// The bound.
        limit: usize,
    },
    /// The records are larger than one envelope may be; nothing was appended.
    #[error("not appended: {size} bytes are over the limit of {limit} for one append")]
    TooLarge {
        /// Their size in bytes.
        size: usize,
        /// The bound.
        limit: usize,
    },
    /// There are no records.
    #[error("not appended: there are no records")]
    Empty,
    /// The writer has stopped. Whether the records stand in the stream is not known if it stopped while they were in
    /// flight.
    #[error("the log writer has stopped")]
    Stopped,
}

impl Error {
    /// Whether the records may stand in the stream.
    pub fn may_stand(&self) -> bool {
        matches!(self, Self::Unknown { .. } | Self::Stopped)
    }
}

/// Handle on the task that appends. Clones share it; the task ends with the last of them, after what it was given.
#[derive(Clone)]
pub struct Writer {
    identity: record::Writer,
    settings: Settings,
    buffered: Arc<AtomicUsize>,
    sender: mpsc::UnboundedSender<Message>,
}

impl fmt::Debug for Writer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Writer")
            .field("identity", &self.identity)
            .finish_non_exhaustive()
    }
}

struct Message {
    append: Append,
    reply: Reply,
}

struct Reply {
    sender: oneshot::Sender<Result<id::Offset, Error>>,
    room: Room,
}

/// Bytes taken from the buffer, given back when dropped.
struct Room {
    buffered: Arc<AtomicUsize>,
    bytes: usize,
}

impl Drop for Room {
    fn drop(&mut self) {
        self.buffered.fetch_sub(self.bytes, Ordering::Relaxed);
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
        let task = Task {
            log,
            identity,
            stamper,
            answer_timeout: settings.answer_timeout,
            group: Group::new(settings.group, share, now()),
            replies: HashMap::new(),
            envelopes: HashMap::new(),
            sends: JoinSet::new(),
            jitter: StdRng::seed_from_u64(seed(identity)),
            next_ticket: 0,
        };
        tokio::spawn(task.run(messages, writers));
        Self {
            identity,
            settings,
            buffered: Arc::default(),
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
        let limit = self.settings.buffer_bytes;
        let taken = self
            .buffered
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |buffered| {
                Some(buffered + bytes).filter(|buffered| *buffered <= limit)
            });
        match taken {
            Ok(_) => Ok(Room {
                buffered: self.buffered.clone(),
                bytes,
            }),
            Err(buffered) => {
                metrics::counter!("tinbank_log_appends_refused_total").increment(1);
                Err(Error::Full { buffered, limit })
            }
        }
    }
}

struct Task {
    log: Arc<dyn Log>,
    identity: record::Writer,
    stamper: Stamper,
    answer_timeout: Duration,
    group: Group,
    replies: HashMap<Ticket, Reply>,
    envelopes: HashMap<Stream, Bytes>,
    sends: JoinSet<Sent>,
    jitter: StdRng,
    next_ticket: Ticket,
}

struct Sent {
    stream: Stream,
    answer: Answer,
}

impl Task {
    async fn run(
        mut self,
        mut messages: mpsc::UnboundedReceiver<Message>,
        mut writers: watch::Receiver<usize>,
    ) {
        let mut open = true;
        let mut sharing = true;
        while open || !self.group.idle() {
            let wake = self.group.wake_at().map(time::Instant::from_std);
            tokio::select! {
                biased;
                Some(sent) = self.sends.join_next() => self.sent(sent),
                message = messages.recv(), if open => match message {
                    Some(message) => self.take(message, &mut messages),
                    None => open = false,
                },
                changed = writers.changed(), if sharing => match changed {
                    Ok(()) => self.group.share(*writers.borrow_and_update(), now()),
                    Err(_) => sharing = false,
                },
                () = sleep_until(wake) => {}
            }
            let actions = self.group.poll(now());
            self.act(actions);
        }
    }

    /// Takes all messages that are there, so that callers of one moment share an envelope.
    fn take(&mut self, first: Message, messages: &mut mpsc::UnboundedReceiver<Message>) {
        let mut next = Some(first);
        while let Some(Message { append, reply }) = next {
            self.next_ticket += 1;
            self.replies.insert(self.next_ticket, reply);
            self.group.append(Append {
                ticket: self.next_ticket,
                ..append
            });
            next = messages.try_recv().ok();
        }
    }

    fn sent(&mut self, sent: Result<Sent, tokio::task::JoinError>) {
        // The task of a send neither panics nor is it cancelled before this one.
        let Ok(Sent { stream, answer }) = sent else {
            return;
        };
        if let Answer::Unknown(reason) | Answer::Refused { reason, .. } = &answer {
            metrics::counter!("tinbank_log_append_failures_total").increment(1);
            ::log::warn!(stream:%, reason:%; "append failed");
        }
        let actions = self
            .group
            .answered(stream, answer, self.jitter.random(), now());
        self.act(actions);
    }

    fn act(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send {
                    stream,
                    sequence,
                    records,
                    count,
                } => {
                    let stamp = (self.stamper)();
                    let envelope =
                        encode::envelope(self.identity, sequence, stamp, count, &records);
                    metrics::counter!("tinbank_log_records_total").increment(count as u64);
                    self.envelopes.insert(stream, envelope.clone());
                    self.send(stream, envelope);
                }
                Action::Resend { stream, .. } => {
                    if let Some(envelope) = self.envelopes.get(&stream).cloned() {
                        self.send(stream, envelope);
                    }
                }
                Action::Resolve { ticket, result } => {
                    if let Some(reply) = self.replies.remove(&ticket) {
                        drop(reply.room);
                        // A caller that has gone away needs no answer.
                        let _ = reply.sender.send(result);
                    }
                }
            }
        }
    }

    fn send(&mut self, stream: Stream, envelope: Bytes) {
        metrics::counter!("tinbank_log_appends_total").increment(1);
        metrics::counter!("tinbank_log_append_bytes_total").increment(envelope.len() as u64);
        let log = self.log.clone();
        let until = time::Instant::now() + self.answer_timeout;
        self.sends.spawn(async move {
            let append = log.append(stream, envelope);
            let answer = match time::timeout_at(until, append).await {
                Ok(result) => answer(result),
                Err(_) => Answer::Unknown("the log gave no answer in time".to_owned()),
            };
            Sent { stream, answer }
        });
    }
}

/// Differs between processes, so that they don't come back in step, and is the same in each run of a test.
fn seed(identity: record::Writer) -> u64 {
    let host = u64::from(identity.process.host);
    identity.incarnation ^ (host << 32) ^ identity.process.role as u64
}

fn answer(result: Result<id::Offset, log::Error>) -> Answer {
    match result {
        Ok(offset) => Answer::Durable(offset),
        Err(log::Error::Throttled { retry_at }) => Answer::Refused {
            reason: "the log takes no more appends".to_owned(),
            retry_at: Some(monotonic(retry_at)),
        },
        Err(log::Error::TooLarge { size, limit }) => Answer::TooLarge { size, limit },
        Err(error @ log::Error::Unavailable(_)) => Answer::Refused {
            reason: error.to_string(),
            retry_at: None,
        },
        Err(
            error @ (log::Error::Unknown(_) | log::Error::Protocol(_) | log::Error::Trimmed { .. }),
        ) => Answer::Unknown(error.to_string()),
    }
}

/// Longest pause that the service can ask for, in case its clock differs much from ours.
const LONGEST_PAUSE: Duration = Duration::from_secs(5);

fn monotonic(at: SystemTime) -> Instant {
    let wait = at.duration_since(SystemTime::now()).unwrap_or_default();
    now() + wait.min(LONGEST_PAUSE)
}

/// The time of tokio's clock, which tests can pause.
fn now() -> Instant {
    time::Instant::now().into_std()
}

async fn sleep_until(at: Option<time::Instant>) {
    match at {
        Some(at) => time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}
