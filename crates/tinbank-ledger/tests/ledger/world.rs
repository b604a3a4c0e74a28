//! Simulated deployment of two shards and three hosts. Each host acts on the part of the log that it has read, however
//! stale it is.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use tinbank_base::{
    id,
    record::{Envelope, Writer, lease, work},
};
use tinbank_ledger::{
    checkpoint::{self, Recovery},
    chunk::Chunk,
    duty::Duties,
    placement, result,
    shard::{Item, Sending, Shard},
};

use crate::fixture::{self, SHARDS};

pub const HOSTS: usize = 3;
/// Items of each job, in chunks of two.
pub const ITEMS: id::Item = 5;
const PER_CHUNK: id::Item = 2;
const CHUNKS: id::Chunk = ITEMS.div_ceil(PER_CHUNK);
/// Small, so that a checkpoint has several parts.
const CHECKPOINT_BYTES: usize = 200;
const RETRY: Duration = Duration::from_secs(1);
const ROUNDS: usize = 40;

/// One shard's stream. Trimmed records are hidden, not deleted, since the reference model reads all of them.
#[derive(Default)]
pub struct Log {
    pub envelopes: Vec<Envelope<work::Record>>,
    first: usize,
}

impl Log {
    fn get(&self, offset: id::Offset) -> Option<&Envelope<work::Record>> {
        let offset = offset as usize;
        (offset >= self.first)
            .then(|| self.envelopes.get(offset))
            .flatten()
    }
}

pub struct Host {
    writer: Writer,
    sequences: [u64; SHARDS as usize],
    pub folds: [Shard; SHARDS as usize],
    duties: [Duties; SHARDS as usize],
    flights: Vec<Flight>,
    /// Items sent by this incarnation, which must not be sent again before their completion is read back.
    sent: BTreeSet<(id::Job, id::Item)>,
}

struct Flight {
    shard: id::Shard,
    job: id::Job,
    chunk: id::Chunk,
    item: id::Item,
}

pub struct World {
    pub logs: [Log; SHARDS as usize],
    pub hosts: Vec<Host>,
    pub jobs: [id::Job; 2],
    /// Every send of an item to an upstream.
    pub sends: Vec<(id::Job, id::Item)>,
    now: Instant,
    seconds: u64,
    intakes: u64,
    incarnations: u64,
}

impl World {
    pub fn new() -> Self {
        let now = Instant::now();
        let hosts = (0..HOSTS).map(|host| new_host(host, 1)).collect();
        Self {
            logs: Default::default(),
            hosts,
            jobs: [fixture::job_in(0), fixture::job_in(1)],
            sends: Vec::new(),
            now,
            seconds: 0,
            intakes: 0,
            incarnations: 1,
        }
    }

    /// Advances the clock, so that retries become due.
    pub fn advance_time(&mut self, seconds: u64) {
        self.now += Duration::from_secs(seconds);
        self.seconds += seconds;
    }

    /// Appends the first `steps` records of a job: fewer than all if the host is lost or the client disconnects.
    pub fn intake(&mut self, host: usize, job: id::Job, steps: usize) {
        self.intakes += 1;
        let intake = self.intakes;
        let spread = SHARDS;
        let mut records: Vec<(id::Shard, work::Record)> = (0..CHUNKS)
            .map(|number| {
                let first = number * PER_CHUNK;
                let items = PER_CHUNK.min(ITEMS - first);
                let shard = placement::shard_of_chunk(job, number, spread, SHARDS);
                let chunk = fixture::chunk(job, intake, number, first, items);
                (shard, work::Record::Chunk(chunk))
            })
            .collect();
        let head = fixture::head(job, intake, ITEMS, CHUNKS, spread);
        records.push((
            placement::shard_of_job(job, SHARDS),
            work::Record::Head(head),
        ));
        for (shard, record) in records.into_iter().take(steps) {
            self.append(host, shard, vec![record]);
        }
    }

