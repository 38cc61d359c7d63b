//! Placeholder until the command line lands.

fn main() {}
