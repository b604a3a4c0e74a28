//! Reports the number of our online requests at each engine to the engine's admission controllers.

use tinbank_admission::LoadReporter;
use tinbank_routing::Table;

/// Reports every change.
pub(super) async fn report(table: Table, teller: LoadReporter) {
    loop {
        for load in table.online_changed().await {
            teller.online(load.upstream, load.online);
        }
    }
}
