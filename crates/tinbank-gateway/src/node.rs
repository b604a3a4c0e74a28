//! The state that all duties of the process share.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Duration,
};

use tinbank_relay::{patience::Patience, route::Route};

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
    /// How long callers wait, by the names of routes.
    patience: RefCell<HashMap<String, Patience>>,
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
            patience: RefCell::default(),
        }
    }

    /// The next number of a sequence that draws services by their weights evenly.
    pub fn draw(&self) -> u64 {
        let next = self.draws.get().wrapping_add(1);
        self.draws.set(next);
        next
    }

    /// True if a request with so much time left is likely its caller's first try.
    pub fn is_first_try(&self, route: &Route, time_left: Duration) -> bool {
        let mut patience = self.patience.borrow_mut();
        if let Some(of_route) = patience.get_mut(&route.name) {
            return of_route.is_first(time_left, route.timeout);
        }
        let of_route = patience.entry(route.name.clone()).or_default();
        of_route.is_first(time_left, route.timeout)
    }

    /// True if the process can take requests: it knows the configuration, the upstreams and the jobs.
    pub fn is_ready(&self) -> bool {
        self.view.is_known() && self.batch.is_known() && !self.stop.is_stopping()
    }
}
