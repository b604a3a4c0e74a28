//! Which part of a limit a counter may give out, by how many hosts it hears.
//!
//! A host that is cut off from the others and not from callers and upstreams counts alone. If it gave out the whole limit, as
//! the others do, a customer that sends five times its limit would get it as often as there are such hosts. So each counter
//! gives out as large a part as the hosts that it hears are of all. Parts of counters that don't hear each other add up to the
//! whole.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::counts::Counts;

/// A host that was heard this long ago may be cut off. Source: hosts are heard each second at least, and a request or two in
/// that time; until a host counts as silent, its part is given out twice, and each second of that costs a limit of 94 a second
/// with 16 of 61 hosts cut off 25 requests of the 76 by which it may be exceeded.
const SILENT_AFTER: Duration = Duration::from_millis(1_300);
/// A host that was silent for this long is gone, where most others are heard: nobody takes lost hosts off the list.
const GONE_AFTER: Duration = Duration::from_secs(30);
/// For so long after the first list of hosts, all hosts count as heard. Source: after a loss of power all hosts start within
/// half a second and tell each other within another, while their callers come back at once; the parts of the few that were
/// heard so far would refuse callers that are far below their limits.
const FIRST_HEARD: Duration = Duration::from_millis(1_500);
/// What another counter says counts for so long: some times the time between two messages. One that is silent for longer is
/// lost, or cut off and goes on.
const TOLD_FOR: Duration = Duration::from_millis(150);
/// For so long a counter that fell silent has its part kept. Source: by then the hosts that are not heard any more tell more.
const KEPT_FOR: Duration = Duration::from_millis(1_600);
/// How often the part is reckoned anew. Source: it goes through all hosts, and each request asks for it.
const RECKON: Duration = Duration::from_millis(50);

/// The hosts that a counter hears.
#[derive(Debug, Default)]
pub struct Reach {
    heard_at: HashMap<SocketAddr, Instant>,
    /// Number of hosts that are listed.
    listed: usize,
    /// From then on a host that was not heard may be cut off.
    complete_at: Option<Instant>,
    /// Other counters, by what they said last.
    told: HashMap<SocketAddr, Told>,
    share: f64,
    reckon_at: Option<Instant>,
}

/// What another counter says of the hosts that it hears.
#[derive(Clone, Copy, Debug)]
struct Told {
    /// Hosts that it hears.
    heard: usize,
    /// Hosts that it hears, or has heard a while ago.
    known: usize,
    /// When it said so.
    at: Instant,
}

impl Told {
    fn is_fresh(&self, now: Instant) -> bool {
        now < self.at + TOLD_FOR
    }
}

impl Reach {
    /// Takes in how many hosts are listed.
    pub fn listed(&mut self, hosts: usize, now: Instant) {
        self.listed = hosts;
        self.complete_at.get_or_insert(now + FIRST_HEARD);
    }

    /// True while the process has just started.
    pub fn is_new(&self, now: Instant) -> bool {
        self.complete_at.is_none_or(|at| now < at)
    }

    /// Takes in that a host was heard.
    pub fn heard(&mut self, host: SocketAddr, now: Instant) {
        self.heard_at.insert(host, now);
    }

    /// Takes in what another counter says. The two hear each other, so what they give out is one count.
    pub fn told(&mut self, from: SocketAddr, counts: &Counts, now: Instant) {
        let told = Told {
            heard: counts.heard as usize,
            known: counts.known as usize,
            at: now,
        };
        self.told.insert(from, told);
    }

    /// Counters that have told what they let in at most `age` ago. Those of the last second and a half are kept.
    pub fn tellers(&self, age: Duration, now: Instant) -> impl Iterator<Item = SocketAddr> {
        let told = self
            .told
            .iter()
            .filter(move |(_, told)| now < told.at + age);
        told.map(|(from, _)| *from)
    }

    /// True if another counter has told what it let in a moment ago, so what is known of customers is not old.
    pub fn is_told(&self, now: Instant) -> bool {
        self.told.values().any(|told| told.is_fresh(now))
    }

    /// Hosts that are heard, or were a while ago.
    pub fn known(&self) -> usize {
        self.heard_at.len()
    }

    /// Hosts that are heard.
    pub fn hosts(&self, now: Instant) -> usize {
        let heard = self.heard_at.values();
        heard.filter(|at| now < **at + SILENT_AFTER).count()
    }

    /// Forgets who was heard, because nobody was for a while.
    pub fn forget(&mut self) {
        self.heard_at.clear();
        self.reckon_at = None;
    }

    /// The part of a limit that may be given out, from 0 to 1.
    pub fn share(&mut self, now: Instant) -> f64 {
        if self.reckon_at.is_none_or(|at| now >= at) {
            self.reckon_at = Some(now + RECKON);
            self.heard_at.retain(|_, at| now < *at + GONE_AFTER);
            self.told.retain(|_, told| now < told.at + KEPT_FOR);
            self.share = self.reckon(now);
        }
        self.share
    }

    fn reckon(&self, now: Instant) -> f64 {
        if self.is_new(now) {
            return 1.0;
        }
        let fresh = self.told.values().filter(|told| told.is_fresh(now));
        let heard = fresh.clone().map(|told| told.heard).max();
        let known = fresh.map(|told| told.known).max();
        let heard = self.hosts(now).max(heard.unwrap_or_default());
        let known = self.known().max(known.unwrap_or_default());
        let all = match heard * 2 > self.listed {
            true => known.max(heard),
            false => self.listed.max(known),
        };
        let of_hosts = heard as f64 / all.max(1) as f64;
        of_hosts.min(self.of_counters(now))
    }

    /// The part of this counter and those that it hears, of all that were there a moment ago. Hosts are heard each second only;
    /// in a second in which two sides of a cut gave out the whole limit each, a customer had 26 requests too many.
    fn of_counters(&self, now: Instant) -> f64 {
        let heard = 1 + self.told.values().filter(|told| told.is_fresh(now)).count();
        heard as f64 / (1 + self.told.len()) as f64
    }
}
