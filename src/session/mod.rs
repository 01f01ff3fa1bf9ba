//! Sessions. Their state is carried by the caller in a token, so that it survives the
//! loss of any VM.

mod key;
mod move_reason;
mod token;

pub use key::{InvalidKey, SessionKey};
pub use move_reason::MoveReason;
pub use token::{InvalidToken, Token};
