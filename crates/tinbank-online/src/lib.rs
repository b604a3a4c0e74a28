//! Serves callers' online requests: chat completions and calls of plain services.
