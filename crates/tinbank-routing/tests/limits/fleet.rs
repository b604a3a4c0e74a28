//! Simulation of hosts that exchange claim requests and grants over a network with delay and loss, in virtual time.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use tinbank_base::{
    clock::Stamp,
    frame::{Body, Datagram, datagram::MAC_BYTES, demand::Message},
    id,
    record::Writer,
};
use tinbank_configuration::limit::Online;
use tinbank_routing::limit::{Keeper, Limiter, Scope, claim::MAX_GRANT_TTL, scope::Subject};

pub const STEP: Duration = Duration::from_millis(10);
/// Steps between two claim requests of a host.
const CLAIM_INTERVAL_STEPS: u64 = 50;

pub struct Host {
    pub limiter: Limiter,
    pub keeper: Keeper,
    pub is_alive: bool,
    pub admitted: u32,
}

pub struct Fleet {
    pub hosts: Vec<Host>,
    pub now: Instant,
    /// Longest delay of a frame.
    pub delay: Duration,
    /// Fraction of frames that are lost.
    pub loss_rate: f64,
    /// Total bytes of all frames sent.
    pub bytes: u64,
    pub frames: u64,
    pub largest: usize,
    random: SmallRng,
    in_flight: Vec<(Instant, id::Host, id::Host, Message)>,
    steps: u64,
}

impl Fleet {
    /// Creates hosts that have known each other long enough that no earlier keeper's grants are valid.
    pub fn new(size: u32, seed: u64) -> Self {
        let mut fleet = Self::starting(size, seed);
        fleet.now += MAX_GRANT_TTL;
        fleet
    }

    /// Creates hosts that have just discovered each other.
    pub fn starting(size: u32, seed: u64) -> Self {
        let now = Instant::now();
        let host = |number| Host {
            limiter: Limiter::new(number, now),
            keeper: Keeper::new(writer(number), now),
            is_alive: true,
            admitted: 0,
        };
        let mut fleet = Self {
            hosts: (0..size).map(host).collect(),
            now,
            delay: Duration::from_millis(5),
            loss_rate: 0.0,
            bytes: 0,
            frames: 0,
            largest: 0,
            random: SmallRng::seed_from_u64(seed),
            in_flight: Vec::new(),
            steps: 0,
        };
        fleet.set_hosts_of_all((0..size).collect());
        fleet
    }

    /// Sets the serving hosts at all hosts that run.
    pub fn set_hosts_of_all(&mut self, serving: BTreeSet<id::Host>) {
        let now = self.now;
        for host in self.hosts.iter_mut().filter(|host| host.is_alive) {
            host.limiter.set_hosts(serving.clone(), now);
            host.keeper.set_hosts(serving.clone(), now);
        }
    }

    /// Stops a host without notice to the others.
    pub fn stop_host(&mut self, host: id::Host) {
        self.hosts[host as usize].is_alive = false;
    }

    /// Runs one second in which each host gets `arrivals` requests of a scope, evenly spaced. Returns the number
    /// admitted.
    pub fn second(&mut self, scope: &Scope, arrivals: &[u32]) -> u32 {
        let steps = (Duration::from_secs(1).as_millis() / STEP.as_millis()) as u32;
        let mut admitted = 0;
        for step in 0..steps {
            self.step();
            for (host, count) in arrivals.iter().enumerate() {
                let due = count * (step + 1) / steps - count * step / steps;
                for _ in 0..due {
                    admitted += u32::from(self.request(host, &[*scope]));
                }
            }
        }
        admitted
    }

    /// Runs a request that ends at once. Returns whether it was admitted.
    pub fn request(&mut self, host: usize, scopes: &[Scope]) -> bool {
        let begun = self.begin(host, scopes);
        if begun {
            self.hosts[host].limiter.end(scopes);
        }
        begun
    }

