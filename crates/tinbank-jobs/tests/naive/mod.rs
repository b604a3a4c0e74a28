//! A sequential version of one job that keeps every event with its run.

use tinbank_jobs::record::{Outcome, Piece, Record};

/// An event of a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Event {
    run: u64,
    /// Event behind which its run was asked to go on.
    started_after: u64,
    number: u64,
}

#[derive(Clone, Debug, Default)]
struct Text {
    events: Vec<Event>,
    listed: bool,
}

/// One job whose items are named `item-0` and so on.
#[derive(Debug)]
pub struct Naive {
    items: Vec<Text>,
    listed: Vec<(u32, bool)>,
    ended: bool,
}

impl Naive {
    pub fn new(items: usize) -> Self {
        Self {
            items: vec![Text::default(); items],
            listed: Vec::new(),
            ended: false,
        }
    }

    pub fn apply(&mut self, record: &Record) {
        if self.ended {
            return;
        }
        match record {
            Record::Submitted(_) | Record::SubmittedBy(..) | Record::Failed(_) => {}
            Record::Ended(_) => self.ended = true,
            Record::Advanced(advance) => {
                self.add(advance.index, &advance.piece);
            }
            Record::Finished(finish) => {
                let done = match &finish.result {
                    Outcome::Abandoned(_) => true,
                    Outcome::Completed(piece) => self.add(finish.index, piece),
                };
                let text = &mut self.items[finish.index as usize];
                if done && !text.listed {
                    text.listed = true;
                    let completed = matches!(finish.result, Outcome::Completed(_));
                    self.listed.push((finish.index, completed));
                }
            }
        }
    }

    /// Adds a piece if the whole text is then still one that callers may get. True if the text ends with the piece.
    fn add(&mut self, index: u32, piece: &Piece) -> bool {
        let text = &mut self.items[index as usize];
        if text.listed {
            return false;
        }
        let mut events = text.events.clone();
        events.extend((piece.after + 1..=piece.last).map(|number| Event {
            run: piece.run,
            started_after: piece.started_after,
            number,
        }));
        if is_whole(&events) {
            text.events = events;
            return true;
        }
        // What was added before may come again.
        text.events
            .last()
            .is_some_and(|last| last.run == piece.run && last.number >= piece.last)
    }

    pub fn texts(&self) -> Vec<(String, Option<String>)> {
        let listed = self.listed.iter().map(|(index, completed)| {
            let events = &self.items[*index as usize].events;
            let lines: Vec<String> = events
                .iter()
                .map(|event| format!("{}.{}", event.run, event.number))
                .collect();
            (format!("item-{index}"), completed.then(|| lines.join("\n")))
        });
        listed.collect()
    }
}

/// True if the events are numbered without gaps, and each comes from the run of the one before it, or from a run that
/// was asked to go on behind the one before it.
fn is_whole(events: &[Event]) -> bool {
    let numbered = (1..)
        .zip(events)
        .all(|(number, event)| event.number == number);
    let joined = events
        .windows(2)
        .all(|pair| pair[0].run == pair[1].run || pair[1].started_after == pair[0].number);
    let begun = events.first().is_none_or(|first| first.started_after == 0);
    numbered && joined && begun
}
