//! The host list as it comes over HTTP: bytes and time as the fleet grows.

use std::{io::Write as _, net::SocketAddr};

use flate2::{Compression, write::GzEncoder};
use smallvec::smallvec;
use tinbank_base::{
    id::{Process, Role},
    platform::hosts::{Kind, List, Member, State, Upstream},
};

use super::{Allocated, Point, Series, micros, point, processor_time, weight};

/// Entry hosts, with three processes each; engines are as many as hosts times 600/370.
const HOSTS: [u32; 4] = [12, 74, 185, 370];
const ENGINES_PER_HOST: f64 = 600.0 / 370.0;

pub(super) fn list_bytes() -> Series {
    let points = points(|hosts| json(&list(hosts)).len() as f64);
    Series::new(
        "host list bytes",
        "host with three processes and 1.62 engines",
        "bytes of JSON",
        points,
    )
}

pub(super) fn list_compressed_bytes() -> Series {
    let points = points(|hosts| {
        let mut writer = GzEncoder::new(Vec::new(), Compression::fast());
        let written = writer.write_all(&json(&list(hosts)));
        written.expect("a vector takes all that is written");
        let packed = writer.finish().expect("a vector takes all that is written");
        packed.len() as f64
    });
    Series::new(
        "host list compressed bytes",
        "host with three processes and 1.62 engines",
        "bytes of JSON, gzip at its fastest",
        points,
    )
}

pub(super) fn list_time() -> Series {
    let points = points(|hosts| {
        let json = json(&list(hosts));
        let read = |()| {
            let list: Result<List, _> = serde_json::from_slice(&json);
            assert!(list.is_ok(), "it was written by the same type");
            std::hint::black_box(list.ok());
        };
        micros(processor_time(|| (), read))
    });
    Series::new(
        "host list time",
        "host with three processes and 1.62 engines",
        "µs to decode",
        points,
    )
}

pub(super) fn list_state_bytes(allocated: Allocated) -> Series {
    let points = points(|hosts| weight(allocated, || list(hosts)));
    Series::new(
        "host list state bytes",
        "host with three processes and 1.62 engines",
        "bytes",
        points,
    )
}

fn points(measure: impl Fn(u32) -> f64) -> Vec<Point> {
    HOSTS
        .iter()
        .map(|hosts| point(*hosts as usize, measure(*hosts)))
        .collect()
}

fn json(value: &impl serde::Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("these types are written by the platform's adapters too")
}

fn list(hosts: u32) -> List {
    let engines = (f64::from(hosts) * ENGINES_PER_HOST).round() as u32;
    List {
        version: 7,
        upstreams: (1..=engines).map(engine).collect(),
        members: (1..=hosts)
            .flat_map(|host| {
                [Role::Online, Role::Batch, Role::Fleet].map(|role| member(Process { host, role }))
            })
            .collect(),
    }
}

fn engine(number: u32) -> Upstream {
    Upstream {
        upstream: number,
        name: format!("engine-{number}"),
        kind: Kind::Engine,
        pools: smallvec![format!("model-{:02}", number % 28)],
        address: address(number, 8_000),
        failure_domain: domain(number),
        checks_fence: true,
        slots: Some(64),
        state: State::Live,
    }
}

fn member(process: Process) -> Member {
    let port = 7_000 + process.role as u16;
    Member {
        process,
        peer: address(process.host, port),
        http: address(process.host, port + 100),
        failure_domain: domain(process.host),
        state: State::Live,
    }
}

fn address(number: u32, port: u16) -> SocketAddr {
    let [.., a, b] = number.to_be_bytes();
    SocketAddr::from(([10, 20, a, b], port))
}

fn domain(number: u32) -> String {
    ["brisbane-north", "logan", "ipswich", "toowoomba"][number as usize % 4].to_owned()
}