    /// Begins a request. Returns whether it was admitted.
    pub fn begin(&mut self, host: usize, scopes: &[Scope]) -> bool {
        let host = &mut self.hosts[host];
        let begun = host.is_alive && host.limiter.begin(scopes, self.now).is_ok();
        host.admitted += u32::from(begun);
        begun
    }

    /// Advances by one step, in which frames arrive and keepers are asked.
    pub fn step(&mut self) {
        self.now += STEP;
        self.steps += 1;
        self.deliver();
        for number in 0..self.hosts.len() {
            // Offsets the hosts' intervals from each other.
            let is_claim_time =
                (self.steps + number as u64 * 7).is_multiple_of(CLAIM_INTERVAL_STEPS);
            let host = &mut self.hosts[number];
            if host.is_alive && (is_claim_time || host.limiter.is_urgent()) {
                if is_claim_time {
                    host.keeper.remove_expired(self.now);
                }
                let claim_requests = host.limiter.claim_requests(self.now);
                for (keeper, claim_request) in claim_requests {
                    self.deliver_or_send(
                        number as id::Host,
                        keeper,
                        Message::ClaimRequest(claim_request),
                    );
                }
            }
        }
    }

    /// Delivers a message to the own host directly, without cost.
    fn deliver_or_send(&mut self, from: id::Host, to: id::Host, message: Message) {
        if from == to {
            return self.receive(from, to, message);
        }
        self.send(from, to, message);
    }

    fn receive(&mut self, from: id::Host, to: id::Host, message: Message) {
        let now = self.now;
        let host = &mut self.hosts[to as usize];
        if !host.is_alive {
            return;
        }
        match message {
            Message::ClaimRequest(claim_request) => {
                let answer = host
                    .keeper
                    .on_claim_request(writer(from), &claim_request, now);
                if let Some(grant) = answer.grant {
                    self.deliver_or_send(to, from, Message::Grant(grant));
                }
                for (holder, recall) in answer.recalls {
                    self.deliver_or_send(to, holder.process.host, Message::Recall(recall));
                }
            }
            Message::Grant(grant) => host.limiter.on_grant(from, &grant, now),
            Message::Recall(recall) => host.limiter.on_recall(from, &recall, now),
        }
    }

    fn send(&mut self, from: id::Host, to: id::Host, message: Message) {
        let size = size(from, &message);
        self.bytes += size as u64;
        self.frames += 1;
        self.largest = self.largest.max(size);
        if self.random.random_bool(self.loss_rate) {
            return;
        }
        let delay = self.delay.mul_f64(self.random.random_range(0.1..=1.0));
        self.in_flight.push((self.now + delay, from, to, message));
    }

    fn deliver(&mut self) {
        let now = self.now;
        let mut arrived: Vec<_> = self
            .in_flight
            .extract_if(.., |(at, ..)| *at <= now)
            .collect();
        arrived.sort_by_key(|(at, ..)| *at);
        for (_, from, to, message) in arrived {
            self.receive(from, to, message);
        }
    }
}

pub fn writer(host: id::Host) -> Writer {
    Writer {
        process: id::Process {
            host,
            role: id::Role::Online,
        },
        incarnation: 1_764_000_000_000_000,
    }
}

/// Returns the scope of a customer with a limit of requests per second.
pub fn scope(customer: &str, requests_per_second: u32) -> Scope {
    let limits = Online {
        requests_per_second: Some(requests_per_second),
        ..Online::default()
    };
    Scope::new(customer, Subject::Customer, limits)
}

/// Returns the size of a frame on the network, with its header and MAC.
pub fn size(from: id::Host, message: &Message) -> usize {
    const HEADER_BYTES: usize = 2;
    let datagram = Datagram {
        sender: writer(from),
        sequence: 1 << 20,
        stamp: Stamp {
            micros: 1_764_000_000_000_000,
            counter: 3,
        },
        body: Body::Demand(message.clone()),
    };
    let body = postcard::to_stdvec(&datagram).expect("frames can be written");
    HEADER_BYTES + body.len() + MAC_BYTES
}
