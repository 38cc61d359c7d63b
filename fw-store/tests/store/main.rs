//! Tests of the store client.

mod bad_answers;
