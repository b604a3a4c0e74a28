//! Which allocator acts for a failure domain without hosts, as all hosts of a fleet see it, in virtual time.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    time::{Duration, Instant},
};

use tinbank_allocator::{
    Directory,
    directory::Peer,
    vacancy::{Situation, Vacancies},
};
use yare::parameterized;

const DOMAINS: [&str; 3] = ["north", "south", "west"];
/// Hosts send their heartbeats in turn, each once a second.
const STEPS_PER_SECOND: usize = 20;
const SECOND: Duration = Duration::from_secs(1);

struct Host {
    peer: Peer,
    directory: Directory,
    vacancies: Vacancies,
    is_acting: bool,
    is_up: bool,
    unanswered: BTreeSet<SocketAddr>,
}

/// A fleet whose hosts in `south` come and go, while the list of hosts names them all or none.
struct Fleet {
    hosts: Vec<Host>,
    now: Instant,
    step: usize,
    /// Hosts of `north` and `west` do not receive the datagrams of each other.
    is_cut: bool,
}

impl Fleet {
    fn new(size: usize) -> Self {
        let peer = |index: usize| Peer {
            address: SocketAddr::from(([10, 0, (index / 256) as u8, index as u8], 7000)),
            callers: SocketAddr::from(([10, 0, (index / 256) as u8, index as u8], 80)),
            failure_domain: DOMAINS[index % 3].to_owned(),
            capacity: Default::default(),
        };
        let peers: Vec<Peer> = (0..size).map(peer).collect();
        let host = |peer: &Peer| {
            let mut directory = Directory::default();
            directory.set_hosts(peers.clone());
            Host {
                peer: peer.clone(),
                directory,
                vacancies: Vacancies::default(),
                is_acting: false,
                is_up: true,
                unanswered: BTreeSet::new(),
            }
        };
        Self {
            hosts: peers.iter().map(host).collect(),
            now: Instant::now(),
            step: 0,
            is_cut: false,
        }
    }

    fn set_south_up(&mut self, is_up: bool) {
        let south = self.hosts.iter_mut();
        south
            .filter(|it| it.peer.failure_domain == "south")
            .for_each(|it| it.is_up = is_up);
    }

    fn run(&mut self, time: Duration) {
        for _ in 0..(time.as_millis() as usize * STEPS_PER_SECOND / 1_000) {
            let turn = self.step % STEPS_PER_SECOND;
            for index in (turn..self.hosts.len()).step_by(STEPS_PER_SECOND) {
                if self.hosts[index].is_up {
                    self.heartbeat(index);
                }
            }
            self.step += 1;
            self.now += SECOND / STEPS_PER_SECOND as u32;
        }
    }

    fn heartbeat(&mut self, index: usize) {
        let now = self.now;
        let is_served = self.hosts.iter().any(|it| {
            it.is_up && it.peer.failure_domain == "south" && self.are_connected(index, it)
        });
        let host = &mut self.hosts[index];
        for silent in std::mem::take(&mut host.unanswered) {
            host.directory.record_timeout(silent, now);
        }
        let allocator = host.directory.allocator(&host.peer.failure_domain, now);
        let is_allocator = allocator == Some(host.peer.address);
        host.vacancies.record_role(is_allocator, now);
        let situation = Situation {
            domain: "south",
            is_acting: host.is_acting,
            is_served,
        };
        host.is_acting = host
            .vacancies
            .must_act(&host.directory, &host.peer, situation, now);
        let own = host.peer.address;
        announce(host, own, host.is_acting, now);
        let targets = DOMAINS.map(|domain| host.directory.allocator(domain, now));
        let targets: BTreeSet<_> = targets.into_iter().flatten().collect();
        for target in targets.into_iter().filter(|it| *it != own) {
            self.exchange(index, target);
        }
    }

