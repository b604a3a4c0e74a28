//! Reads results from the log, chunk by chunk, and sends them to the requester.

use std::sync::Arc;

use tinbank_base::{
    frame::request::{Outcome, Response},
    id,
    outcome::{Code, Ran},
    platform::log::Log,
};
use tinbank_ledger::{chunk::Chunk, result};
use tokio::sync::mpsc;

use super::{
    input::ResultPlan,
    read::{read_chunk, read_envelope},
    shard::failed,
};

/// Approximate maximum size of the results in one frame, in bytes.
const FRAME_BYTES: usize = 1 << 20;

/// Selects results.
#[derive(Clone, Debug)]
pub(super) struct Wanted {
    pub(super) shard: id::Shard,
    /// Only the item with this `custom_id`.
    pub(super) custom_id: Option<String>,
}

/// Sends the results of a plan's chunks. Each chunk ends with an empty frame, and the answer with the counts.
pub(super) async fn send(
    log: Arc<dyn Log>,
    wanted: Wanted,
    plan: ResultPlan,
    frames: mpsc::Sender<Response>,
) {
    for chunk in &plan.chunks {
        let outcomes = match read(&*log, &wanted, chunk).await {
            Ok(outcomes) => outcomes,
            Err(reason) => {
                let response = failed(Code::LogUnavailable, Ran::No, reason);
                // The requester may have disconnected.
                let _ = frames.send(response).await;
                return;
            }
        };
        for frame in split(outcomes) {
            if frames.send(Response::Results(frame)).await.is_err() {
                return;
            }
        }
        if frames.send(Response::Results(Vec::new())).await.is_err() {
            return;
        }
    }
    // The requester may have disconnected.
    let _ = frames.send(Response::Counted(plan.count)).await;
}

async fn read(log: &dyn Log, wanted: &Wanted, chunk: &Chunk) -> Result<Vec<Outcome>, String> {
    let body = read_chunk(log, wanted.shard, chunk.place()).await?;
    if let Some(name) = &wanted.custom_id
        && !body.items.iter().any(|item| item.custom_id == *name)
    {
        return Ok(Vec::new());
    }
    let mut results = Vec::with_capacity(chunk.results().len());
    for offset in chunk.results() {
        results.push(read_envelope(log, wanted.shard, *offset).await?);
    }
    let mut outcomes = result::outcomes(&body, chunk, &results);
    if let Some(name) = &wanted.custom_id {
        outcomes.retain(|outcome| outcome.custom_id == *name);
    }
    Ok(outcomes)
}

/// Splits results into frames of bounded size.
fn split(outcomes: Vec<Outcome>) -> Vec<Vec<Outcome>> {
    let mut frames: Vec<Vec<Outcome>> = Vec::new();
    let mut room = 0;
    for outcome in outcomes {
        let size = size(&outcome);
        if size > room || frames.is_empty() {
            frames.push(Vec::new());
            room = FRAME_BYTES;
        }
        room = room.saturating_sub(size);
        if let Some(frame) = frames.last_mut() {
            frame.push(outcome);
        }
    }
    frames
}

fn size(outcome: &Outcome) -> usize {
    use tinbank_base::record::work::Outcome as End;
    let body = match outcome
        .completion
        .as_ref()
        .map(|completion| &completion.outcome)
    {
        Some(End::Answer(answer)) => answer.len(),
        Some(End::Failed { message, .. }) => message.len(),
        None => 0,
    };
    outcome.custom_id.len() + body
}
