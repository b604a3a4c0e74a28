//! Reads calls of plain services.

use bytes::Bytes;
use serde::de::IgnoredAny;
use tinbank_base::{id, outcome::Failure, platform::hosts::Kind};
use tinbank_routing::prefix;

use super::{Caller, Request, unreadable};

/// Checks a body, which may be any JSON, and finds the service.
pub(crate) fn read(
    id: id::Request,
    caller: &Caller,
    name: &str,
    body: Bytes,
) -> Result<Request, Failure> {
    let wanted = caller.want(Some(name), Kind::Plain)?;
    serde_json::from_slice::<IgnoredAny>(&body).map_err(|error| unreadable(&error))?;
    Ok(Request {
        id,
        customer: caller.customer.clone(),
        // Plain services have no prefix cache: spreading by the request's id balances them.
        prefix: prefix::of(&wanted.name, &id.to_be_bytes()),
        name: wanted.name,
        service: wanted.service,
        body,
        deadline: wanted.deadline,
        repeatable: wanted.repeatable,
        key: caller.key.clone(),
        scopes: wanted.scopes,
    })
}
