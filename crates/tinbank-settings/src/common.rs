//! What every process of an entry host is told, whatever its role.

use std::{
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
};

use serde::Deserialize;
use serde_with::{FromInto, hex::Hex, serde_as};
use smallvec::SmallVec;
use tinbank_base::{frame::datagram, id};

use crate::schema::{Field, Kind, Remark, Schema, Use};

/// Most hosts that a deployment may number.
pub const MAX_HOST: u64 = 1_000_000;
/// Levels that the log can be cut at.
pub const LOG_LEVELS: &[&str] = &["error", "warn", "info", "debug", "trace"];

/// Settings that all processes share; flatten them into a process's own with `#[serde(flatten)]`.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
pub struct Common {
    /// Number of the host.
    pub host: id::Host,
    /// Where the host stands.
    pub failure_domain: id::FailureDomain,
    /// Where callers and operators reach the process.
    pub http: SocketAddr,
    /// Where other processes reach it, over UDP and TCP.
    pub peer: SocketAddr,
    /// The platform's log service.
    pub log: SocketAddr,
    /// The platform's host list.
    pub hosts: SocketAddr,
    /// The platform's weight store.
    pub weights: SocketAddr,
    /// Keys of the frames between processes; the first one signs.
    #[serde_as(as = "SmallVec<[FromInto<PeerKey>; 2]>")]
    pub peer_keys: datagram::Keys,
    /// Peers to ask first when the host list can't be read.
    pub seeds: SmallVec<[SocketAddr; 4]>,
    /// TLS of the HTTP address; without it the server speaks plain HTTP.
    #[serde(default)]
    pub tls: Option<Tls>,
    /// Threads that carry traffic, besides the control thread.
    pub traffic_threads: usize,
    /// What is logged.
    pub log_level: String,
}

/// Files of the HTTP server's TLS, in PEM.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Tls {
    /// The certificate chain, the server's own first.
    pub certificate: PathBuf,
    /// The PKCS #8 private key.
    pub key: PathBuf,
}

/// A key as it is written in the settings.
#[serde_as]
#[derive(Deserialize)]
struct PeerKey {
    number: u8,
    #[serde_as(as = "Hex")]
    secret: [u8; 32],
}

impl From<PeerKey> for datagram::Key {
    fn from(key: PeerKey) -> Self {
        Self {
            number: key.number,
            secret: key.secret,
        }
    }
}

impl Default for Common {
    /// Settings for tests and demonstrations: loopback, ports chosen by the system, a key that is no secret.
    fn default() -> Self {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let key = datagram::Key {
            number: 1,
            secret: [1; 32],
        };
        Self {
            host: 1,
            failure_domain: "local".to_owned(),
            http: any,
            peer: any,
            log: any,
            hosts: any,
            weights: any,
            peer_keys: SmallVec::from_iter([key]),
            seeds: SmallVec::new(),
            tls: None,
            traffic_threads: 2,
            log_level: "info".to_owned(),
        }
    }
}

impl Schema for Common {
    fn fields() -> Vec<Field> {
        vec![
            Field::required(
                "host",
                Kind::count(1, MAX_HOST),
                "Number of this entry host, unique in the deployment.",
            ),
            Field::required(
                "failure_domain",
                Kind::Text,
                "Failure domain that the host stands in, as the platform names it.",
            ),
            Field::required(
                "http",
                Kind::Address(Use::Listen),
                "Where callers and operators reach the process.",
            ),
            Field::required(
                "peer",
                Kind::Address(Use::Listen),
                "Where other processes reach this one, over UDP and TCP.",
            ),
            Field::required(
                "log",
                Kind::Address(Use::Connect),
                "The platform's log service.",
            ),
            Field::required(
                "hosts",
                Kind::Address(Use::Connect),
                "The platform's host list.",
            ),
            Field::required(
                "weights",
                Kind::Address(Use::Connect),
                "The platform's weight store.",
            ),
            Field::required(
                "peer_keys",
                peer_keys(),
                "Keys of the frames between processes. The first signs, both are accepted, so that a key can be changed without a stop.",
            ),
            Field::default(
                "seeds",
                Kind::List {
                    of: Box::new(Kind::Address(Use::Peer)),
                    min: 0,
                    max: 64,
                },
                "[]",
                "Peer addresses to ask first when the host list can't be read.",
            ),
            Field::optional(
                "tls",
                Kind::Table(tls()),
                "TLS of the `http` address; without it the server speaks plain HTTP.",
            ),
            Field::default(
                "traffic_threads",
                Kind::count(1, 256),
                "2",
                "Threads that carry traffic, besides the control thread.",
            ),
            Field::default(
                "log_level",
                Kind::Choice(LOG_LEVELS),
                "\"info\"",
                "The least severe level that is logged.",
            ),
        ]
    }

    fn review(&self) -> Vec<Remark> {
        let [first, second] = self.peer_keys.as_slice() else {
            return Vec::new();
        };
        if first.number != second.number {
            return Vec::new();
        }
        vec![Remark {
            path: "peer_keys[1].number".to_owned(),
            what: format!("both peer keys have the number {}", first.number),
            help: "give the new key a number that no other key has".to_owned(),
        }]
    }
}

fn peer_keys() -> Kind {
    let key = vec![
        Field::required(
            "number",
            Kind::count(0, 255),
            "Number that frames name the key by.",
        ),
        Field::required(
            "secret",
            Kind::Secret { bytes: 32 },
            "The key itself, the same on all hosts.",
        ),
    ];
    Kind::List {
        of: Box::new(Kind::Table(key)),
        min: 1,
        max: 2,
    }
}

fn tls() -> Vec<Field> {
    vec![
        Field::required(
            "certificate",
            Kind::File,
            "PEM file with the certificate chain, the server's own first.",
        ),
        Field::required("key", Kind::File, "PEM file with the PKCS #8 private key."),
    ]
}
