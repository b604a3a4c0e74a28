//! Reads a process's settings from JSON with comments and reports all findings together, each with its place.
