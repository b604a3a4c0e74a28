//! Simulates the items of several customers in virtual time, while online requests take most slots: an allocator grants and
//! reclaims the slots, and a host starts items by their turn.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant, SystemTime},
};

use tinbank_allocator::{
    Allocator, Options,
    allocator::{Outgoing, Upstream},
    frame::{Frame, Holdings, Queue, Release, Share, SlotRequest, Verdict},
    lease::{self, Class, Footprint, Held, Outcome},
    size::Size,
};
use tinbank_allowance::Tolerance;
use tinbank_base::id;
use tinbank_jobs::{backlog::Backlog, schedule::Due};

use super::{Contender, Shares, Supply};

const SLOTS: usize = 8;
const UPSTREAMS: u8 = 6;
/// Upstreams that are left while slots are scarce.
const UPSTREAMS_LEFT: u8 = 3;
/// When slots are scarce, in milliseconds.
const SCARCE: std::ops::Range<u64> = 3_000..15_000;
const STEP_MS: u64 = 20;
const LENGTH_MS: u64 = 70_000;
/// Time of the last submission.
const LAST_JOB_MS: u64 = 36_000;
/// How long an item runs in a slot.
const ITEM_TIME: Duration = Duration::from_millis(3_500);
/// An item that loses its slot goes on from a multiple of this.
const CHECKPOINT: Duration = Duration::from_millis(1_500);
const ONLINE_TIME: Duration = Duration::from_millis(450);
/// Time after its submission in which a job is due.
const TARGET: Duration = Duration::from_secs(18);
const ITEMS_PER_JOB: usize = 10;
const HEARTBEAT_MS: u64 = 1_000;

/// A customer that submits jobs.
#[derive(Clone, Copy, Debug)]
pub(super) struct Submitter {
    /// Time between two jobs.
    pub interval_ms: u64,
    pub first_ms: u64,
}

/// Fractions of the items that were finished in time.
#[derive(Clone, Copy, Debug)]
pub(super) struct OnTime {
    pub all: f64,
    /// Of the customer with the least.
    pub least: f64,
}

struct Item {
    customer: usize,
    due_at: Instant,
    done: Duration,
    finished_at: Option<Instant>,
    is_running: bool,
}

struct Run {
    upstream: id::Instance,
    class: Class,
    started_at: Instant,
    /// Index of the item; `None` for an online request.
    item: Option<usize>,
}

struct Simulation {
    is_fair: bool,
    allocator: Allocator,
    shares: Shares,
    items: Vec<Item>,
    runs: BTreeMap<lease::Id, Run>,
    next_lease: lease::Id,
    start: Instant,
    now: Instant,
}

/// Runs the submissions, with fair shares or by due time alone.
pub(super) fn simulate(submitters: &[Submitter], is_fair: bool) -> OnTime {
    let start = Instant::now();
    let options = Options {
        fair_shares: is_fair,
        ..Options::default()
    };
    let mut simulation = Simulation {
        is_fair,
        allocator: Allocator::with_options(1, Tolerance::default(), options),
        shares: Shares::default(),
        items: Vec::new(),
        runs: BTreeMap::new(),
        next_lease: 1,
        start,
        now: start,
    };
    simulation.set_upstreams(UPSTREAMS);
    for at_ms in (0..LENGTH_MS).step_by(STEP_MS as usize) {
        simulation.step(at_ms, submitters);
    }
    simulation.on_time(submitters.len())
}

impl Simulation {
    fn step(&mut self, at_ms: u64, submitters: &[Submitter]) {
        self.now = self.start + Duration::from_millis(at_ms);
        if at_ms == SCARCE.start {
            self.set_upstreams(UPSTREAMS_LEFT);
        }
        if at_ms == SCARCE.end {
            self.set_upstreams(UPSTREAMS);
        }
        if at_ms.is_multiple_of(HEARTBEAT_MS) {
            self.report_holdings();
        }
        self.submit(at_ms, submitters);
        self.end_runs();
        self.send_online(at_ms);
        while self.start_item() {}
    }

