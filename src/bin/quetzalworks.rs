//! The command-line tool for operators.
fn main() {}
