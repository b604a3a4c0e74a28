//! `GET /v1/batches/{id}/results`: streams all ended items as NDJSON, in bounded memory.

use std::{collections::VecDeque, sync::Arc};

use bytes::Bytes;
use dropshot::{Body, Path, RequestContext, endpoint};
use futures::stream;
use http::{HeaderMap, Response};
use tinbank_base::outcome::Failure;
use tinbank_server::{
    failure::{Reply, answer},
    stream::{Form, fallible, line},
};

use super::{
    context::Context,
    job::JobPath,
    view::{Item, ItemState},
};
use crate::pages::{Page, Pages};

/// Returns all items that have ended, one per line. If reading fails, the connection is aborted, so that a partial result
/// is never mistaken for a whole one.
#[endpoint {
    method = GET,
    path = "/v1/batches/{id}/results",
}]
pub(super) async fn get_results(
    rqctx: RequestContext<Arc<Context>>,
    path: Path<JobPath>,
) -> Result<Response<Body>, Reply> {
    let id = path.into_inner().id;
    let headers = rqctx.request.headers();
    answer(send(rqctx.context(), headers, &id).await)
}

async fn send(context: &Context, headers: &HeaderMap, id: &str) -> Result<Response<Body>, Reply> {
    let status = context.job(headers, id).await?;
    let shards = status.head.shards.iter();
    let pages: VecDeque<Pages> = shards
        .map(|shard| {
            Pages::new(
                context.owner_client.clone(),
                &status.head,
                *shard,
                context.shards,
            )
        })
        .collect();
    let state = State { pages };
    let pieces = stream::try_unfold(state, |mut state| async {
        let piece = state.next().await?;
        Ok::<_, Failure>(piece.map(|piece| (piece, state)))
    });
    Ok(fallible(Form::Ndjson, pieces))
}

struct State {
    /// One reader per shard, read in order.
    pages: VecDeque<Pages>,
}

impl State {
    /// Returns the lines of the next page that has any.
    async fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        while let Some(pages) = self.pages.front_mut() {
            let Page::Items(page) = pages.next().await? else {
                self.pages.pop_front();
                continue;
            };
            let mut lines = Vec::new();
            for outcome in page.outcomes {
                let item = Item::of(outcome, page.cancelled);
                if item.state != ItemState::Pending
                    && let Ok(line) = line(&item)
                {
                    lines.extend_from_slice(&line);
                }
            }
            if !lines.is_empty() {
                return Ok(Some(lines.into()));
            }
        }
        Ok(None)
    }
}