    fn set_upstreams(&mut self, count: u8) {
        let upstream = |index| Upstream {
            instance: format!("u{index}").into(),
            address: SocketAddr::from(([10, 0, 1, index], 8000)),
            service: "notes".to_owned(),
            slots: SLOTS,
            memory_tokens: None,
            max_connections: None,
            build: "v1".into(),
            cold: None,
        };
        let upstreams: Vec<_> = (0..count).map(upstream).collect();
        let is_lost = |run: &Run| !upstreams.iter().any(|it| it.instance == run.upstream);
        let runs = self.runs.iter();
        let lost: Vec<_> = runs.filter(|(_, run)| is_lost(run)).collect();
        let lost: Vec<_> = lost.into_iter().map(|(lease, _)| *lease).collect();
        for lease in lost {
            self.stop(lease, Outcome::Unresponsive);
        }
        let out = self.allocator.set_upstreams(upstreams);
        self.apply(out);
    }

    fn submit(&mut self, at_ms: u64, submitters: &[Submitter]) {
        if at_ms > LAST_JOB_MS {
            return;
        }
        for (customer, it) in submitters.iter().enumerate() {
            let since_first = at_ms.checked_sub(it.first_ms);
            if since_first.is_none_or(|since| !since.is_multiple_of(it.interval_ms)) {
                continue;
            }
            let item = |_| Item {
                customer,
                due_at: self.now + TARGET,
                done: Duration::ZERO,
                finished_at: None,
                is_running: false,
            };
            self.items.extend((0..ITEMS_PER_JOB).map(item));
        }
    }

    /// Sends more requests than usual in two of each five seconds.
    fn send_online(&mut self, at_ms: u64) {
        let is_peak = at_ms % 5_000 < 2_200;
        let count = if is_peak {
            1
        } else {
            u64::from(at_ms.is_multiple_of(100))
        };
        for _ in 0..count {
            self.request(Class::Online, None, None);
        }
    }

    /// Requests a slot for the item whose turn it is. Returns whether it was granted.
    fn start_item(&mut self) -> bool {
        let open = self.items.iter().enumerate();
        let open: Vec<_> = open
            .filter(|(_, it)| it.finished_at.is_none() && !it.is_running)
            .map(|(index, _)| index)
            .collect();
        let names: Vec<_> = open.iter().map(|it| self.customer(*it)).collect();
        let contenders: Vec<_> = names.iter().map(|it| Some(it.as_str())).collect();
        let supply = self.supply();
        self.shares.set_contenders(&contenders, supply, self.now);
        let turn = |(index, contender): &(&usize, &Contender<'_>)| {
            let due = self.due(**index);
            let turn = self.is_fair.then(|| self.shares.turn(**contender, due));
            (turn, due)
        };
        let next = open.iter().zip(&contenders).min_by_key(turn);
        let Some((&index, _)) = next else {
            return false;
        };
        let due = self.due(index);
        let class = Class::Batch(lease::Due {
            late: due.is_late,
            at_ms: self.millis(self.items[index].due_at),
        });
        let work = Size::default().work();
        let customer = self.customer(index);
        if !self.request(class, Some(index), Some(customer.clone())) {
            return false;
        }
        self.shares
            .record_start(Some(&customer), work, 1_000, self.now);
        true
    }

    fn request(&mut self, class: Class, item: Option<usize>, customer: Option<String>) -> bool {
        let lease = self.next_lease;
        self.next_lease += 1;
        let share = customer.map(|customer| Share {
            customer,
            weight: 1_000,
        });
        let request = SlotRequest {
            lease,
            class,
            service: "notes".to_owned(),
            exclude: Default::default(),
            queue: Queue::No,
            rank: 0,
            meter: None,
            share,
            size: Size::default(),
            build: None,
            max_gap_ms: None,
        };
        let frame = Frame::SlotRequest(request);
        let (out, _) = self.allocator.receive(host(), frame, self.now);
        let granted = self.apply(out);
        let Some((_, upstream)) = granted.into_iter().find(|it| it.0 == lease) else {
            return false;
        };
        if let Some(index) = item {
            self.items[index].is_running = true;
        }
        let run = Run {
            upstream,
            class,
            started_at: self.now,
            item,
        };
        self.runs.insert(lease, run);
        true
    }

