//! Which pending calls to the store are abandoned after an outage.

use std::{future, time::Duration};

use tinbank_gateway::{border::store::Error, watch::PendingCalls};
use tokio::time;

fn timed_out() -> Result<(), Error> {
    Err(Error::Unknown("no answer in time".to_owned()))
}

/// Longer than the shortest time that counts as an outage.
const OUTAGE: Duration = Duration::from_millis(500);

/// Keeps a call pending while another one fails and a third one succeeds after `delay`. Returns the outcome of the pending call,
/// if it ended.
async fn pending_across_failure_and_success(delay: Duration) -> Option<Result<(), Error>> {
    let calls = PendingCalls::default();
    let pending = calls.call(future::pending());
    let others = async {
        let _ = calls.call(future::ready(timed_out())).await;
        time::sleep(delay).await;
        let _ = calls.call(future::ready(Ok(()))).await;
        time::sleep(Duration::from_millis(20)).await;
    };
    tokio::select! {
        biased;
        outcome = pending => Some(outcome),
        () = others => None,
    }
}

/// Otherwise the call would wait for its own timeout, although the store has recovered.
#[tokio::test]
async fn a_call_sent_during_an_outage_is_abandoned_when_a_later_one_is_answered() {
    let outcome = pending_across_failure_and_success(OUTAGE).await;

    assert!(
        matches!(outcome, Some(Err(Error::Unknown(_)))),
        "{outcome:?}"
    );
}

#[tokio::test]
async fn a_single_failure_is_no_outage() {
    let outcome = pending_across_failure_and_success(Duration::ZERO).await;

    assert_eq!(outcome, None);
}

#[tokio::test]
async fn a_call_sent_after_an_outage_waits_for_its_answer() {
    let calls = PendingCalls::default();
    let _ = calls.call(future::ready(timed_out())).await;
    time::sleep(OUTAGE).await;
    let _ = calls.call(future::ready(Ok(()))).await;

    let later = calls.call(async {
        time::sleep(Duration::from_millis(30)).await;
        Ok(7)
    });
    let (later, _) = tokio::join!(later, calls.call(future::ready(Ok(()))));

    assert_eq!(later, Ok(7));
}
