//! Tests of `fw-http`.

mod whole_bodies;
