//! Sessions: state that the caller carries, so that it survives any VM.

mod key;
mod moved;
mod token;

pub use key::{InvalidKey, SessionKey};
pub use moved::Moved;
pub use token::{InvalidToken, Token};
