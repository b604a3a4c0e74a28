//! The measured series, and what follows from them at a size.

use std::{cell::RefCell, collections::BTreeSet};

use crate::slopes::Series;

/// Why figures can't be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// They are not what `tinbank-load slopes --json` writes.
    #[error("the figures can't be read: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// The figures of one run of `tinbank-load slopes --json`. Remembers which series were used.
#[derive(Debug)]
pub struct Figures {
    series: Vec<Series>,
    used: RefCell<BTreeSet<String>>,
    missing: RefCell<BTreeSet<String>>,
}

impl Figures {
    /// Reads what `tinbank-load slopes --json` wrote.
    ///
    /// # Errors
    /// It is not JSON of that form.
    pub fn parse(json: &str) -> Result<Self, Error> {
        Ok(Self {
            series: serde_json::from_str(json)?,
            used: RefCell::default(),
            missing: RefCell::default(),
        })
    }

    /// All series.
    pub fn series(&self) -> &[Series] {
        &self.series
    }

    /// The cost at a size: what was measured there, or else the line through the points.
    pub fn at(&self, name: &str, size: f64) -> f64 {
        self.find(name).map_or(f64::NAN, |series| {
            let measured = series.points.iter().find(|point| point.x == size);
            measured.map_or_else(
                || (series.fit.intercept + series.fit.slope * size).max(0.0),
                |point| point.y,
            )
        })
    }

    /// The cost of one more.
    pub fn slope(&self, name: &str) -> f64 {
        self.find(name).map_or(f64::NAN, |series| series.fit.slope)
    }

    /// Names of the series that were used, in order; for the page and its test.
    pub fn used(&self) -> Vec<String> {
        self.used.borrow().iter().cloned().collect()
    }

    /// Names that were asked for and are not there.
    pub fn missing(&self) -> Vec<String> {
        self.missing.borrow().iter().cloned().collect()
    }

    fn find(&self, name: &str) -> Option<&Series> {
        let found = self.series.iter().find(|series| series.name == name);
        let names = if found.is_some() {
            &self.used
        } else {
            &self.missing
        };
        names.borrow_mut().insert(name.to_owned());
        found
    }
}
