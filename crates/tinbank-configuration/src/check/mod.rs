//! Checks operators' texts. The fold and the command line use the same functions, so that what the command line lets
//! pass is what every host accepts.

mod text;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use serde::de::DeserializeOwned;
use tinbank_base::{id, platform::hosts::Kind, record::config::Object};

use crate::{
    customer::Customer,
    drain::Drain,
    finding::Finding,
    limit::Online,
    service::Service,
    snapshot,
    template::{Stream, Template, Traffic},
};
use text::Text;

/// Longest text of one object, in bytes.
pub const MAX_BODY: usize = 128 << 10;
/// Longest name of an object, service or stream, in bytes.
pub const MAX_NAME: usize = 100;

/// All that is wrong with a text.
pub type Findings = Vec<Finding>;

/// Reads a template's text: JSON, with comments if the operator likes.
///
/// # Errors
/// All findings of the text.
pub fn template(body: &str) -> Result<Template, Findings> {
    let text = Text::parse(body)?;
    let template = parse::<Template>(&text)?;
    let services = template.services.keys().collect();
    let mut findings = Vec::new();
    check_services(&text, &template.services, &mut findings);
    check_streams(&text, &template.streams, &services, &mut findings);
    check_share(&text, Some(template.share), &mut findings);
    whole(template, findings)
}

/// Reads a customer's text, without regard to its template.
///
/// # Errors
/// All findings of the text.
pub fn customer(body: &str) -> Result<Customer, Findings> {
    let text = Text::parse(body)?;
    let customer = parse::<Customer>(&text)?;
    let mut findings = Vec::new();
    check_services(&text, &customer.services, &mut findings);
    for (name, stream) in &customer.streams {
        check_stream(&text, name, stream, &mut findings);
    }
    check_share(&text, customer.share, &mut findings);
    let distinct: BTreeSet<_> = customer.keys.iter().collect();
    if distinct.len() < customer.keys.len() {
        findings.push(text.finding(
            &["key_sha256"],
            "a digest is given twice",
            "give each key's digest once",
        ));
    }
    whole(customer, findings)
}

/// Fills a customer's parameters into its template.
///
/// # Errors
/// All findings that concern both together. `body` is the customer's text, for their places.
pub fn resolve(
    name: &str,
    customer: &Customer,
    body: &str,
    template: &Template,
    revision: id::Revision,
) -> Result<snapshot::Customer, Findings> {
    let overlaid = snapshot::Customer::overlaid(name, customer, template, revision);
    let services: BTreeSet<_> = overlaid.services.keys().collect();
    let mut findings = Vec::new();
    let unresolved = |stream: &Stream| !services.contains(&stream.service);
    if overlaid.streams.values().any(unresolved) {
        let text = Text::parse(body)?;
        check_streams(&text, &overlaid.streams, &services, &mut findings);
    }
    whole(overlaid, findings)
}

/// Reads what operators want of a host or upstream.
///
/// # Errors
/// All findings of the text.
pub fn drain(body: &str) -> Result<Drain, Findings> {
    let text = Text::parse(body)?;
    parse::<Drain>(&text)
}

/// A finding at a field of a text that could be read.
pub(crate) fn field_finding(body: &str, field: &str, message: &str, help: &str) -> Finding {
    match Text::parse(body) {
        Ok(text) => text.finding(&[field], message, help),
        Err(_) => Finding::whole(message, help),
    }
}

/// Checks the name of an object.
///
/// # Errors
/// A finding if it is empty, too long, or has characters that don't go into URLs and file names.
pub fn name(object: &Object) -> Result<(), Findings> {
    let (Object::Template(name) | Object::Customer(name)) = object else {
        return Ok(());
    };
    match name_problem(name) {
        None => Ok(()),
        Some(problem) => Err(vec![Finding::whole(
            format!("the name {name:?} {problem}"),
            NAME_HELP,
        )]),
    }
}

const NAME_HELP: &str = "use letters, digits, '-', '_' and '.'";

fn name_problem(name: &str) -> Option<&'static str> {
    let allowed = |char: char| char.is_alphanumeric() || matches!(char, '-' | '_' | '.');
    if name.is_empty() {
        return Some("is empty");
    }
    if name.len() > MAX_NAME {
        return Some("is too long");
    }
    (!name.chars().all(allowed)).then_some("has characters that are not allowed")
}

