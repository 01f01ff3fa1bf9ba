//! Feed of the `config` stream of the log.

use crate::catalog;
use crate::control;
use crate::feed;
use crate::ids;
use crate::platform;

impl feed::RecordContent for catalog::Body {
    const STREAM: platform::Stream = platform::Stream::Config;
    const LOG_PREFIX: &'static str = "catalog";
    type Record = catalog::Record;

    fn record(offset: ids::Offset, body: Option<Self>) -> catalog::Record {
        catalog::Record { offset, body }
    }
}

/// Reads the `config` stream indefinitely and sends its pages to the control thread.
pub async fn follow_config(log: platform::LogClient, control: control::Control) {
    let ready = |snapshot: &control::Snapshot| snapshot.phase != control::Phase::Starting;
    feed::follow::<catalog::Body>(log, control, control::Event::ConfigPage, ready).await;
}
