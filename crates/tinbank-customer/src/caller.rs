//! Who sends a request.

use std::rc::Rc;

use tinbank_base::id;

use crate::{Customer, Customers, KeyDigest};

/// Who sends a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Caller {
    /// The configuration has no customers, so nobody is asked for a key.
    Unchecked,
    /// Somebody without a key, at a route that is open to all.
    Anonymous,
    /// A customer, by its key.
    Customer(Rc<Customer>),
}

/// A request whose sender may not send it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It carries no key.
    Missing,
    /// No customer has its key.
    Unknown,
}

impl Refusal {
    /// Why it is refused, for the log.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Missing => "no key",
            Self::Unknown => "no customer has the key",
        }
    }
}

impl Caller {
    /// The customer, if it is one.
    pub fn customer(&self) -> Option<&Rc<Customer>> {
        match self {
            Self::Customer(customer) => Some(customer),
            Self::Unchecked | Self::Anonymous => None,
        }
    }

    /// The name of the customer, if it is one.
    pub fn name(&self) -> Option<&id::Customer> {
        self.customer().map(|customer| &customer.name)
    }
}

/// Who sends a request with a key, or without one. At a route that is open to all, a key that nobody has counts as none.
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
