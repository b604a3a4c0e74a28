//! Permissions of overloaded hosts to withdraw from the load balancer, which the allocator of their failure domain gives.

#[cfg(test)]
mod tests;

use std::{net::SocketAddr, time::Instant};

use tinbank_allocator::{
    frame::{Frame, Overloaded},
    withdrawal::PERMISSION_LIFETIME,
};

use super::Sharing;

impl Sharing {
    /// Tells the allocator of the own failure domain that this host is overloaded. The reply to the next heartbeat says whether
    /// the host may withdraw.
    pub fn report_overload(&self, has_withdrawn: bool, now: Instant) {
        let own = &self.own.failure_domain;
        let allocator = self.state.borrow().directory.allocator(own, now);
        if let Some(allocator) = allocator {
            self.send(allocator, &Frame::Overloaded(Overloaded { has_withdrawn }));
        }
    }

    /// Returns whether this host may withdraw from the load balancer, or stay withdrawn.
    pub fn may_withdraw(&self, now: Instant) -> bool {
        self.may_withdraw_until.get().is_some_and(|at| now < at)
    }

    /// Records that another host is overloaded.
    pub(super) fn record_overloaded(&self, from: SocketAddr, notice: Overloaded, now: Instant) {
        let own = &self.own.failure_domain;
        let mut state = self.state.borrow_mut();
        let peer = state.directory.peer(from);
        if peer.is_none_or(|it| it.failure_domain != *own) {
            return;
        }
        let hosts = state.directory.host_count_in(own);
        let withdrawals = &mut state.withdrawals;
        withdrawals.record(from, notice.has_withdrawn, hosts, now);
    }

    /// Records that the allocator permits this host to withdraw.
    pub(super) fn record_permission(&self, now: Instant) {
        let until = now + PERMISSION_LIFETIME;
        self.may_withdraw_until.set(Some(until));
    }
}
