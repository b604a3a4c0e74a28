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
    /// Its name, which upstreams are told.
    pub name: id::Customer,
    /// Its keys.
    pub keys: SmallVec<[KeyDigest; 2]>,
    /// Its rank; 0 is the highest. It goes before the one of the route.
    pub rank: Option<u8>,
    /// What it may send; nothing means no limit.
    pub limit: Option<Limit>,
}

/// All customers, found by their keys: one look-up a request, however many there are.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<Rc<Customer>>", into = "Vec<Rc<Customer>>")]
pub struct Customers {
    all: Vec<Rc<Customer>>,
    by_key: HashMap<KeyDigest, usize>,
}

impl Customers {
    /// The customer that has a key.
    pub fn find_by_key(&self, key: &KeyDigest) -> Option<&Rc<Customer>> {
        let index = self.by_key.get(key)?;
        self.all.get(*index)
    }
}

impl From<Vec<Rc<Customer>>> for Customers {
    /// A key that two customers have belongs to the first of them, so that it is the same one's on every host.
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
