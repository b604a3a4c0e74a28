//! Runs a whole deployment in one process: entry hosts on 127.0.0.x, stand-ins, a sweep and online traffic.