    /// Folds up to `count` more records.
    pub fn read(&mut self, host: usize, shard: id::Shard, count: usize) {
        let log = &self.logs[usize::from(shard)];
        let fold = &mut self.hosts[host].folds[usize::from(shard)];
        for _ in 0..count {
            let offset = fold.next();
            if offset as usize >= log.envelopes.len() {
                return;
            }
            match log.get(offset) {
                Some(envelope) => {
                    fold.apply(offset, envelope);
                }
                None => *fold = recover(shard, log),
            }
        }
    }

    /// Tries to take the lease, based on the records that the host has read.
    pub fn take_lease(&mut self, host: usize, shard: id::Shard) {
        let fold = &self.hosts[host].folds[usize::from(shard)];
        let take = lease::Lease::Take {
            epoch: fold.lease().epoch + 1,
            expected: fold.lease().last,
        };
        self.append(host, shard, vec![work::Record::Lease(take)]);
    }

    pub fn release_lease(&mut self, host: usize, shard: id::Shard) {
        if let Some(epoch) = self.term(host, shard) {
            let release = lease::Lease::Release { epoch };
            self.append(host, shard, vec![work::Record::Lease(release)]);
        }
    }

    /// Appends the first `limit` of the owner's due duties.
    pub fn duties(&mut self, host: usize, shard: id::Shard, limit: usize) {
        let (now, index) = (self.now, usize::from(shard));
        let this = &mut self.hosts[host];
        let due = this.duties[index].due(&this.folds[index], this.writer, now);
        for duty in due.into_iter().take(limit) {
            self.append(host, duty.shard, vec![duty.record.clone()]);
            let this = &mut self.hosts[host];
            this.duties[index].acknowledged(&this.folds[index], &duty);
        }
    }

    /// Sends up to `limit` items, or appends their dispatch records.
    pub fn run(&mut self, host: usize, shard: id::Shard, limit: usize) {
        let Some(epoch) = self.term(host, shard) else {
            return;
        };
        let mut dispatches = Vec::new();
        for (job, item) in self.pending(host, shard).into_iter().take(limit) {
            let this = &mut self.hosts[host];
            let fold = &this.folds[usize::from(shard)];
            match fold.sending(job, item, epoch) {
                Sending::Yes if this.sent.insert((job, item.item)) => {
                    self.sends.push((job, item.item));
                    this.flights.push(Flight {
                        shard,
                        job,
                        chunk: item.chunk,
                        item: item.item,
                    });
                }
                Sending::DispatchFirst => dispatches.push(work::Record::Dispatch(work::Dispatch {
                    job,
                    chunk: item.chunk,
                    epoch,
                    items: vec![item.item],
                })),
                Sending::Yes | Sending::MaybeSent | Sending::Ended => {}
            }
        }
        if !dispatches.is_empty() {
            self.append(host, shard, dispatches);
        }
    }

    /// Completes up to `limit` items in flight, with one append for each shard.
    pub fn finish(&mut self, host: usize, limit: usize) {
        let this = &mut self.hosts[host];
        let count = limit.min(this.flights.len());
        let flights: Vec<_> = this.flights.drain(..count).collect();
        for shard in 0..SHARDS {
            let records: Vec<_> = flights
                .iter()
                .filter(|flight| flight.shard == shard)
                .map(|flight| {
                    let text = format!("by {host} at {}", self.seconds);
                    let completion = fixture::answer(flight.item, &text);
                    fixture::completed(flight.job, flight.chunk, vec![completion])
                })
                .collect();
            if !records.is_empty() {
                self.append(host, shard, records);
            }
        }
    }

    /// Runs the first `phases` steps of the work of an owner in both shards.
    pub fn full_round(&mut self, host: usize, phases: usize) {
        for shard in 0..SHARDS {
            for phase in 0..phases {
                self.phase(host, shard, phase);
            }
        }
    }

    fn phase(&mut self, host: usize, shard: id::Shard, phase: usize) {
        match phase {
            1 if self.term(host, shard).is_none() => self.take_lease(host, shard),
            1 => {}
            3 => self.duties(host, shard, usize::MAX),
            5 | 7 => self.run(host, shard, usize::MAX),
            9 => self.finish(host, usize::MAX),
            _ => self.read(host, shard, usize::MAX),
        }
    }

