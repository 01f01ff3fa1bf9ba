//! The whole path in one process, for development.
fn main() {}
