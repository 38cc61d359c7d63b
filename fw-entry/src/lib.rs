//! The entry: callers' HTTP, admission, keeper of programs, records in force.
