//! Which calls at the store are given up.

use std::{future, time::Duration};

use tinbank_gateway::{border::store::Error, watch::Watch};
use tokio::time;

fn lost() -> Result<(), Error> {
    Err(Error::Unknown("no answer in time".to_owned()))
}

/// Longer than the time after which a store counts as away.
const OUTAGE: Duration = Duration::from_millis(500);

/// A call that waits while another one fails, and one is answered after a pause. What came of the first.
async fn hangs_while_another_recovers(pause: Duration) -> Option<Result<(), Error>> {
    let watch = Watch::default();
    let hanging = watch.call(future::pending());
    let others = async {
        let _ = watch.call(future::ready(lost())).await;
        time::sleep(pause).await;
        let _ = watch.call(future::ready(Ok(()))).await;
        time::sleep(Duration::from_millis(20)).await;
    };
    tokio::select! {
        biased;
        ended = hanging => Some(ended),
        () = others => None,
    }
}

/// After a silent outage hosts had the configuration and the group back only 1.7 s later, when each
/// call's own time was up.
#[tokio::test]
async fn a_call_sent_while_the_store_was_away_is_given_up_when_a_later_one_is_answered() {
    let ended = hangs_while_another_recovers(OUTAGE).await;

    assert!(matches!(ended, Some(Err(Error::Unknown(_)))), "{ended:?}");
}

#[tokio::test]
async fn one_failure_among_answers_gives_up_nothing() {
    let ended = hangs_while_another_recovers(Duration::ZERO).await;

    assert_eq!(ended, None);
}

#[tokio::test]
async fn a_call_sent_after_the_store_is_back_waits_for_its_answer() {
    let watch = Watch::default();
    let _ = watch.call(future::ready(lost())).await;
    time::sleep(OUTAGE).await;
    let _ = watch.call(future::ready(Ok(()))).await;

    let later = watch.call(async {
        time::sleep(Duration::from_millis(30)).await;
        Ok(7)
    });
    let (later, _) = tokio::join!(later, watch.call(future::ready(Ok(()))));

    assert_eq!(later, Ok(7));
}
