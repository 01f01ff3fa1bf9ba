//! Refusals and the numbered result codes that callers receive.

mod refusal;
mod result_code;

pub use refusal::Refusal;
pub use result_code::ResultCode;
