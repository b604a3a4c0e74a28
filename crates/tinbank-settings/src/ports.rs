//! Finds ports that are used twice: two listeners on one address, or a platform address that is our own.

use std::net::SocketAddr;

use crate::{check::Check, schema::Use};

/// An address in the file.
#[derive(Clone, Debug)]
pub(crate) struct Port {
    pub(crate) path: String,
    pub(crate) address: SocketAddr,
    pub(crate) used: Use,
    pub(crate) offset: usize,
}

pub(crate) fn check(check: &mut Check<'_>) {
    let ports = std::mem::take(&mut check.ports);
    for (index, later) in ports.iter().enumerate() {
        let earlier = &ports[..index];
        let Some(first) = earlier.iter().find(|first| clash(first, later)) else {
            continue;
        };
        check.add(
            later.offset,
            format!(
                "`{}` uses {}, which `{}` uses on line {}",
                later.path,
                later.address,
                first.path,
                check.line(first.offset)
            ),
            "give one of the two another port",
        );
    }
}

fn clash(left: &Port, right: &Port) -> bool {
    let listeners = [left, right].map(|port| port.used == Use::Listen);
    let same_port = left.address.port() == right.address.port() && left.address.port() != 0;
    let same_ip = left.address.ip() == right.address.ip();
    match listeners {
        [true, true] => {
            let any = left.address.ip().is_unspecified() || right.address.ip().is_unspecified();
            same_port && (same_ip || any)
        }
        [true, false] => right.used == Use::Connect && same_port && same_ip,
        [false, true] => left.used == Use::Connect && same_port && same_ip,
        [false, false] => false,
    }
}
