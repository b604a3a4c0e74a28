//! Tells the engines' admission controllers how many online requests we have in them.

use tinbank_admission::LoadReporter;
use tinbank_routing::Table;

/// Tells each change as it comes.
pub(super) async fn tell(table: Table, teller: LoadReporter) {
    loop {
        for load in table.online_changed().await {
            teller.online(load.upstream, load.online);
        }
    }
}
