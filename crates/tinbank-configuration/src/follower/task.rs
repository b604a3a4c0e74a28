//! The task behind a [`Follower`](super::Follower).

use std::{sync::Arc, time::Duration};

use tinbank_base::{
    digest,
    event::{Kind, Subject},
    frame::request::Response,
    id,
    platform::log::{Bounds, Entry, Log, Stream},
    record::{Envelope, Writer as Identity, config::Record},
};
use tinbank_log::{
    reader::{Event, Reader},
    writer::Writer,
};
use tinbank_timeline::Recorder;
use tokio::{
    sync::{mpsc, watch},
    task::JoinSet,
    time,
};

use super::{Command, Progress, Settings, history::History, peers::Source};
use crate::{
    fold::{Fold, Judged, Verdict, checkpoint},
    snapshot::Shared,
};

/// Most bytes of payloads in one frame to a peer, well under the largest frame.
const FRAME_BYTES: usize = 2 << 20;

pub(super) struct Task {
    log: Arc<dyn Log>,
    reader: Reader<Record>,
    recorder: Recorder,
    checkpoints: Option<Writer>,
    settings: Settings,
    shared: Shared,
    progress: watch::Sender<Progress>,
    fold: Fold,
    history: History,
    source: Option<Source>,
    asked: JoinSet<Vec<Entry>>,
    looking: JoinSet<Option<Bounds>>,
    writing: JoinSet<()>,
    outage: Option<time::Instant>,
    looks: u64,
}

impl Task {
    pub(super) fn new(
        log: Arc<dyn Log>,
        recorder: Recorder,
        checkpoints: Option<Writer>,
        settings: Settings,
        shared: Shared,
        progress: watch::Sender<Progress>,
    ) -> Self {
        Self {
            reader: Reader::new(log.clone(), Stream::Config, 0, settings.reader),
            log,
            recorder,
            checkpoints,
            settings,
            shared,
            progress,
            fold: Fold::default(),
            history: History::new(settings.history_bytes),
            source: None,
            asked: JoinSet::new(),
            looking: JoinSet::new(),
            writing: JoinSet::new(),
            outage: None,
            looks: 0,
        }
    }

    pub(super) async fn run(mut self, mut commands: mpsc::Receiver<Command>) {
        let mut peers = interval(self.settings.peers_every);
        let mut look = time::Instant::now() + self.spread();
        loop {
            tokio::select! {
                event = self.reader.next() => self.read(event),
                command = commands.recv() => match command {
                    Some(command) => self.obey(command),
                    None => return,
                },
                Some(entries) = self.asked.join_next() => self.offered(&entries.unwrap_or_default()),
                Some(_) = self.writing.join_next() => {}
                _ = peers.tick() => self.look_at_peers(),
                () = time::sleep_until(look) => {
                    self.look_at_bounds();
                    look = time::Instant::now() + self.spread();
                }
                Some(Ok(bounds)) = self.looking.join_next() => self.look_at_checkpoint(bounds),
            }
        }
    }

    fn read(&mut self, event: Event<Record>) {
        match event {
            Event::Record { entry, .. } | Event::Skipped { entry, .. } => self.take(&entry),
            Event::Tail { next, .. } => self.at_tail(next),
            Event::Trimmed { first } => self.fold.on_trimmed(first),
            Event::Outage { .. } => self.log_lost(),
        }
    }

    fn take(&mut self, entry: &Entry) {
        let before = self.fold.state().next();
        let judged = self.fold.apply(entry);
        if entry.offset == before {
            self.history.push(entry);
        }
        report(&judged);
    }

    fn at_tail(&mut self, next: id::Offset) {
        if self.outage.take().is_some() {
            self.recorder.note(Subject::default(), Kind::LogBack);
        }
        if self.fold.incomplete() {
            let have = self.fold.state().next();
            log::error!(have, tail = next; "the configuration stream has no whole checkpoint");
            metrics::counter!("tinbank_configuration_incomplete_total").increment(1);
            return;
        }
        self.publish();
        self.be_ready();
    }

    fn log_lost(&mut self) {
        self.publish();
        if self.outage.is_none() {
            self.outage = Some(time::Instant::now());
            self.recorder.note(Subject::default(), Kind::LogLost);
        }
    }

    fn obey(&mut self, command: Command) {
        match command {
            Command::Connect { peers, directory } => {
                self.source = Some(Source {
                    own: self.recorder.process(),
                    peers,
                    directory,
                });
            }
            Command::Offer(entries) => self.offered(&entries),
            Command::Serve { from, reply } => {
                // The peer may have gone away.
                let _ = reply.send(self.serve(from));
            }
        }
    }

    fn offered(&mut self, entries: &[Entry]) {
        let before = self.fold.state().next();
        let judged = self.fold.offer(entries);
        let next = self.fold.state().next();
        if next == before {
            return;
        }
        for entry in entries.iter().filter(|entry| entry.offset >= before) {
            if !checkpoint::is_stand_in(entry) {
                self.history.push(entry);
            }
        }
        report(&judged);
        metrics::counter!("tinbank_configuration_from_peers_total").increment(next - before);
        self.reader.skip_to(next);
        self.publish();
    }

