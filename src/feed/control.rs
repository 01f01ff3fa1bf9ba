//! Feed of the `control` stream of the log.

use crate::control;
use crate::feed;
use crate::ids;
use crate::ledger;
use crate::platform;

impl feed::RecordContent for ledger::Message {
    const STREAM: platform::Stream = platform::Stream::Control;
    const LOG_PREFIX: &'static str = "control";
    type Record = ledger::Record;

    fn record(offset: ids::Offset, entry: Option<Self>) -> ledger::Record {
        ledger::Record { offset, entry }
    }
}

/// Reads the `control` stream indefinitely and sends its pages to the control thread.
pub async fn follow_control(log: platform::LogClient, control: control::Control) {
    let ready = |snapshot: &control::Snapshot| snapshot.control_ready;
    feed::follow::<ledger::Message>(log, control, control::Event::ControlPage, ready).await;
}
