//! All changes that the log still holds, with their verdicts.

use std::time::Instant;

use jiff::Timestamp;
use tinbank_base::{
    platform::log::{Entry, Log, Stream},
    record::{Envelope, config::Record},
};
use tinbank_configuration::fold::{Fold, Judged};

use crate::{error::Error, exit::Exit};

/// About how many bytes one read of the log brings.
const PAGE_BYTES: usize = 1 << 20;

/// A change.
#[derive(Clone, Debug)]
pub(crate) struct Change {
    pub(crate) judged: Judged,
    /// When it was published, by the operator's clock.
    pub(crate) time: Option<Timestamp>,
}

/// All changes with their verdicts and times, read from the oldest record that the log keeps.
pub(crate) async fn read(log: &dyn Log) -> Result<Vec<Change>, Error> {
    let bounds = log
        .bounds(Stream::Config)
        .await
        .map_err(|error| unread(&error))?;
    let mut fold = Fold::default();
    if bounds.first > 0 {
        fold.on_trimmed(bounds.first);
    }
    let mut changes = Vec::new();
    let mut next = bounds.first;
    while next < bounds.tail {
        let page = log
            .read(Stream::Config, next, PAGE_BYTES, Instant::now())
            .await;
        let page = page.map_err(|error| unread(&error))?;
        if page.next <= next {
            break;
        }
        for entry in &page.entries {
            let time = time(entry);
            let judged = fold.apply(entry).into_iter();
            changes.extend(judged.map(|judged| Change { judged, time }));
        }
        next = page.next;
    }
    Ok(changes)
}

fn unread(error: &tinbank_base::platform::log::Error) -> Error {
    Error::new(
        Exit::Unreachable,
        format!("the configuration can't be read: {error}"),
    )
    .help("see that `log` in the settings is right and the log is reachable, then repeat")
}

fn time(entry: &Entry) -> Option<Timestamp> {
    let envelope = Envelope::<Record>::decode(&entry.payload).ok()?;
    Timestamp::try_from(envelope.stamp.time()).ok()
}
