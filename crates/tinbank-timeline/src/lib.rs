//! The time line: typed events in a bounded ring, merged over all processes into one causal order and drawn as text, JSON or a page.
