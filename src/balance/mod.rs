//! Load balancing: endpoint selection by load, failures and cold start, and the
//! limit on retries. Independent of any message encoding.

mod cached_parts;
mod choose;
mod endpoint_speed;
mod fleet_share;
mod forecast;
mod held_leases;
mod live;
mod pace;
mod pressure;
mod prompt;
mod reading_speed;
mod retry_window;
mod work_time;
mod writing_speed;

pub use cached_parts::CachedParts;
pub use choose::{Choice, ChoiceReason, Query, VersionFilter, choose};
pub use endpoint_speed::EndpointSpeed;
pub use fleet_share::{AnyFleetShare, Assigned, FleetShare, LEASE_DURATION, Unassigned};
pub use forecast::{EngineWork, Forecast, PlainWork, writing_factor};
pub use held_leases::HeldLeases;
pub use live::{Failure, Figures, Live, Permit, ReportedLoad, SilenceAction};
pub use pace::{
    Admission, Answer, AnyPace, Bounds, Cause, Change, Hold, Limit, MAX_PAUSE, Observed, Pacer,
    SharedRates, Stage, Trouble, Wish, usual_wait,
};
pub use pressure::Pressure;
pub use prompt::{Prompt, PromptPart, Reading};
pub use reading_speed::ReadingSpeed;
pub use retry_window::RetryWindow;
pub use work_time::{InvalidWorkTime, WorkTime};
pub use writing_speed::{EventGap, WritingSpeed};
