//! Tests of the messages and of the buffer that serves long polls.

mod buffer_reads;
mod message_forms;
