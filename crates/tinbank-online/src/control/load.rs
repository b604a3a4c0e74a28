//! Reports the number of our online requests at each engine to the engine's admission controllers.

use tinbank_admission::Teller;
use tinbank_routing::Table;

/// Reports every change.
pub(super) async fn report(table: Table, teller: Teller) {
    loop {
        for load in table.changed().await {
            teller.online(load.upstream, load.online);
        }
    }
}