    fn exchange(&mut self, from: usize, to: SocketAddr) {
        let now = self.now;
        let target = self.hosts.iter().position(|it| it.peer.address == to);
        let target = target.unwrap();
        if !self.hosts[target].is_up || !self.are_connected(from, &self.hosts[target]) {
            self.hosts[from].unanswered.insert(to);
            return;
        }
        let (sender, receiver) = (
            self.hosts[from].peer.clone(),
            self.hosts[target].peer.clone(),
        );
        let is_acting = self.hosts[target].is_acting;
        for (host, other) in [(target, &sender), (from, &receiver)] {
            let host = &mut self.hosts[host];
            host.directory.record_datagram(other.address);
            host.vacancies.record_contact(&other.failure_domain, now);
        }
        announce(&mut self.hosts[from], to, is_acting, now);
    }

    fn are_connected(&self, from: usize, to: &Host) -> bool {
        let domains = [
            &self.hosts[from].peer.failure_domain,
            &to.peer.failure_domain,
        ];
        let is_pair_cut = domains.iter().all(|it| *it != "south") && domains[0] != domains[1];
        !(self.is_cut && is_pair_cut)
    }

    /// Returns the substitutes that the hosts of some failure domains use for `south`; `None` for those that know none.
    fn substitutes(&self, domains: &[&str]) -> BTreeSet<Option<SocketAddr>> {
        let hosts = self.hosts.iter().filter(|it| it.is_up);
        let hosts = hosts.filter(|it| domains.contains(&&*it.peer.failure_domain));
        hosts
            .map(|it| it.vacancies.substitute("south", &it.directory, self.now))
            .collect()
    }

    fn acting(&self) -> usize {
        let acting = self.hosts.iter().filter(|it| it.is_up && it.is_acting);
        acting.count()
    }
}

fn announce(to: &mut Host, from: SocketAddr, is_acting: bool, now: Instant) {
    let domains = ["south".to_owned()];
    let domains = if is_acting { &domains[..] } else { &[] };
    to.vacancies.record_announcement(from, domains, now);
}

/// Guards against hosts that choose different allocators, and against a takeover that depends on the size of the fleet.
#[parameterized(three = { 3 }, twelve = { 12 }, hundreds = { 300 }, all = { 985 })]
fn all_hosts_name_one_substitute_until_the_failure_domain_has_hosts_again(size: usize) {
    let mut fleet = Fleet::new(size);
    fleet.run(8 * SECOND);
    let before = fleet.acting();

    fleet.set_south_up(false);
    fleet.run(3 * SECOND);
    let too_early = fleet.acting();
    fleet.run(4 * SECOND);
    let (acting, during) = (fleet.acting(), fleet.substitutes(&DOMAINS));
    fleet.set_south_up(true);
    fleet.run(4 * SECOND);

    assert_eq!((before, too_early, acting, fleet.acting()), (0, 0, 1, 0));
    assert!(during.len() == 1 && !during.contains(&None), "{during:?}");
    assert_eq!(fleet.substitutes(&DOMAINS), BTreeSet::from([None]));
}

/// Guards against a failure domain that stays without an allocator, or has two, once its substitute is lost.
#[parameterized(three = { 3 }, twelve = { 12 }, hundreds = { 300 })]
fn another_allocator_follows_a_lost_substitute(size: usize) {
    let mut fleet = Fleet::new(size);
    fleet.set_south_up(false);
    fleet.run(8 * SECOND);

    let first = fleet.hosts.iter_mut().find(|it| it.is_acting).unwrap();
    first.is_up = false;
    fleet.run(9 * SECOND);

    assert_eq!(fleet.acting(), 1);
    assert!(!fleet.substitutes(&DOMAINS).contains(&None));
}

/// Guards against two substitutes that both go on once hosts see each other again.
#[test]
fn one_substitute_is_left_after_a_cut() {
    let mut fleet = Fleet::new(12);
    fleet.is_cut = true;
    fleet.set_south_up(false);
    fleet.run(10 * SECOND);
    let sides = ["north", "west"].map(|it| fleet.substitutes(&[it]));

    fleet.is_cut = false;
    // Hosts that were skipped are tried again 16 s later at the latest.
    fleet.run(20 * SECOND);

    assert_ne!(sides[0], sides[1]);
    assert_eq!((fleet.acting(), fleet.substitutes(&DOMAINS).len()), (1, 1));
}
