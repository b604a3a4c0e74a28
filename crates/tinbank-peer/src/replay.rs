//! Replay protection for datagrams.

/// Width of the window in sequences: how far frames may be reordered and still be accepted.
const WIDTH: u64 = 128;

/// Sliding window over the sequences seen from one sender, ending at the largest one.
///
/// Sequences older than the window are treated as seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Window {
    largest: u64,
    seen: u128,
}

impl Window {
    /// Records a sequence and returns whether it is new.
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
