//! Heartbeats: bytes, datagrams and processor time a process, and bytes of state, as members grow. The state machines run
//! in virtual time over a fake network; frames are signed and checked as real ones.

use std::{
    collections::{BTreeMap, BinaryHeap},
    net::SocketAddr,
    sync::{Arc, OnceLock},
    time::{Duration, Instant},
};

use cpu_time::ThreadTime;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tinbank_base::{
    clock::Stamp,
    frame::{
        Body, Datagram,
        datagram::{Key, open_for, seal_for},
        heartbeat::Phase,
    },
    id::{Process, Role},
    platform::hosts,
    record::Writer,
};
use tinbank_membership::state::{Action, Event, LocalProcess, State, TICK};

use super::{Allocated, Point, Series, point, weight};

/// Hosts with three processes each: 27, 111, 369 and 1110 members.
const HOSTS: [u32; 4] = [9, 37, 123, 370];
const ROLES: [Role; 3] = [Role::Online, Role::Batch, Role::Fleet];
const WARM_UP: Duration = Duration::from_secs(20);
const MEASURED: Duration = Duration::from_secs(20);
const LATENCY: Duration = Duration::from_millis(1);
const START_MICROS: u64 = 1_790_000_000_000_000;
const SEED: u64 = 51;

pub(super) fn bytes() -> Series {
    let points = points(|cost| cost.bytes);
    Series::new("membership bytes", "member", "bytes sent a second", points)
}

pub(super) fn datagrams() -> Series {
    let points = points(|cost| cost.datagrams);
    Series::new(
        "membership datagrams",
        "member",
        "datagrams sent a second",
        points,
    )
}

pub(super) fn time() -> Series {
    let points = points(|cost| cost.micros);
    Series::new(
        "membership time",
        "member",
        "µs a second: state machine, signing and checking",
        points,
    )
}

pub(super) fn state_bytes(allocated: Allocated) -> Series {
    let points = HOSTS
        .iter()
        .map(|hosts| {
            let mut network = Network::listed(*hosts);
            network.run(WARM_UP);
            let state = &network.nodes[0].state;
            let bytes = weight(allocated, || (state.clone(), state.members()));
            point(members(*hosts), bytes)
        })
        .collect();
    Series::new(
        "membership state bytes",
        "member, state and view",
        "bytes",
        points,
    )
}

/// What one process spends in a second.
#[derive(Clone, Copy, Debug)]
struct Cost {
    bytes: f64,
    datagrams: f64,
    micros: f64,
}

fn points(of: impl Fn(&Cost) -> f64) -> Vec<Point> {
    let costs = costs().iter();
    costs
        .map(|(hosts, cost)| point(members(*hosts), of(cost)))
        .collect()
}

/// Measured once for the three series.
fn costs() -> &'static [(u32, Cost)] {
    static COSTS: OnceLock<Vec<(u32, Cost)>> = OnceLock::new();
    COSTS.get_or_init(|| HOSTS.iter().map(|hosts| (*hosts, cost(*hosts))).collect())
}

fn cost(hosts: u32) -> Cost {
    let mut network = Network::listed(hosts);
    network.run(WARM_UP);
    network.bytes = 0;
    network.datagrams = 0;
    network.spent = Duration::ZERO;
    network.run(MEASURED);
    let seconds = MEASURED.as_secs_f64() * members(hosts) as f64;
    Cost {
        bytes: network.bytes as f64 / seconds,
        datagrams: network.datagrams as f64 / seconds,
        micros: super::micros(network.spent) / seconds,
    }
}

fn members(hosts: u32) -> usize {
    hosts as usize * ROLES.len()
}

struct Node {
    writer: Writer,
    state: State,
    sequence: u64,
}

/// What happens next: a frame arrives, or the node ticks.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Due {
    at: std::cmp::Reverse<Instant>,
    number: u64,
    node: usize,
    frame: Option<Vec<u8>>,
}

struct Network {
    nodes: Vec<Node>,
    places: BTreeMap<SocketAddr, usize>,
    due: BinaryHeap<Due>,
    number: u64,
    now: Instant,
    key: Key,
    bytes: u64,
    datagrams: u64,
    spent: Duration,
}

