//! Reads chat completions.

use bytes::Bytes;
use serde_json::{Map, Value};
use tinbank_base::{id, outcome::Failure, platform::hosts::Kind};
use tinbank_routing::prefix;

use super::{Caller, Findings, Request, caller::Wanted, unreadable};

/// A chat completion that was found good.
#[derive(Clone, Debug)]
pub(crate) struct Chat {
    pub(crate) request: Request,
    /// Whether the caller wants the answer as it comes.
    pub(crate) stream: bool,
}

impl Chat {
    /// Checks a body and finds the service.
    pub(crate) fn read(id: id::Request, caller: &Caller, body: &[u8]) -> Result<Self, Failure> {
        let mut fields: Map<String, Value> =
            serde_json::from_slice(body).map_err(|error| unreadable(&error))?;
        let model = fields.get("model").and_then(Value::as_str);
        let mut findings = Findings::default();
        check(&fields, &mut findings);
        findings.check()?;
        let wanted = caller.want(model, Kind::Engine)?;
        let stream = fields
            .get("stream")
            .and_then(Value::as_bool)
            .unwrap_or(false);
        limit_tokens(&mut fields, &wanted)?;
        fields.insert("model".to_owned(), wanted.name.as_str().into());
        // How the caller wants the answer is no part of the work, so that a resend may want it otherwise.
        fields.remove("stream");
        let body = Bytes::from(Value::Object(fields).to_string());
        let request = Request {
            id,
            customer: caller.customer.clone(),
            prefix: prefix::of_body(&wanted.name, &body),
            name: wanted.name,
            service: wanted.service,
            body,
            deadline: wanted.deadline,
            repeatable: wanted.repeatable,
            key: caller.key.clone(),
            scopes: wanted.scopes,
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

/// An answer is never longer than the service allows.
fn limit_tokens(fields: &mut Map<String, Value>, wanted: &Wanted) -> Result<(), Failure> {
    let allowed = u64::from(wanted.service.max_tokens);
    let asked = fields.get("max_tokens").and_then(Value::as_u64);
    let mut findings = Findings::default();
    if asked.is_some_and(|asked| asked > allowed) {
        findings.add(
            "max_tokens",
            &format!("is above {allowed}, which this service allows"),
        );
    }
    findings.check()?;
    fields.insert("max_tokens".to_owned(), asked.unwrap_or(allowed).into());
    Ok(())
}
