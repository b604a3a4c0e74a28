//! The task that appends: it drives the [`Group`] with the log's answers and the clock.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant, SystemTime},
};

use bytes::Bytes;
use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use tinbank_base::{
    id,
    platform::log::{self, Log, Stream},
    record,
};
use tokio::{
    sync::{mpsc, oneshot, watch},
    task::JoinSet,
    time,
};

use super::{Error, Settings, Stamper, now, room::Room};
use crate::{
    encode,
    group::{Action, Answer, Append, Group, Ticket},
};

pub(super) struct Message {
    pub append: Append,
    pub reply: Reply,
}

pub(super) struct Reply {
    pub sender: oneshot::Sender<Result<id::Offset, Error>>,
    pub room: Room,
}

pub(super) struct Task {
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
    /// A task that has nothing to do yet; `share` is how many writers share the budget.
    pub fn new(
        log: Arc<dyn Log>,
        identity: record::Writer,
        stamper: Stamper,
        settings: Settings,
        share: usize,
    ) -> Self {
        Self {
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
        }
    }

    /// Runs until the last handle is gone and all that it was given has its answer.
    pub async fn run(
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

async fn sleep_until(at: Option<time::Instant>) {
    match at {
        Some(at) => time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}
