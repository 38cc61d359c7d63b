//! Small stand-ins of the platform and of upstreams, with faults to inject.
