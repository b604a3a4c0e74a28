//! `GET /v1/batches/{id}/items/{custom_id}`.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use dropshot::{Body, Path, RequestContext, endpoint};
use futures::{StreamExt as _, TryStreamExt as _, stream};
use http::{HeaderMap, Response, StatusCode};
use schemars::JsonSchema;
use serde::Deserialize;
use tinbank_base::outcome::{Code, Failure};
use tinbank_server::{
    failure::{Reply, answer},
    operator::json,
};
use tokio::time;

use super::{
    context::{Context, deadline},
    view::Item,
};
use crate::pages::{Page, Pages};

/// Maximum shards searched concurrently.
const MAX_CONCURRENT_SHARDS: usize = 4;

/// Delay before asking a shard again that has not received the job's release yet.
const RELEASE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Path parameters of an item.
#[derive(Debug, Deserialize, JsonSchema)]
pub(super) struct ItemPath {
    /// The job ID.
    id: String,
    /// The caller's ID of the item.
    custom_id: String,
}

/// Returns the state and result of one item.
#[endpoint {
    method = GET,
    path = "/v1/batches/{id}/items/{custom_id}",
}]
pub(super) async fn get_item(
    rqctx: RequestContext<Arc<Context>>,
    path: Path<ItemPath>,
) -> Result<Response<Body>, Reply> {
    let path = path.into_inner();
    let headers = rqctx.request.headers();
    answer(show(rqctx.context(), headers, path).await)
}

async fn show(
    context: &Context,
    headers: &HeaderMap,
    path: ItemPath,
) -> Result<Response<Body>, Reply> {
    let status = context.job(headers, &path.id).await?;
    let mut searches = Vec::with_capacity(status.head.shards.len());
    for shard in &status.head.shards {
        let pages = Pages::new(
            context.owner_client.clone(),
            &status.head,
            *shard,
            context.shards,
        );
        searches.push(find(pages.with_custom_id(&path.custom_id)));
    }
    let mut found = stream::iter(searches).buffer_unordered(MAX_CONCURRENT_SHARDS);
    while let Some(item) = found.try_next().await? {
        if let Some(item) = item {
            return json(StatusCode::OK, &item);
        }
    }
    let message = format!("the batch has no item {:?}", path.custom_id);
    Err(Failure::not_run(Code::NotFound, message).into())
}

async fn find(mut pages: Pages) -> Result<Option<Item>, Failure> {
    let deadline = deadline();
    loop {
        match pages.next().await? {
            Page::Items(page) => {
                if let Some(outcome) = page.outcomes.into_iter().next() {
                    return Ok(Some(Item::of(outcome, page.cancelled)));
                }
            }
            Page::NotReleased if Instant::now() < deadline => {
                time::sleep(RELEASE_POLL_INTERVAL).await
            }
            Page::NotReleased => {
                let message = "the batch has only just been taken in";
                return Err(Failure::not_run(Code::NotReady, message).help("ask again"));
            }
            Page::End => return Ok(None),
        }
    }
}
