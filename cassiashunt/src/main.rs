//! The cassiashunt command.

fn main() {}
