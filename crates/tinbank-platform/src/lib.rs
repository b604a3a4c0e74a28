//! Adapters that reach the platform's log, host list, weight store and upstreams over HTTP.
