//! Replay protection: which frames of a sender have been seen.

/// Frames that may overtake each other and still count.
const WIDTH: u64 = 128;

/// Sequences seen of one sender: a sliding window below the largest one.
///
/// A sequence that is older than the window counts as seen, for nothing is known of it any more.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Window {
    largest: u64,
    seen: u128,
}

impl Window {
    /// Notes a sequence and tells whether it is new.
    pub fn admit(&mut self, sequence: u64) -> bool {
        if sequence > self.largest {
            self.slide(sequence - self.largest);
            self.largest = sequence;
            return true;
        }
        let age = self.largest - sequence;
        if age >= WIDTH || self.seen >> age & 1 == 1 {
            return false;
        }
        self.seen |= 1 << age;
        true
    }

    fn slide(&mut self, by: u64) {
        let kept = if by >= WIDTH { 0 } else { self.seen << by };
        self.seen = kept | 1;
    }
}
