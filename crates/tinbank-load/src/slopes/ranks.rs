//! Rendezvous ranks: what a change of members costs a process that ranks all shards, and all engines.

use std::net::{Ipv4Addr, SocketAddr};

use tinbank_base::{
    frame::heartbeat::{Health, Phase},
    id::{self, Process, Role},
    peer::Member,
    record::Writer,
};
use tinbank_membership::rendezvous::{self, Key};

use super::{Series, micros, point, processor_time};

const MEMBERS: [u32; 4] = [12, 74, 185, 370];

/// All 512 shards.
pub(super) fn shards() -> Series {
    series(
        "ranks shards",
        "µs for 512 shards",
        |shard| Key::Shard(shard as id::Shard),
        512,
    )
}

/// All 600 engines.
pub(super) fn engines() -> Series {
    series("ranks engines", "µs for 600 engines", Key::Upstream, 600)
}

fn series(name: &'static str, y: &'static str, key: impl Fn(u32) -> Key, keys: u32) -> Series {
    let points = MEMBERS
        .iter()
        .map(|count| {
            let members = members(*count);
            let rank = |()| {
                for number in 0..keys {
                    std::hint::black_box(rendezvous::rank(&members, key(number)));
                }
            };
            point(*count as usize, micros(processor_time(|| (), rank)))
        })
        .collect();
    Series::new(name, "batch process, at each change of members", y, points)
}

fn members(count: u32) -> Vec<Member> {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 7_000));
    (1..=count)
        .map(|host| Member {
            writer: Writer {
                process: Process {
                    host,
                    role: Role::Batch,
                },
                incarnation: 1,
            },
            health: Health::Alive,
            phase: Phase::Ready,
            peer: address,
            http: address,
            failure_domain: "logan".into(),
            config: 7,
        })
        .collect()
}
