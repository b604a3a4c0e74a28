//! Regions in which requests and jobs may run, by the configuration in force.

use tinbank_customer::Customer;
use tinbank_jobs::job::Job;
use tinbank_relay::{
    region::Allowed,
    route::{Config, Kind, Route},
};

/// Returns the regions allowed for a request of a known customer, if there is one, to a route.
pub(crate) fn of_customer(route: &Route, customer: Option<&Customer>) -> Allowed {
    let customer = customer.and_then(|it| it.allowed_regions.as_ref());
    Allowed::new(route.allowed_regions.as_ref(), customer)
}

/// Returns the regions allowed for the items of a job. The customer, the route that the job was submitted to and the routes of
/// all items bind, finished ones too, since the contents of all items are stored together. A customer or route that is gone no longer restricts.
pub(crate) fn of_job(config: &Config, job: &Job) -> Allowed {
    let customers = config.customers.as_ref();
    let customer = customers
        .zip(job.customer.as_deref())
        .and_then(|(all, name)| all.find(name));
    let customer = customer.and_then(|it| it.allowed_regions.as_ref());
    let mut routes = config.routes.iter();
    let route = routes.find(|it| it.name == job.route);
    let route = route.and_then(|it| it.allowed_regions.as_ref());
    let paths = job.items().map(|item| item.path.as_str());
    of_items(config, &job.host, paths, Allowed::new(route, customer))
}

/// Restricts what is allowed for a job to the regions that the routes of its items allow.
pub(crate) fn of_items<'a>(
    config: &Config,
    host: &str,
    paths: impl Iterator<Item = &'a str>,
    allowed: Allowed,
) -> Allowed {
    if !is_any_route_restricted(config) {
        return allowed;
    }
    let routes = paths.filter_map(|path| config.route(host, path));
    let restricted = routes.filter_map(|it| it.allowed_regions.as_ref());
    restricted.fold(allowed, |allowed, names| allowed.restrict(names))
}

/// Returns whether any route allows only some regions.
pub(crate) fn is_any_route_restricted(config: &Config) -> bool {
    let mut routes = config.routes.iter();
    routes.any(|it| it.allowed_regions.is_some())
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