impl Network {
    /// Ready processes that know each other from the host list.
    fn listed(hosts: u32) -> Self {
        let now = Instant::now();
        let mut random = SmallRng::seed_from_u64(SEED);
        let processes: Vec<_> = (1..=hosts)
            .flat_map(|host| ROLES.map(|role| Process { host, role }))
            .collect();
        let mut network = Self {
            nodes: Vec::new(),
            places: BTreeMap::new(),
            due: BinaryHeap::new(),
            number: 0,
            now,
            key: Key {
                number: 1,
                secret: [1; 32],
            },
            bytes: 0,
            datagrams: 0,
            spent: Duration::ZERO,
        };
        let list = Arc::new(hosts::List {
            version: 1,
            members: processes.iter().map(|process| listed(*process)).collect(),
            ..hosts::List::default()
        });
        for (place, process) in processes.into_iter().enumerate() {
            let writer = Writer {
                process,
                incarnation: START_MICROS + place as u64,
            };
            let own = LocalProcess {
                writer,
                peer: address(process),
                http: address(process),
                failure_domain: domain(process),
            };
            network.places.insert(own.peer, place);
            network.nodes.push(Node {
                writer,
                state: State::new(own, Vec::new(), random.random(), now),
                sequence: 1_000_000,
            });
            network.schedule(
                place,
                now + TICK.mul_f64(random.random_range(0.0..1.0)),
                None,
            );
        }
        for place in 0..network.nodes.len() {
            network.happen(place, Event::Hosts(list.clone()));
            network.happen(place, Event::Phase(Phase::Ready));
        }
        network
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.due.peek().is_some_and(|due| due.at.0 <= end) {
            let Some(due) = self.due.pop() else {
                break;
            };
            self.now = due.at.0;
            match due.frame {
                Some(frame) => self.arrive(due.node, &frame),
                None => {
                    self.schedule(due.node, self.now + TICK, None);
                    self.happen(due.node, Event::Tick);
                }
            }
        }
        self.now = end;
    }

    fn schedule(&mut self, node: usize, at: Instant, frame: Option<Vec<u8>>) {
        self.number += 1;
        self.due.push(Due {
            at: std::cmp::Reverse(at),
            number: self.number,
            node,
            frame,
        });
    }

    fn arrive(&mut self, node: usize, frame: &[u8]) {
        let start = ThreadTime::now();
        let to = address(self.nodes[node].writer.process);
        let datagram = open_for::<Datagram>(frame, std::slice::from_ref(&self.key), to);
        self.spent += start.elapsed();
        let datagram = datagram.expect("it was signed with this key");
        if let Body::Heartbeat(heartbeat) = datagram.body {
            let from = datagram.sender;
            self.happen(node, Event::Heartbeat { from, heartbeat });
        }
    }

    fn happen(&mut self, place: usize, event: Event) {
        let start = ThreadTime::now();
        let node = &mut self.nodes[place];
        let actions = node.state.handle(event, self.now);
        let mut frames = Vec::new();
        for action in actions {
            if let Action::Send { to, heartbeat } = action {
                node.sequence += 1;
                let datagram = Datagram {
                    sender: node.writer,
                    sequence: node.sequence,
                    stamp: Stamp {
                        micros: START_MICROS,
                        counter: 3,
                    },
                    body: Body::Heartbeat(heartbeat),
                };
                frames.push((to, seal_for(&datagram, &self.key, to)));
            }
        }
        self.spent += start.elapsed();
        for (to, frame) in frames {
            self.bytes += frame.len() as u64;
            self.datagrams += 1;
            if let Some(place) = self.places.get(&to) {
                self.schedule(*place, self.now + LATENCY, Some(frame));
            }
        }
    }
}

fn address(process: Process) -> SocketAddr {
    let [.., a, b] = process.host.to_be_bytes();
    SocketAddr::from(([10, 0, a, b], 7_000 + process.role as u16))
}

fn domain(process: Process) -> String {
    ["brisbane-north", "logan", "ipswich", "toowoomba"][process.host as usize % 4].to_owned()
}

fn listed(process: Process) -> hosts::Member {
    hosts::Member {
        process,
        peer: address(process),
        http: address(process),
        failure_domain: domain(process),
        state: hosts::State::Live,
    }
}
