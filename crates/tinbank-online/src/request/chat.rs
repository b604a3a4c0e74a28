//! Parses chat completion requests.

use bytes::Bytes;
use serde_json::{Map, Value};
use tinbank_base::{id, outcome::Failure, platform::hosts::Kind};
use tinbank_routing::prefix;

use super::{Caller, Findings, Request, caller::ResolvedService, invalid_json};

/// A valid chat completion request.
#[derive(Clone, Debug)]
pub(crate) struct ChatRequest {
    pub(crate) request: Request,
    /// Whether the caller wants a streamed answer.
    pub(crate) stream: bool,
}

impl ChatRequest {
    /// Validates a body and resolves its service.
    pub(crate) fn read(id: id::Request, caller: &Caller, body: &[u8]) -> Result<Self, Failure> {
        let mut fields: Map<String, Value> =
            serde_json::from_slice(body).map_err(|error| invalid_json(&error))?;
        let model = fields.get("model").and_then(Value::as_str);
        let mut findings = Findings::default();
        check(&fields, &mut findings);
        findings.into_result()?;
        let resolved = caller.resolve_service(model, Kind::Engine)?;
        let stream = fields
            .get("stream")
            .and_then(Value::as_bool)
            .unwrap_or(false);
        limit_tokens(&mut fields, &resolved)?;
        fields.insert("model".to_owned(), resolved.name.as_str().into());
        // Not part of the claimed body, so that a retry with the same idempotency key may choose another format.
        fields.remove("stream");
        let body = Bytes::from(Value::Object(fields).to_string());
        let request = Request {
            id,
            customer: caller.customer.clone(),
            prefix: prefix::of_body(&resolved.name, &body),
            name: resolved.name,
            service: resolved.service,
            body,
            deadline: resolved.deadline,
            repeatable: resolved.repeatable,
            key: caller.key.clone(),
            scopes: resolved.scopes,
        };
        Ok(Self { request, stream })
    }
}

fn check(fields: &Map<String, Value>, findings: &mut Findings) {
    if fields.get("model").is_some_and(|model| !model.is_string()) {
        findings.add("model", "is no text");
    }
    if fields
        .get("stream")
        .is_some_and(|stream| !stream.is_boolean())
    {
        findings.add("stream", "is neither true nor false");
    }
    let max_tokens = fields.get("max_tokens").filter(|max| !max.is_null());
    if max_tokens.is_some_and(|max| max.as_u64().is_none_or(|max| max == 0)) {
        findings.add("max_tokens", "is no whole number above 0");
    }
    if fields.contains_key("resume_from") {
        findings.add("resume_from", "is not for callers");
    }
    match fields.get("messages") {
        None => findings.add("messages", "is missing"),
        Some(Value::Array(messages)) if messages.is_empty() => findings.add("messages", "is empty"),
        Some(Value::Array(messages)) => check_messages(messages, findings),
        Some(_) => findings.add("messages", "is no list"),
    }
}

fn check_messages(messages: &[Value], findings: &mut Findings) {
    for (index, message) in messages.iter().enumerate() {
        if !message.get("role").is_some_and(Value::is_string) {
            findings.add(&format!("messages[{index}].role"), "is missing or no text");
        }
        let content = message.get("content");
        if !content.is_some_and(|content| content.is_string() || content.is_array()) {
            findings.add(
                &format!("messages[{index}].content"),
                "is missing or neither text nor a list",
            );
        }
    }
}

/// Sets `max_tokens` to the service's maximum if it is missing, and reports it if it is larger.
fn limit_tokens(
    fields: &mut Map<String, Value>,
    resolved: &ResolvedService,
) -> Result<(), Failure> {
    let allowed = u64::from(resolved.service.max_tokens);
    let requested = fields.get("max_tokens").and_then(Value::as_u64);
    let mut findings = Findings::default();
    if requested.is_some_and(|requested| requested > allowed) {
        findings.add(
            "max_tokens",
            &format!("is above {allowed}, which this service allows"),
        );
    }
    findings.into_result()?;
    fields.insert("max_tokens".to_owned(), requested.unwrap_or(allowed).into());
    Ok(())
}
