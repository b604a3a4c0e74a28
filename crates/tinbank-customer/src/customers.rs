//! The customers of a configuration.

use std::{collections::HashMap, rc::Rc};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use tinbank_allowance::Limit;
use tinbank_base::id;

use crate::KeyDigest;

/// A customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Customer {
    /// Its name, which is sent to upstreams.
    pub name: id::Customer,
    /// Digests of its keys.
    pub keys: SmallVec<[KeyDigest; 2]>,
    /// Its rank; 0 is the highest. Takes precedence over the route's.
    pub rank: Option<u8>,
    /// Its rate limit; `None` means no limit.
    pub limit: Option<Limit>,
    /// Batch tokens that it may have queued over all routes; `None` means no limit.
    pub queued_tokens: Option<u64>,
    /// Regions in which its requests may run and be stored; `None` means all.
    pub allowed_regions: Option<SmallVec<[id::Region; 2]>>,
}

/// Weight of a customer without a limit.
const UNLIMITED_WEIGHT: u32 = 1_000;

impl Customer {
    /// Returns its weight in the shares of the slots: its allowed requests per second, in thousandths.
    pub fn weight(&self) -> u32 {
        let rate = self.limit.map(|it| it.rate_milli);
        rate.map_or(UNLIMITED_WEIGHT, |it| it.clamp(1, u32::MAX.into()) as u32)
    }
}

/// All customers, indexed by key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<Rc<Customer>>", into = "Vec<Rc<Customer>>")]
pub struct Customers {
    all: Vec<Rc<Customer>>,
    by_key: HashMap<KeyDigest, usize>,
}

impl Customers {
    /// Returns the customer with this key.
    pub fn find_by_key(&self, key: &KeyDigest) -> Option<&Rc<Customer>> {
        let index = self.by_key.get(key)?;
        self.all.get(*index)
    }
}

impl Customers {
    /// Returns the customer with this name.
    pub fn find(&self, name: &str) -> Option<&Rc<Customer>> {
        self.all.iter().find(|it| it.name == name)
    }
}

impl From<Vec<Rc<Customer>>> for Customers {
    /// A key of several customers belongs to the first of them, so that all hosts agree.
    fn from(all: Vec<Rc<Customer>>) -> Self {
        let mut by_key = HashMap::new();
        for (index, customer) in all.iter().enumerate() {
            for key in &customer.keys {
                by_key.entry(*key).or_insert(index);
            }
        }
        Self { all, by_key }
    }
}

impl From<Customers> for Vec<Rc<Customer>> {
    fn from(customers: Customers) -> Self {
        customers.all
    }
}
