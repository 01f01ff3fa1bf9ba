//! Tables of entities: rows with typed keys and an index by name.

mod named;

pub use named::Table;
