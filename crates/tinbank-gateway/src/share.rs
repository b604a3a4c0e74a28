//! Whose share of the slots a request takes.

use tinbank_allocator::frame::Share;
use tinbank_customer::Customer;
use tinbank_relay::route::Config;

/// Returns the share of a customer.
pub(crate) fn of_customer(customer: &Customer) -> Share {
    Share {
        customer: customer.name.clone(),
        weight: customer.weight(),
    }
}

/// Returns the share of the customer with this name; `None` if the configuration no longer has it.
pub(crate) fn of_name(config: &Config, name: &str) -> Option<Share> {
    let customer = config.customers.as_ref()?.find(name)?;
    Some(of_customer(customer))
}
