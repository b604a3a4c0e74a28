//! Passes datagrams about credits to the admission controllers.

use tinbank_admission::Service as Admission;
use tinbank_base::{frame::credit, record::Writer};

use crate::owner::answer::Credits;

impl Credits for Admission {
    fn on_message(&self, from: Writer, message: credit::Message) {
        Self::on_message(self, from, message);
    }
}
