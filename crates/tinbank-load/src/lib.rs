//! Load and measurement: compares arms under load and faults, and measures slopes.
