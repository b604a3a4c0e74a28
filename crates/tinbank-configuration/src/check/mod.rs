//! Validates operators' texts. The fold and the command line use the same functions, so that the command line accepts
//! what every host accepts.

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

/// Maximum length of the text of an object, in bytes.
pub const MAX_BODY: usize = 128 << 10;
/// Maximum length of the name of an object, service or stream, in bytes.
pub const MAX_NAME: usize = 100;

/// All mistakes in a text.
pub type Findings = Vec<Finding>;

/// Parses the text of a template: JSON, which may contain comments and trailing commas.
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
    ok_or_findings(template, findings)
}

/// Parses the text of a customer, without checking it against its template.
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
    ok_or_findings(customer, findings)
}

/// Merges a customer with its template.
///
/// # Errors
/// All findings that concern the combination. `body` is the text of the customer, to locate them in.
pub fn resolve(
    name: &str,
    customer: &Customer,
    body: &str,
    template: &Template,
    revision: id::Revision,
) -> Result<snapshot::Customer, Findings> {
    let merged = snapshot::Customer::from_template(name, customer, template, revision);
    let services: BTreeSet<_> = merged.services.keys().collect();
    let mut findings = Vec::new();
    let unresolved = |stream: &Stream| !services.contains(&stream.service);
    if merged.streams.values().any(unresolved) {
        let text = Text::parse(body)?;
        check_streams(&text, &merged.streams, &services, &mut findings);
    }
    ok_or_findings(merged, findings)
}

/// Parses the drain state of a host or upstream.
///
/// # Errors
/// All findings of the text.
pub fn drain(body: &str) -> Result<Drain, Findings> {
    let text = Text::parse(body)?;
    parse::<Drain>(&text)
}

/// Creates a finding at a field of a text.
pub(crate) fn field_finding(body: &str, field: &str, message: &str, help: &str) -> Finding {
    match Text::parse(body) {
        Ok(text) => text.finding(&[field], message, help),
        Err(_) => Finding::whole_text(message, help),
    }
}

/// Checks the name of an object.
///
/// # Errors
/// A finding if it is empty, too long, or contains characters that are unsuitable for URLs and file names.
pub fn name(object: &Object) -> Result<(), Findings> {
    let (Object::Template(name) | Object::Customer(name)) = object else {
        return Ok(());
    };
    match name_problem(name) {
        None => Ok(()),
        Some(problem) => Err(vec![Finding::whole_text(
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
    text.check_section_entries::<Service>("services", &mut findings);
    text.check_section_entries::<Stream>("streams", &mut findings);
    text.check_section::<crate::limit::Limits>("limits", &mut findings);
    let parsed = text.deserialize::<T>();
    match parsed {
        Ok(parsed) if findings.is_empty() => Ok(parsed),
        Ok(_) => Err(findings),
        Err(finding) => {
            // Mistakes inside a section were already found above, with their positions.
            if findings.is_empty() || !text.is_in_section(&finding) {
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
        let mut add_finding = |field: &str, message: &str, help: &str| {
            findings.push(text.finding(&["services", name, field], message, help));
        };
        if let Some(problem) = name_problem(name) {
            add_finding("", &format!("the name {problem}"), NAME_HELP);
        }
        match (service.kind, &service.artifact) {
            (Kind::Engine, None) => add_finding(
                "",
                "an engine service needs an artifact",
                "add \"artifact\" with model and version",
            ),
            (Kind::Plain, Some(_)) => add_finding(
                "artifact",
                "a plain service loads no artifact",
                "remove it, or set the kind to \"engine\"",
            ),
            _ => {}
        }
        if service.pool.is_empty() {
            add_finding("pool", "the pool is empty", "name the pool of upstreams");
        }
        if service.timeout.is_zero() {
            add_finding("timeout_ms", "the timeout is 0", "give at least 1");
        }
        if service.attempts == 0 {
            add_finding("attempts", "the number of attempts is 0", "give at least 1");
        }
        if service.kind == Kind::Engine && service.max_tokens == 0 {
            add_finding(
                "max_tokens",
                "the maximum number of tokens is 0",
                "give at least 1",
            );
        }
        let path = ["services", name, "limits"];
        if service.kind == Kind::Plain && service.limits.tokens_per_second.is_some() {
            add_finding(
                "limits",
                "a plain service generates no tokens",
                "remove `tokens_per_second`",
            );
        }
        check_limits(text, &path, &service.limits, findings);
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
            let help = format!("known services are {}", join_names(services));
            findings.push(text.finding(&["streams", name, "service"], &message, &help));
        }
        check_stream(text, name, stream, findings);
    }
}

/// Checks the parts of a stream that do not depend on services.
fn check_stream(text: &Text<'_>, name: &str, stream: &Stream, findings: &mut Findings) {
    if let Some(problem) = name_problem(name) {
        let message = format!("the name {problem}");
        findings.push(text.finding(&["streams", name], &message, NAME_HELP));
    }
    if stream.timeout.is_some_and(|timeout| timeout.is_zero()) {
        let path = ["streams", name, "timeout_ms"];
        findings.push(text.finding(&path, "the timeout is 0", "give at least 1"));
    }
    let path = ["streams", name, "limits"];
    if stream.traffic == Traffic::Batch && stream.limits != Online::default() {
        findings.push(text.finding(
            &path,
            "these limits apply to online requests, but the stream carries batch jobs",
            "limit batch with `limits.batch_at_once` and `limits.pending_items` of the customer",
        ));
    }
    check_limits(text, &path, &stream.limits, findings);
}

/// Rejects limits of 0. A service that a customer may not use is left out of its services instead.
fn check_limits(text: &Text<'_>, path: &[&str], limits: &Online, findings: &mut Findings) {
    let fields = [
        ("requests_per_second", limits.requests_per_second),
        ("tokens_per_second", limits.tokens_per_second),
        ("online_at_once", limits.online_at_once),
    ];
    for (field, limit) in fields {
        if limit == Some(0) {
            let path: Vec<&str> = path.iter().copied().chain([field]).collect();
            let help = "give at least 1, or leave it out for no limit";
            findings.push(text.finding(&path, "a limit of 0 admits no requests", help));
        }
    }
}

fn check_share(text: &Text<'_>, share: Option<u32>, findings: &mut Findings) {
    if share == Some(0) {
        findings.push(text.finding(
            &["share"],
            "batch items with a share of 0 would never run",
            "give at least 1",
        ));
    }
}

fn join_names(names: &BTreeSet<&String>) -> String {
    let names: Vec<&str> = names.iter().map(|name| name.as_str()).collect();
    names.join(", ")
}

fn ok_or_findings<T>(value: T, findings: Findings) -> Result<T, Findings> {
    if findings.is_empty() {
        return Ok(value);
    }
    Err(findings)
}
