//! Memory of upstreams that requests take.
//!
//! An upstream that runs out of memory preempts its newest request, whose prompt is then read again. See
//! `docs/design/prompt-placement.md`.

use crate::size::{Size, Tokens};

/// Multiple of the expected output that is reserved. Expectations are right in the median only; the requests of an upstream
/// that run longer are made up for by those that end earlier or have just begun.
const OUTPUT_MARGIN: Tokens = 2;
/// Largest output that is reserved, in tokens: twice that of a batch item of 136 events. Callers state limits far above what is
/// used, and 8 slots with this output take less than half of the smallest memory of 72,000 tokens.
const MAX_OUTPUT: Tokens = 4_096;

/// Returns the memory to reserve for a request, in tokens; 0 if its size is not known.
pub fn reservation(size: &Size) -> Tokens {
    let expected = size.expected_output.saturating_mul(OUTPUT_MARGIN);
    let output = size.max_output.min(expected).min(MAX_OUTPUT);
    size.prompt_tokens.saturating_add(output)
}

/// Returns whether a request fits an upstream of which `in_use` tokens are reserved.
///
/// An unknown size or memory always fits. A prompt that is larger than the whole memory never does; one that fits but whose
/// output may not has the upstream to itself.
pub fn fits(size: &Size, in_use: Tokens, memory: Option<Tokens>) -> bool {
    let needed = reservation(size);
    let Some(memory) = memory.filter(|it| *it > 0 && needed > 0) else {
        return true;
    };
    let free = memory.saturating_sub(in_use);
    size.prompt_tokens <= memory && needed.min(memory) <= free
}
