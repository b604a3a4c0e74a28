//! Moves frames between processes: UDP datagrams and TCP requests, each with a keyed MAC.
