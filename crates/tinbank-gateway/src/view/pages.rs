//! Reads a list at the store: page by page while nothing of it is known, and what was written since from then on.

use std::time::{Duration, Instant};

use crate::{
    border::store::{Cursor, Entries, Error, List, ListEntry, Offset},
    node::Node,
};

/// Pages of a list that is being read whole. They are kept if a later one does not come.
#[derive(Default)]
pub(super) struct Pages {
    entries: Vec<ListEntry>,
    /// Position behind the first page. The pages are no snapshot: what changed since is read again from here.
    end: Option<Offset>,
    next: Option<Cursor>,
}

/// What one call read.
pub(super) enum Read {
    /// A page of the whole list, and there are more.
    Part(Vec<ListEntry>),
    /// The whole list.
    Whole(Entries),
    /// What was written since a position.
    Since(Entries),
}

/// Reads what was written since the position that is known, or the next page of the whole list.
pub(super) async fn read(
    node: &Node,
    list: List,
    pages: &mut Pages,
    patience: Duration,
) -> Result<Read, Error> {
    let now = Instant::now();
    let Some(from) = node.view.lists.of(list).position() else {
        return pages.read(node, list, now + patience).await;
    };
    let wait = node.view.wait(list, now);
    let until = now + wait + patience;
    let wait_ms = wait.as_millis() as u64;
    let entries = node.store.read_since(list, from, wait_ms, until).await?;
    Ok(Read::Since(entries))
}

impl Pages {
    async fn read(&mut self, node: &Node, list: List, until: Instant) -> Result<Read, Error> {
        let page = node
            .store
            .read_newest(list, self.next.as_ref(), until)
            .await?;
        let end = *self.end.get_or_insert(page.end);
        self.next = page.next;
        if self.next.is_some() {
            self.entries.extend(page.entries.iter().cloned());
            return Ok(Read::Part(page.entries));
        }
        self.entries.extend(page.entries);
        let Self { entries, .. } = std::mem::take(self);
        Ok(Read::Whole(Entries { entries, end }))
    }
}
