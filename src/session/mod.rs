//! Sessions. Their state is carried by the caller in a token, so that it survives the
//! loss of any VM.

mod key;
mod moved;
mod token;

pub use key::{InvalidKey, SessionKey};
pub use moved::Moved;
pub use token::{InvalidToken, Token};
