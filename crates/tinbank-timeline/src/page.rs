//! What a process answers to a query of its time line.

use serde::{Deserialize, Serialize};
use tinbank_base::{clock::Stamp, event::Event, id};

use crate::query;

/// Events of one process, in the order in which they were noted; the JSON body of `GET /timeline`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// Whose events they are.
    pub process: id::Process,
    /// Which start of the process; after a restart its ring is empty and its cursors begin again.
    pub incarnation: id::Incarnation,
    /// How many events at or after the query's cursor the full ring has dropped. Whether they would have matched
    /// the rest of the query is not known.
    pub lost: u64,
    /// Stamp of the oldest event that the ring still holds; all lost events came before it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub oldest: Option<Stamp>,
    /// The cursor to ask from next time.
    pub next: query::Cursor,
    /// The events that match.
    pub events: Vec<Event>,
}
