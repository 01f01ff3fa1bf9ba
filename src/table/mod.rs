//! Tables of entities: rows under typed keys, with an index by name.

mod named;

pub use named::Table;