    pub fn cancel(&mut self, host: usize, job: id::Job) {
        let shard = placement::shard_of_job(job, SHARDS);
        let known = self.hosts[host].folds[usize::from(shard)]
            .job(job)
            .is_some();
        if known {
            self.append(host, shard, vec![work::Record::Cancel { job }]);
        }
    }

    /// Restarts the host without state.
    pub fn restart(&mut self, host: usize) {
        self.incarnations += 1;
        self.hosts[host] = new_host(host, self.incarnations);
    }

    /// Appends a duplicate of an earlier envelope, as a retry after a lost response does.
    pub fn duplicate(&mut self, shard: id::Shard, pick: usize) {
        let log = &mut self.logs[usize::from(shard)];
        if !log.envelopes.is_empty() {
            let copy = log.envelopes[pick % log.envelopes.len()].clone();
            log.envelopes.push(copy);
        }
    }

    /// Carries forward all chunks that the host has read, and appends the first `parts` parts of a checkpoint.
    pub fn checkpoint(&mut self, host: usize, shard: id::Shard, parts: usize) {
        let log = &self.logs[usize::from(shard)];
        let fold = &self.hosts[host].folds[usize::from(shard)];
        if fold.next() == 0 {
            return;
        }
        let through = fold.next() - 1;
        let carried: Vec<Vec<_>> = fold
            .to_carry(fold.next())
            .filter_map(|carry| {
                let body =
                    result::chunk_at(log.get(carry.chunk.place().offset)?, carry.chunk.place())?;
                let results = envelopes(log, carry.chunk)?;
                // Odd chunks move their results separately, as is done if they are too large for one record.
                if carry.chunk.chunk % 2 == 1 {
                    let moved = carry.chunk.results().iter().zip(results);
                    let moved = moved.map(|(from, result)| result::moved(&carry, *from, result));
                    let bodies = result::carried(&carry, body, [], through);
                    return Some(moved.chain([bodies]).collect());
                }
                Some(vec![result::carried(&carry, body, results, through)])
            })
            .collect();
        let carried = carried.into_iter().flatten();
        let parts: Vec<_> = checkpoint::records(fold, CHECKPOINT_BYTES)
            .into_iter()
            .take(parts)
            .collect();
        for record in carried.chain(parts) {
            self.append(host, shard, vec![record]);
        }
    }

    /// Trims the records that are not needed any more.
    pub fn trim(&mut self, shard: id::Shard) {
        let log = &self.logs[usize::from(shard)];
        let mut fold = recover(shard, log);
        catch_up(&mut fold, log);
        let Some(checkpoint) = fold.checkpoint() else {
            return;
        };
        let kept = fold.to_carry(fold.next()).map(|carry| carry.chunk.oldest());
        let first = kept.fold(
            (checkpoint.through + 1).min(checkpoint.offset),
            id::Offset::min,
        );
        let log = &mut self.logs[usize::from(shard)];
        log.first = log.first.max(first as usize);
    }

    /// Runs one host until all work is done.
    pub fn settle(&mut self, host: usize) {
        for _ in 0..ROUNDS {
            self.advance_time(2);
            for shard in 0..SHARDS {
                self.read(host, shard, usize::MAX);
                if self.term(host, shard).is_none() {
                    self.take_lease(host, shard);
                }
                self.read(host, shard, usize::MAX);
                self.duties(host, shard, usize::MAX);
                self.run(host, shard, usize::MAX);
            }
            self.finish(host, usize::MAX);
        }
    }

    /// Returns the fold of the records of a shard that a new host can read.
    pub fn fold(&self, shard: id::Shard) -> Shard {
        let log = &self.logs[usize::from(shard)];
        let mut fold = recover(shard, log);
        catch_up(&mut fold, log);
        fold
    }

    /// Returns the fold of all records ever appended to a shard.
    pub fn full_fold(&self, shard: id::Shard) -> Shard {
        let mut fold = Shard::new(shard, SHARDS);
        catch_up_from(&mut fold, &self.logs[usize::from(shard)].envelopes);
        fold
    }

