//! Reads a list from the store: first the whole list in pages, then only what was written since.

use std::time::{Duration, Instant};

use crate::{
    border::store::{Cursor, Entries, Error, List, ListEntry, Offset},
    node::Node,
};

/// Time since the last answer of the store to any call of this host up to which a lost connection alone is no sign of an outage. Longer
/// than the pause between two answers that a delegate gets, and shorter than an outage in which entries lapse.
const MAX_SILENCE: Duration = Duration::from_millis(700);
/// Timeout of the read that follows a lost connection. If it is answered, the store was not away in between.
const REREAD_TIMEOUT: Duration = Duration::from_millis(300);

/// Pages of a list that is being read in full. They are kept if the read of a later page fails.
#[derive(Default)]
pub(super) struct Pages {
    entries: Vec<ListEntry>,
    /// Position after the first page. The pages are no snapshot: changes made meanwhile are read from here afterwards.
    end: Option<Offset>,
    next: Option<Cursor>,
}

/// Result of one call to the store.
pub(super) enum Read {
    /// A page of the whole list, with more to follow.
    Page(Entries),
    /// The whole list, read in full.
    Whole(Entries),
    /// Records written since a position.
    Since(Offset, Entries),
}

/// Reads what was written since the known position, or the next page of the whole list if there is none.
pub(super) async fn read(
    node: &Node,
    list: List,
    pages: &mut Pages,
    timeout: Duration,
) -> Result<Read, Error> {
    let now = Instant::now();
    let Some(from) = node.view.position(list) else {
        return pages.read(node, list, now + timeout).await;
    };
    let max_wait = node.view.max_wait(list, now);
    let until = now + max_wait + timeout;
    let wait_ms = max_wait.as_millis() as u64;
    let read = node.store.read_since(list, from, wait_ms, until).await;
    let entries = match read {
        Err(Error::Disconnected(why)) if node.retry.has_succeeded_within(MAX_SILENCE) => {
            log::info!(list:?, why:%; "connection to the store lost, reading again at once");
            let until = Instant::now() + REREAD_TIMEOUT;
            node.store.read_since(list, from, 0, until).await?
        }
        read => read?,
    };
    Ok(Read::Since(from, entries))
}

/// Reads a whole list.
pub(super) async fn read_whole(node: &Node, list: List, until: Instant) -> Result<Entries, Error> {
    let mut pages = Pages::default();
    loop {
        if let Read::Whole(entries) = pages.read(node, list, until).await? {
            return Ok(entries);
        }
    }
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
            return Ok(Read::Page(Entries {
                entries: page.entries,
                end,
            }));
        }
        self.entries.extend(page.entries);
        let Self { entries, .. } = std::mem::take(self);
        Ok(Read::Whole(Entries { entries, end }))
    }
}
