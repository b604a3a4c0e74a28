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
    context::{Context, until},
    view::Item,
};
use crate::pages::{Page, Pages};

/// Shards that are searched at once.
const SHARDS_AT_ONCE: usize = 4;

/// Pause before a shard is asked again that has not been told of the job yet.
const NOT_YET: Duration = Duration::from_millis(50);

/// Which item.
#[derive(Debug, Deserialize, JsonSchema)]
pub(super) struct ItemPath {
    /// The job's id.
    id: String,
    /// The caller's name for the item.
    custom_id: String,
}

/// State and result of one item.
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
        let pages = Pages::new(context.owner_client.clone(), &status.head, *shard, context.shards);
        searches.push(find(pages.only(&path.custom_id)));
    }
    let mut found = stream::iter(searches).buffer_unordered(SHARDS_AT_ONCE);
    while let Some(item) = found.try_next().await? {
        if let Some(item) = item {
            return json(StatusCode::OK, &item);
        }
    }
    let message = format!("the batch has no item {:?}", path.custom_id);
    Err(Failure::not_run(Code::NotFound, message).into())
}

async fn find(mut pages: Pages) -> Result<Option<Item>, Failure> {
    let until = until();
    loop {
        match pages.next().await? {
            Page::Items(page) => {
                if let Some(outcome) = page.outcomes.into_iter().next() {
                    return Ok(Some(Item::of(outcome, page.cancelled)));
                }
            }
            Page::NotYet if Instant::now() < until => time::sleep(NOT_YET).await,
            Page::NotYet => {
                let message = "the batch has only just been taken in";
                return Err(Failure::not_run(Code::NotReady, message).help("ask again"));
            }
            Page::End => return Ok(None),
        }
    }
}
