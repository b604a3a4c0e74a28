//! The active configuration, as traffic threads read it.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use arc_swap::ArcSwap;
use tinbank_base::{
    digest::{self, Digest},
    id,
};

use crate::{
    customer,
    drain::Leaving,
    limit::Limits,
    service::Service,
    template::{Stream, Template},
};

/// A customer merged with its template.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Customer {
    /// Name of the customer.
    pub name: id::Customer,
    /// The larger of its own and its template's revision.
    pub revision: id::Revision,
    /// Its services; the template's map itself if the customer defines none of its own.
    pub services: Arc<BTreeMap<id::Service, Arc<Service>>>,
    /// Its streams; the template's map itself if the customer defines none of its own.
    pub streams: Arc<BTreeMap<String, Stream>>,
    /// Limits of the customer.
    pub limits: Limits,
    /// Its weight in the sharing of batch capacity.
    pub share: u32,
    /// How long its results stay readable.
    pub keep_results: Duration,
}

impl Customer {
    /// Merges a customer with its template. The customer's values take precedence.
    pub fn from_template(
        name: &str,
        customer: &customer::Customer,
        template: &Template,
        revision: id::Revision,
    ) -> Self {
        Self {
            name: name.to_owned(),
            revision,
            services: merge(&template.services, &customer.services),
            streams: merge(&template.streams, &customer.streams),
            limits: template.limits.with_overrides(customer.limits),
            share: customer.share.unwrap_or(template.share),
            keep_results: customer.keep_results,
        }
    }
}

/// Merges two maps. Returns the template's map itself if `own` is empty, so that most customers share it.
fn merge<V: Clone>(
    template: &Arc<BTreeMap<String, V>>,
    own: &BTreeMap<String, V>,
) -> Arc<BTreeMap<String, V>> {
    if own.is_empty() {
        return template.clone();
    }
    let mut merged = BTreeMap::clone(template);
    merged.extend(
        own.iter()
            .map(|(name, value)| (name.clone(), value.clone())),
    );
    Arc::new(merged)
}

/// The configuration that is active in a process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Offset of the first entry of the stream that is not included.
    pub next: id::Offset,
    /// All customers, by name.
    pub customers: BTreeMap<id::Customer, Arc<Customer>>,
    /// All customers, by the digests of their callers' API keys.
    pub keys: HashMap<Digest, Arc<Customer>>,
    /// Hosts and upstreams that operators drain.
    pub leaving: Leaving,
}

impl Snapshot {
    /// Returns the customer that a caller's API key belongs to.
    ///
    /// The lookup uses the digest of the key, so its timing reveals nothing about stored keys.
    pub fn by_key(&self, key: &str) -> Option<&Arc<Customer>> {
        self.keys.get(&digest::of(key.as_bytes()))
    }
}

/// The current snapshot, published by the control thread and read by traffic threads.
pub type Shared = Arc<ArcSwap<Snapshot>>;
