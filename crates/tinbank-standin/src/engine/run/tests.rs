use std::{sync::Arc, time::Duration};

use tokio::{sync::mpsc, time::Instant};
use tokio_util::sync::CancellationToken;

use super::{Command, Gauge, start};
use crate::{
    account::{Account, End, Run},
    engine::{
        Settings,
        answer::Text,
        batch::{Batch, Event, Sequence},
    },
    fault::Faults,
};

const TOKENS: u32 = 50;

fn sequence(account: &Account) -> (Sequence, mpsc::UnboundedReceiver<Event>) {
    let run = account.begin(Run {
        request: None,
        reference: None,
        prompt: 0,
        resumed_from: 0,
        tokens: 0,
        end: End::Running,
    });
    let (events, received) = mpsc::unbounded_channel();
    let sequence = Sequence {
        request: 1,
        run,
        words: Vec::new(),
        answer: Text {
            prompt: 0,
            tokens: TOKENS,
            cut: false,
        },
        next: 0,
        kills: false,
        events,
    };
    (sequence, received)
}

async fn last(mut events: mpsc::UnboundedReceiver<Event>) -> Option<Event> {
    let mut last = None;
    while let Some(event) = events.recv().await {
        last = Some(event);
    }
    last
}

#[tokio::test(start_paused = true)]
async fn steps_follow_the_virtual_clock() {
    let account = Account::default();
    let settings = Settings {
        base_step: Duration::from_secs(60),
        step_per_sequence: Duration::ZERO,
        ..Settings::default()
    };
    let batch = Batch::new(&settings, account.clone());
    let engine = start(
        batch,
        Faults::new(0),
        Arc::new(Gauge::default()),
        CancellationToken::new(),
    );
    let (sequence, events) = sequence(&account);
    let begun = Instant::now();

    engine
        .send(Command::Start(sequence))
        .expect("the engine runs");
    let end = last(events).await;

    assert!(
        matches!(end, Some(Event::End { tokens: TOKENS, .. })),
        "{end:?}"
    );
    assert_eq!(begun.elapsed(), Duration::from_secs(60) * TOKENS);
}

#[tokio::test(start_paused = true)]
async fn a_paused_engine_makes_no_steps_and_a_killed_one_loses_its_work() {
    let account = Account::default();
    let batch = Batch::new(&Settings::default(), account.clone());
    let faults = Faults::new(0);
    faults.change(|fault| fault.paused = true);
    let engine = start(
        batch,
        faults.clone(),
        Arc::new(Gauge::default()),
        CancellationToken::new(),
    );
    let (sequence, events) = sequence(&account);

    engine
        .send(Command::Start(sequence))
        .expect("the engine runs");
    tokio::time::sleep(Duration::from_secs(3_600)).await;
    let while_paused = account.runs()[0].tokens;
    faults.change(|fault| fault.paused = false);
    tokio::time::sleep(Duration::from_millis(100)).await;
    faults.change(|fault| fault.killed = true);
    let end = last(events).await;

    assert_eq!(while_paused, 0);
    assert!(matches!(end, Some(Event::Token { .. })), "{end:?}");
    assert_eq!(account.runs()[0].end, End::Failed);
}
