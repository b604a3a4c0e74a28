//! Stand-ins for the platform: log, engines, plain services, host list and weight store, with faults that can be switched on.