fn parse<T: DeserializeOwned>(text: &Text<'_>) -> Result<T, Findings> {
    let mut findings = text.duplicates();
    text.check_entries::<Service>("services", &mut findings);
    text.check_entries::<Stream>("streams", &mut findings);
    text.check_entry::<crate::limit::Limits>("limits", &mut findings);
    let parsed = text.whole::<T>();
    match parsed {
        Ok(parsed) if findings.is_empty() => Ok(parsed),
        Ok(_) => Err(findings),
        Err(finding) => {
            // What is wrong inside a section was found above, with its place.
            if findings.is_empty() || !text.inside_section(&finding) {
                findings.push(finding);
            }
            Err(findings)
        }
    }
}

fn check_services(
    text: &Text<'_>,
    services: &BTreeMap<id::Service, Arc<Service>>,
    findings: &mut Findings,
) {
    for (name, service) in services {
        let mut find = |field: &str, message: &str, help: &str| {
            findings.push(text.finding(&["services", name, field], message, help));
        };
        if let Some(problem) = name_problem(name) {
            find("", &format!("the name {problem}"), NAME_HELP);
        }
        match (service.kind, &service.artifact) {
            (Kind::Engine, None) => find(
                "",
                "an engine service needs an artifact",
                "add \"artifact\" with model and version",
            ),
            (Kind::Plain, Some(_)) => find(
                "artifact",
                "a plain service loads no artifact",
                "take it away, or make the kind \"engine\"",
            ),
            _ => {}
        }
        if service.pool.is_empty() {
            find("pool", "the pool is empty", "name the pool of upstreams");
        }
        if service.timeout.is_zero() {
            find("timeout_ms", "no time is given", "give at least 1");
        }
        if service.attempts == 0 {
            find("attempts", "no attempt is allowed", "give at least 1");
        }
        if service.kind == Kind::Engine && service.max_tokens == 0 {
            find("max_tokens", "no token is allowed", "give at least 1");
        }
        let place = ["services", name, "limits"];
        if service.kind == Kind::Plain && service.limits.tokens_per_second.is_some() {
            find(
                "limits",
                "a plain service generates no tokens",
                "take `tokens_per_second` away",
            );
        }
        check_limits(text, &place, &service.limits, findings);
    }
}

fn check_streams(
    text: &Text<'_>,
    streams: &BTreeMap<String, Stream>,
    services: &BTreeSet<&id::Service>,
    findings: &mut Findings,
) {
    for (name, stream) in streams {
        if !services.contains(&stream.service) {
            let message = format!(
                "stream {name} uses the unknown service {:?}",
                stream.service
            );
            let help = format!("known services are {}", list(services));
            findings.push(text.finding(&["streams", name, "service"], &message, &help));
        }
        check_stream(text, name, stream, findings);
    }
}

/// Checks what of a stream can be told without its services.
fn check_stream(text: &Text<'_>, name: &str, stream: &Stream, findings: &mut Findings) {
    if let Some(problem) = name_problem(name) {
        let message = format!("the name {problem}");
        findings.push(text.finding(&["streams", name], &message, NAME_HELP));
    }
    if stream.timeout.is_some_and(|timeout| timeout.is_zero()) {
        let place = ["streams", name, "timeout_ms"];
        findings.push(text.finding(&place, "no time is given", "give at least 1"));
    }
    let place = ["streams", name, "limits"];
    if stream.traffic == Traffic::Batch && stream.limits != Online::default() {
        findings.push(text.finding(
            &place,
            "it limits online requests, and the stream carries batch jobs",
            "limit batch with `limits.batch_at_once` and `limits.pending_items` of the customer",
        ));
    }
    check_limits(text, &place, &stream.limits, findings);
}

/// A limit of 0 is a mistake here: what a customer may not use at all is left out of its services.
fn check_limits(text: &Text<'_>, place: &[&str], limits: &Online, findings: &mut Findings) {
    let fields = [
        ("requests_per_second", limits.requests_per_second),
        ("tokens_per_second", limits.tokens_per_second),
        ("online_at_once", limits.online_at_once),
    ];
    for (field, limit) in fields {
        if limit == Some(0) {
            let place: Vec<&str> = place.iter().copied().chain([field]).collect();
            let help = "give at least 1, or leave it out for no limit";
            findings.push(text.finding(&place, "a limit of 0 lets nothing in", help));
        }
    }
}

fn check_share(text: &Text<'_>, share: Option<u32>, findings: &mut Findings) {
    if share == Some(0) {
        findings.push(text.finding(
            &["share"],
            "a share of 0 would never run",
            "give at least 1",
        ));
    }
}

fn list(names: &BTreeSet<&String>) -> String {
    let names: Vec<&str> = names.iter().map(|name| name.as_str()).collect();
    names.join(", ")
}

fn whole<T>(value: T, findings: Findings) -> Result<T, Findings> {
    if findings.is_empty() {
        return Ok(value);
    }
    Err(findings)
}
