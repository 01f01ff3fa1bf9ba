//! Room that is short: whether a request is sent now, waits for a place or is refused, and
//! when a refused caller should return. Independent of any message encoding.

mod line;
mod opening;
mod outlook;
mod return_times;
mod service_room;
mod supply;
mod ticket;
mod turned_away;
mod work_times;

pub use line::{Claim, Line, WaiterKey};
pub use opening::Opening;
pub use outlook::Outlook;
pub use return_times::ReturnTimes;
pub use service_room::{Ask, ServiceRoom, Turn, Verdict, WaitEnd};
pub use supply::{Place, Supply};
pub use ticket::{Called, Ticket, Waiting};
pub use turned_away::TurnedAway;
pub use work_times::{WorkTimes, expected_wait};
