//! Placing by kept parts of prompts and by memory.

mod affinity;
mod allocator;
mod cache;
#[allow(dead_code, reason = "each test program uses its part")]
#[path = "../harness/mod.rs"]
mod harness;
mod load;

use tinbank_allocator::{
    frame::{Queue, SlotRequest},
    lease::Class,
    size::{Part, Prefix, Size, Tokens},
};

fn prompt(parts: &[(Prefix, Tokens)]) -> Size {
    let part = |&(prefix, tokens)| Part { prefix, tokens };
    Size {
        parts: parts.iter().map(part).collect(),
        prompt_tokens: parts.iter().map(|(_, tokens)| tokens).sum(),
        ..Size::default()
    }
}

fn slot_request(size: Size) -> SlotRequest {
    SlotRequest {
        lease: 0,
        class: Class::Online,
        service: "notes".to_owned(),
        exclude: Default::default(),
        queue: Queue::No,
        rank: 0,
        meter: None,
        share: None,
        size,
        build: None,
        max_gap_ms: None,
    }
}
