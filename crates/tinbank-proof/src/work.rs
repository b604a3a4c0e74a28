//! Bodies of requests and items, and the answers that belong to them.

use serde_json::{Value, json};
use tinbank_standin::engine::{self, answer::Prompt};

/// Service of the deployment's engines.
pub const NOTES: &str = "werkbank-llm";
/// Plain service whose calls may not be repeated.
pub const ORDERS: &str = "crew-booking";

/// A chat completion with so many tokens at most; its name is in the stand-ins' accounts.
pub fn note(name: &str, tokens: u32) -> Value {
    json!({
        "model": NOTES,
        "messages": [{ "role": "user", "content": format!("note of {name}") }],
        "max_tokens": tokens,
        "reference": name,
    })
}

/// The text that an engine answers to a body.
pub fn text(body: &Value) -> String {
    let prompt = Prompt::read(body.to_string().as_bytes()).expect("bodies of the proofs are whole");
    prompt
        .answer(engine::Settings::default().max_tokens)
        .whole()
}

/// Name of an item of a job.
pub fn name(job: &str, item: usize) -> String {
    format!("{job}-{item}")
}

/// A job of notes.
pub fn notes(job: &str, items: usize, tokens: u32) -> String {
    lines(job, items, |name| note(name, tokens))
}

/// A job of orders that may not be repeated.
pub fn orders(job: &str, items: usize) -> String {
    lines(job, items, order)
}

/// An order; its name is in the stand-in's account.
pub fn order(name: &str) -> Value {
    json!({ "reference": name })
}

fn lines(job: &str, items: usize, body: impl Fn(&str) -> Value) -> String {
    let lines = (0..items).map(|item| {
        let name = name(job, item);
        let line = json!({ "custom_id": name, "body": body(&name) });
        format!("{line}\n")
    });
    lines.collect()
}