    fn look_at_peers(&mut self) {
        let Some(source) = &self.source else {
            return;
        };
        let next = self.fold.state().next();
        if self.asked.is_empty()
            && let Some(to) = source.ahead(next)
        {
            let ask = source.clone().ask(to, next, self.settings.peer_timeout);
            self.asked.spawn(ask);
        }
        let settled = self
            .outage
            .is_some_and(|since| since.elapsed() >= self.settings.settle);
        let newest = source.newest();
        if settled && next > 0 && newest.is_some_and(|newest| newest <= next) {
            self.be_ready();
        }
    }

    fn be_ready(&self) {
        self.progress.send_if_modified(|progress| {
            let changed = !progress.ready;
            progress.ready = true;
            changed
        });
    }

    /// Puts the state in force, if it is newer than what is.
    fn publish(&self) {
        let next = self.fold.state().next();
        if next <= self.progress.borrow().next {
            return;
        }
        self.shared.store(Arc::new(self.fold.state().snapshot()));
        self.progress.send_modify(|progress| progress.next = next);
        self.recorder
            .note(Subject::default(), Kind::Configured { config: next });
        metrics::gauge!("tinbank_configuration_offset").set(next as f64);
    }

    fn serve(&self, from: id::Offset) -> Vec<Response> {
        let next = self.fold.state().next();
        if from >= next {
            return vec![Response::Config(Vec::new())];
        }
        let entries = self
            .history
            .range(from, next)
            .unwrap_or_else(|| self.stand_ins());
        frames(entries)
    }

    fn stand_ins(&self) -> Vec<Entry> {
        let writer = Identity {
            process: self.recorder.process(),
            incarnation: self.recorder.incarnation(),
        };
        let stamp = self.recorder.stamp();
        self.fold.stand_ins(|part| {
            let envelope = Envelope {
                writer,
                sequence: 0,
                stamp,
                records: vec![part],
            };
            envelope.encode()
        })
    }

    /// Asks what the stream still holds; [`Task::look_at_checkpoint`] goes on with the answer.
    fn look_at_bounds(&mut self) {
        self.looks += 1;
        if self.checkpoints.is_none() {
            return;
        }
        let log = self.log.clone();
        let within = self.settings.reader.answer_timeout;
        self.looking.spawn(async move {
            let bounds = time::timeout(within, log.bounds(Stream::Config)).await;
            bounds.ok()?.ok()
        });
    }

    fn look_at_checkpoint(&mut self, bounds: Option<Bounds>) {
        let Some(writer) = self.checkpoints.clone() else {
            return;
        };
        let idle = self.writing.is_empty() && self.reader.at_tail() && !self.fold.incomplete();
        if !idle || self.fold.state().next() == 0 {
            return;
        }
        let coverage = self.fold.coverage();
        let now = self.recorder.stamp().time();
        // Retention takes the last checkpoint only if it is shorter than the settings say.
        let lost = bounds.is_some_and(|bounds| coverage.lost(bounds.first));
        if lost || coverage.due(self.settings.checkpoint, now) {
            let parts = checkpoint::parts(self.fold.state());
            self.writing.spawn(write(writer, parts));
        }
    }

    /// Time till the next look: different for each process and look, and the same in each run of a test.
    fn spread(&self) -> Duration {
        let every = self.settings.checkpoint_every;
        let name = format!("{}/{}", self.recorder.process(), self.looks);
        let drawn = digest::prefix(&digest::of(name.as_bytes()));
        every + every.mul_f64(drawn as f64 / u128::MAX as f64)
    }
}

async fn write(writer: Writer, parts: Vec<Record>) {
    let count = parts.len();
    for part in parts {
        if let Err(error) = writer.append(Stream::Config, vec![part]).await {
            log::warn!(error:%; "checkpoint of the configuration was not written whole");
            return;
        }
    }
    log::info!(parts = count; "checkpoint of the configuration written");
}

fn interval(every: Duration) -> time::Interval {
    let mut interval = time::interval(every);
    interval.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    interval
}

fn frames(entries: Vec<Entry>) -> Vec<Response> {
    let mut frames = vec![Vec::new()];
    let mut bytes = 0;
    for entry in entries {
        bytes += entry.payload.len();
        if bytes > FRAME_BYTES {
            frames.push(Vec::new());
            bytes = entry.payload.len();
        }
        if let Some(frame) = frames.last_mut() {
            frame.push(entry);
        }
    }
    frames.into_iter().map(Response::Config).collect()
}

fn report(judged: &[Judged]) {
    for judged in judged {
        let (verdict, reason) = match &judged.verdict {
            Verdict::Accepted { .. } => ("accepted", String::new()),
            Verdict::Overtaken { by, .. } => ("overtaken", by.clone().unwrap_or_default()),
            Verdict::Invalid { findings } => {
                let first = findings.first().map(ToString::to_string);
                ("invalid", first.unwrap_or_default())
            }
            Verdict::Copy => ("copy", String::new()),
        };
        metrics::counter!("tinbank_configuration_changes_total", "verdict" => verdict).increment(1);
        log::info!(
            offset = judged.offset,
            object:% = judged.object,
            author:% = judged.author,
            verdict,
            reason:%;
            "configuration change judged"
        );
    }
}