    /// Applies what the allocator sends. Returns the granted leases.
    fn apply(&mut self, out: Outgoing) -> Vec<(lease::Id, id::Instance)> {
        let mut granted = Vec::new();
        for (_, frame) in out {
            match frame {
                Frame::SlotResponse(response) => {
                    if let Verdict::Granted(grant) = response.verdict {
                        granted.push((response.lease, grant.upstream));
                    }
                }
                Frame::Reclaim(lease) => {
                    self.stop(lease, Outcome::Inconclusive);
                }
                _ => {}
            }
        }
        granted
    }

    fn end_runs(&mut self) {
        let is_over = |run: &Run| {
            let done = run.item.map(|index| self.items[index].done);
            let left = done.map_or(ONLINE_TIME, |done| ITEM_TIME - done);
            self.now >= run.started_at + left
        };
        let runs = self.runs.iter().filter(|(_, run)| is_over(run));
        let over: Vec<_> = runs.map(|(lease, _)| *lease).collect();
        for lease in over {
            if let Some(index) = self.runs[&lease].item {
                self.items[index].finished_at = Some(self.now);
            }
            self.stop(lease, Outcome::Served);
        }
    }

    /// Ends a run and releases its slot.
    fn stop(&mut self, lease: lease::Id, outcome: Outcome) {
        let Some(run) = self.runs.remove(&lease) else {
            return;
        };
        if let Some(index) = run.item {
            let item = &mut self.items[index];
            let ran = self.now - run.started_at;
            let checkpoints = ran.as_millis() / CHECKPOINT.as_millis();
            item.done += CHECKPOINT * checkpoints as u32;
            item.done = item.done.min(ITEM_TIME);
            item.is_running = false;
        }
        let release = Release {
            lease,
            upstream: run.upstream,
            outcome,
            pace: None,
        };
        let frame = Frame::Release(release);
        let (out, _) = self.allocator.receive(host(), frame, self.now);
        self.apply(out);
    }

    fn report_holdings(&mut self) {
        let held = self.runs.iter().map(|(lease, run)| Held {
            lease: *lease,
            upstream: run.upstream.clone(),
            class: run.class,
            footprint: Footprint {
                work: Size::default().work(),
                customer: run.item.map(|index| self.customer(index)),
                ..Footprint::default()
            },
        });
        let holdings = Holdings {
            next: self.next_lease,
            held: held.collect(),
        };
        let frame = Frame::Holdings(holdings);
        let (out, _) = self.allocator.receive(host(), frame, self.now);
        self.apply(out);
    }

    fn supply(&self) -> Supply {
        let mut backlog = Backlog::default();
        let open = self.items.iter().filter(|it| it.finished_at.is_none());
        for item in open {
            backlog.add(wall(item.due_at - self.start), ITEM_TIME - item.done);
        }
        let running = self.runs.values().filter(|it| it.item.is_some()).count();
        match backlog.fits(running, wall(self.now - self.start)) {
            true => Supply::Enough,
            false => Supply::Scarce,
        }
    }

    fn customer(&self, item: usize) -> String {
        format!("c{:02}", self.items[item].customer)
    }

    fn due(&self, item: usize) -> Due {
        let item = &self.items[item];
        Due {
            is_late: self.now + (ITEM_TIME - item.done) > item.due_at,
            at: wall(item.due_at - self.start),
        }
    }

    fn millis(&self, at: Instant) -> u64 {
        (at - self.start).as_millis() as u64
    }

    fn on_time(&self, customers: usize) -> OnTime {
        let is_on_time = |it: &&Item| it.finished_at.is_some_and(|at| at <= it.due_at);
        let fraction = |items: Vec<&Item>| {
            let on_time = items.iter().copied().filter(is_on_time).count();
            on_time as f64 / items.len().max(1) as f64
        };
        let of = |customer| {
            let own = self.items.iter().filter(|it| it.customer == customer);
            fraction(own.collect())
        };
        OnTime {
            all: fraction(self.items.iter().collect()),
            least: (0..customers).map(of).fold(1.0, f64::min),
        }
    }
}

fn host() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7000))
}

fn wall(since_start: Duration) -> SystemTime {
    SystemTime::UNIX_EPOCH + since_start
}
