//! Addresses and failure domains of the simulated processes.

use std::net::SocketAddr;

use tinbank_base::{
    id::{Process, Role},
    platform::hosts,
};

pub const DOMAINS: [&str; 3] = ["brisbane-north", "logan", "ipswich"];
const ROLES: [Role; 3] = [Role::Online, Role::Batch, Role::Fleet];

pub fn address(process: Process) -> SocketAddr {
    let [.., a, b] = process.host.to_be_bytes();
    let port = 7_000 + process.role as u16;
    SocketAddr::from(([10, 0, a, b], port))
}

pub fn domain(process: Process) -> usize {
    process.host as usize % DOMAINS.len()
}

pub fn listed(process: Process) -> hosts::Member {
    hosts::Member {
        process,
        peer: address(process),
        http: address(process),
        failure_domain: DOMAINS[domain(process)].into(),
        state: hosts::State::Live,
    }
}

pub fn processes(hosts: u32) -> Vec<Process> {
    (1..=hosts)
        .flat_map(|host| ROLES.map(|role| Process { host, role }))
        .collect()
}