    /// Returns item number, custom id and outcome of all items, as a caller reads them.
    pub fn results(
        &self,
        fold: &Shard,
        job: id::Job,
    ) -> Vec<(id::Item, String, Option<work::Outcome>)> {
        let log = &self.logs[usize::from(fold.number())];
        let chunks = fold.work(job).map_or(&[][..], |work| work.chunks());
        chunks
            .iter()
            .flat_map(|chunk| {
                let envelope = log
                    .get(chunk.place().offset)
                    .expect("bodies must not be trimmed");
                let body =
                    result::chunk_at(envelope, chunk.place()).expect("the record must be a chunk");
                let results = envelopes(log, chunk).expect("results must not be trimmed");
                let outcomes = result::outcomes(body, chunk, results);
                (chunk.first..).zip(outcomes).map(|(item, outcome)| {
                    let ended = outcome.completion.map(|completion| completion.outcome);
                    (item, outcome.custom_id, ended)
                })
            })
            .collect()
    }

    fn pending(&self, host: usize, shard: id::Shard) -> Vec<(id::Job, Item)> {
        let log = &self.logs[usize::from(shard)];
        let fold = &self.hosts[host].folds[usize::from(shard)];
        fold.ready("water")
            .flat_map(|ready| {
                let envelope = log.get(ready.chunk.place().offset);
                let body = envelope.and_then(|found| result::chunk_at(found, ready.chunk.place()));
                let items = body.map_or(&[][..], |body| &body.items);
                ready.chunk.pending_items().filter_map(move |item| {
                    let body = items.get((item - ready.chunk.first) as usize)?;
                    assert!(!body.body.is_empty(), "a pending item must have its body");
                    let item = Item {
                        chunk: ready.chunk.chunk,
                        item,
                        repeatable: body.repeatable,
                    };
                    Some((ready.job, item))
                })
            })
            .collect()
    }

    fn term(&self, host: usize, shard: id::Shard) -> Option<id::Epoch> {
        let host = &self.hosts[host];
        host.folds[usize::from(shard)].lease().term(host.writer)
    }

    fn append(&mut self, host: usize, shard: id::Shard, records: Vec<work::Record>) {
        self.seconds += 1;
        let host = &mut self.hosts[host];
        let sequence = &mut host.sequences[usize::from(shard)];
        *sequence += 1;
        let envelope = fixture::envelope(host.writer, *sequence, self.seconds, records);
        self.logs[usize::from(shard)].envelopes.push(envelope);
    }
}

fn new_host(host: usize, incarnation: u64) -> Host {
    Host {
        writer: fixture::writer(host as id::Host, incarnation),
        sequences: Default::default(),
        folds: [Shard::new(0, SHARDS), Shard::new(1, SHARDS)],
        duties: [Duties::new(RETRY), Duties::new(RETRY)],
        flights: Vec::new(),
        sent: BTreeSet::new(),
    }
}

/// Recovers from a checkpoint if the oldest records were trimmed.
fn recover(shard: id::Shard, log: &Log) -> Shard {
    if log.first == 0 {
        return Shard::new(shard, SHARDS);
    }
    let mut recovery = Recovery::new(shard, SHARDS, log.first as id::Offset);
    (log.first as id::Offset..)
        .zip(&log.envelopes[log.first..])
        .find_map(|(offset, envelope)| {
            let found = recovery.offer(offset, envelope);
            found.expect("checkpoints must be readable")
        })
        .expect("a trimmed log must contain a checkpoint")
}

fn catch_up(fold: &mut Shard, log: &Log) {
    while let Some(envelope) = log.get(fold.next()) {
        fold.apply(fold.next(), envelope);
    }
}

fn catch_up_from(fold: &mut Shard, envelopes: &[Envelope<work::Record>]) {
    for (offset, envelope) in envelopes.iter().enumerate() {
        fold.apply(offset as id::Offset, envelope);
    }
}

fn envelopes<'a>(log: &'a Log, chunk: &Chunk) -> Option<Vec<&'a Envelope<work::Record>>> {
    chunk
        .results()
        .iter()
        .map(|offset| log.get(*offset))
        .collect()
}
