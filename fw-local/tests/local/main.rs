//! The whole path, across entries, sides and stand-ins, over real sockets.

mod chat_calls;
mod rig;
