//! Store whose listings are written out in the test.

use std::time::{Duration, Instant};

use hyper::body::Bytes;
use hyper::{Method, StatusCode, Uri};
use quetzalworks::platform::{StoreCall, StoreClient};
use quetzalworks::{direct, runtime};

use crate::testing::http;
use crate::testing::scripted::{self, Answer};

/// Topic that is listed.
pub const TOPIC: &str = "keyed.test";

/// Lists all records of a store that answers with the pages of `script`, by the key after which
/// a page begins. `None` if the listing fails, or does not end.
pub fn list<F>(script: F) -> Option<direct::Listing>
where
    F: Fn(Option<&[u8]>) -> Answer + Send + Sync + 'static,
{
    let script = move |method: &Method, uri: &Uri| {
        let call = StoreCall::decode(method, uri, &Bytes::new());
        let Some(StoreCall::Newest { after, .. }) = call else {
            return (StatusCode::NOT_FOUND, Vec::new());
        };
        script(after.as_deref())
    };
    smol::block_on(async {
        let server = scripted::bind(script).await;
        newest(&StoreClient::new(server.addr(), http::traffic())).await
    })
}

/// Lists all records of [`TOPIC`]; `None` if the listing fails, or does not end.
pub async fn newest(store: &StoreClient) -> Option<direct::Listing> {
    let deadline = Instant::now() + Duration::from_secs(10);
    let listing = direct::newest_records(store, TOPIC);
    runtime::timeout_at(deadline, listing).await?.ok()
}
