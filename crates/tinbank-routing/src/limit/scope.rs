//! Scopes of limits, and the ids of limits on the wire.

use std::hash::Hasher as _;

use siphasher::sip::SipHasher13;
use tinbank_base::id;
use tinbank_configuration::limit::Online;

/// Kind of a limit of a scope.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum LimitKind {
    /// Requests per second.
    Requests,
    /// Tokens per second.
    Tokens,
    /// Concurrent requests.
    Concurrency,
}

impl LimitKind {
    pub const ALL: [Self; 3] = [Self::Requests, Self::Tokens, Self::Concurrency];

    /// Returns the limit of this kind.
    pub fn of(self, limits: &Online) -> Option<u32> {
        match self {
            Self::Requests => limits.requests_per_second,
            Self::Tokens => limits.tokens_per_second,
            Self::Concurrency => limits.online_at_once,
        }
    }
}

/// The requests of a customer that a scope covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Subject<'a> {
    /// All its online requests.
    Customer,
    /// Requests to one of its services.
    Service(&'a str),
    /// Requests of one of its streams.
    Stream(&'a str),
}

/// Kind of a scope, for refusals.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    Customer,
    Service,
    Stream,
}

/// A customer, or one of its services or streams, with its limits. A request may belong to several scopes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Scope {
    /// Key of the scope, the same on all hosts.
    pub key: id::Limit,
    pub kind: Kind,
    pub limits: Online,
}

/// Number of low bits of an id that hold the [`LimitKind`]. Limits of one scope share a keeper, and so a frame.
const WHICH_BITS: u32 = 2;

impl Scope {
    pub fn new(customer: &str, subject: Subject<'_>, limits: Online) -> Self {
        let (kind, name) = match subject {
            Subject::Customer => (Kind::Customer, ""),
            Subject::Service(name) => (Kind::Service, name),
            Subject::Stream(name) => (Kind::Stream, name),
        };
        let mut hasher = SipHasher13::new();
        hasher.write(customer.as_bytes());
        hasher.write_u8(0xff);
        hasher.write_u8(kind as u8);
        hasher.write(name.as_bytes());
        Self {
            key: hasher.finish() >> WHICH_BITS << WHICH_BITS,
            kind,
            limits,
        }
    }

    /// Returns whether the scope has no limits.
    pub fn is_empty(&self) -> bool {
        self.limits == Online::default()
    }
}

/// Returns the id of a limit of a scope.
pub fn limit(key: id::Limit, limit_kind: LimitKind) -> id::Limit {
    key | limit_kind as u64
}

/// Returns the key of the scope and the kind of a limit, or `None` if the id is invalid.
pub fn parts(limit: id::Limit) -> Option<(id::Limit, LimitKind)> {
    let limit_kind = LimitKind::ALL
        .into_iter()
        .find(|limit_kind| *limit_kind as u64 == limit - key(limit));
    Some((key(limit), limit_kind?))
}

/// Returns the key of the scope that a limit belongs to.
pub fn key(limit: id::Limit) -> id::Limit {
    limit >> WHICH_BITS << WHICH_BITS
}
