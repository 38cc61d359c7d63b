//! Tests of messages and of the buffer behind long polls.

mod buffer_reads;
mod message_forms;
