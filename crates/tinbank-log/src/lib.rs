//! Writes to and reads from log streams: writer identity, resend after a lost answer, group commit under a budget, reads to the tail.
