//! The state that all duties of the process share.

use std::{cell::Cell, rc::Rc};

use crate::{
    batch::Batch,
    border::{engine::Engine, ingress::Ingress, store::Store},
    settings::Settings,
    sharing::Sharing,
    stop::Stop,
    view::View,
};

/// One process. Everything in it belongs to its one control thread.
pub(crate) struct Node {
    pub settings: Settings,
    pub store: Rc<dyn Store>,
    pub ingress: Rc<dyn Ingress>,
    pub engine: Rc<dyn Engine>,
    pub view: View,
    pub sharing: Rc<Sharing>,
    pub batch: Batch,
    pub stop: Stop,
    draws: Cell<u64>,
}

impl Node {
    /// A node that knows nothing yet.
    pub fn new(
        settings: Settings,
        store: Rc<dyn Store>,
        ingress: Rc<dyn Ingress>,
        engine: Rc<dyn Engine>,
        sharing: Rc<Sharing>,
    ) -> Self {
        Self {
            batch: Batch::new(),
            settings,
            store,
            ingress,
            engine,
            view: View::default(),
            sharing,
            stop: Stop::default(),
            draws: Cell::new(crate::identity::number()),
        }
    }

    /// The next number of a sequence that draws services by their weights evenly.
    pub fn draw(&self) -> u64 {
        let next = self.draws.get().wrapping_add(1);
        self.draws.set(next);
        next
    }

    /// True if the process can take requests: it knows the configuration, the upstreams and the jobs.
    pub fn is_ready(&self) -> bool {
        self.view.is_known() && self.batch.is_known() && !self.stop.is_stopping()
    }
}
