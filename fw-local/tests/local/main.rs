//! End-to-end tests across entries, sides and stand-ins over real sockets.

mod chat_calls;
mod crashed_parts;
mod graceful_stops;
mod plain_calls;
mod record_changes;
mod rig;
mod store_outages;
