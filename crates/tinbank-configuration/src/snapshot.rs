//! The configuration in force, as traffic threads read it.

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

/// A customer with its template filled in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Customer {
    /// Its name.
    pub name: id::Customer,
    /// The larger of its own and its template's revision.
    pub revision: id::Revision,
    /// Its services; the template's own map if it has no others.
    pub services: Arc<BTreeMap<id::Service, Arc<Service>>>,
    /// Its streams; the template's own map if it has no others.
    pub streams: Arc<BTreeMap<String, Stream>>,
    /// Its limits.
    pub limits: Limits,
    /// Its weight in the sharing of batch capacity.
    pub share: u32,
    /// How long its results stay readable.
    pub keep_results: Duration,
}

impl Customer {
    /// Fills a customer's parameters into its template: what the customer names goes before the template's.
    pub fn overlaid(
        name: &str,
        customer: &customer::Customer,
        template: &Template,
        revision: id::Revision,
    ) -> Self {
        Self {
            name: name.to_owned(),
            revision,
            services: overlay(&template.services, &customer.services),
            streams: overlay(&template.streams, &customer.streams),
            limits: template.limits.overlaid(customer.limits),
            share: customer.share.unwrap_or(template.share),
            keep_results: customer.keep_results,
        }
    }
}

/// Most customers name no services or streams of their own, and share their template's map.
fn overlay<V: Clone>(
    template: &Arc<BTreeMap<String, V>>,
    own: &BTreeMap<String, V>,
) -> Arc<BTreeMap<String, V>> {
    if own.is_empty() {
        return template.clone();
    }
    let mut overlaid = BTreeMap::clone(template);
    overlaid.extend(
        own.iter()
            .map(|(name, value)| (name.clone(), value.clone())),
    );
    Arc::new(overlaid)
}

/// All of the configuration in force at one process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The stream up to before this offset is in it.
    pub next: id::Offset,
    /// Customers by name.
    pub customers: BTreeMap<id::Customer, Arc<Customer>>,
    /// Customers by the digest of their callers' keys.
    pub keys: HashMap<Digest, Arc<Customer>>,
    /// What operators want left alone.
    pub leaving: Leaving,
}

impl Snapshot {
    /// The customer that a caller's key belongs to.
    ///
    /// The key is digested first, so the time that the look-up takes tells nothing of a stored key.
    pub fn by_key(&self, key: &str) -> Option<&Arc<Customer>> {
        self.keys.get(&digest::of(key.as_bytes()))
    }
}

/// The place where the control thread publishes snapshots and traffic threads read them.
pub type Shared = Arc<ArcSwap<Snapshot>>;
