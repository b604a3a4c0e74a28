//! Regions in which requests and jobs may run, by the configuration in force.

use tinbank_customer::Customer;
use tinbank_jobs::job::Job;
use tinbank_relay::{
    region::Allowed,
    route::{Config, Kind, Route},
};

/// Returns the regions allowed for a request of a customer, if there is one, to a route.
pub(crate) fn of_request(config: &Config, route: &Route, customer: Option<&str>) -> Allowed {
    let customers = config.customers.as_ref();
    let customer = customers
        .zip(customer)
        .and_then(|(all, name)| all.find(name));
    of_customer(route, customer.map(|it| &**it))
}

/// Returns the regions allowed for a request of a known customer, if there is one, to a route.
pub(crate) fn of_customer(route: &Route, customer: Option<&Customer>) -> Allowed {
    let customer = customer.and_then(|it| it.allowed_regions.as_ref());
    Allowed::new(route.allowed_regions.as_ref(), customer)
}

/// Returns the regions allowed for the items of a job. The route that it was submitted to binds; a route that is gone no
/// longer restricts it, and its items are abandoned.
pub(crate) fn of_job(config: &Config, job: &Job) -> Allowed {
    let mut routes = config.routes.iter();
    let route = routes.find(|it| it.name == job.route);
    route.map_or_else(Allowed::default, |route| {
        of_request(config, route, job.customer.as_deref())
    })
}

/// Returns the regions allowed for a call about a job. The call does not name its route, so every batch route of its host
/// name binds.
pub(crate) fn of_job_call(config: &Config, host: &str, customer: Option<&Customer>) -> Allowed {
    let routes = config.routes.iter();
    let batch = routes.filter(|it| it.host == host && it.kind == Kind::Batch);
    let restricted = batch.filter_map(|it| it.allowed_regions.as_ref());
    let customer = customer.and_then(|it| it.allowed_regions.as_ref());
    restricted.fold(Allowed::new(None, customer), |allowed, names| {
        allowed.restrict(names)
    })
}
