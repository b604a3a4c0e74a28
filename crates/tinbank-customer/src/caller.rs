//! Identification of the sender of a request.

use std::rc::Rc;

use tinbank_base::id;

use crate::{Customer, Customers, KeyDigest};

/// Sender of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Caller {
    /// The configuration has no customers, so requests need no key.
    Unchecked,
    /// Sender without a known key, on a route that does not require one.
    Anonymous,
    /// A customer, identified by its key.
    Customer(Rc<Customer>),
}

/// Why the sender of a request can't be identified.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The request has no key.
    Missing,
    /// No customer has the key.
    Unknown,
}

impl Refusal {
    /// Returns a description for the log.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Missing => "no key",
            Self::Unknown => "no customer has the key",
        }
    }
}

impl Caller {
    /// Returns the customer, if the sender is one.
    pub fn customer(&self) -> Option<&Rc<Customer>> {
        match self {
            Self::Customer(customer) => Some(customer),
            Self::Unchecked | Self::Anonymous => None,
        }
    }

    /// Returns the name of the customer, if the sender is one.
    pub fn name(&self) -> Option<&id::Customer> {
        self.customer().map(|customer| &customer.name)
    }
}

/// Identifies the sender of a request. On a route that requires no key, an unknown key is treated like a missing one.
pub fn identify(
    customers: Option<&Customers>,
    key: Option<&KeyDigest>,
    is_open: bool,
) -> Result<Caller, Refusal> {
    let Some(customers) = customers else {
        return Ok(Caller::Unchecked);
    };
    let refusal = match key {
        Some(key) => match customers.find_by_key(key) {
            Some(customer) => return Ok(Caller::Customer(Rc::clone(customer))),
            None => Refusal::Unknown,
        },
        None => Refusal::Missing,
    };
    match is_open {
        true => Ok(Caller::Anonymous),
        false => Err(refusal),
    }
}
