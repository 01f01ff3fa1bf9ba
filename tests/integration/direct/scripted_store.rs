//! Store whose listings are written out in the test.

use std::time::{Duration, Instant};

use hyper::body::{Bytes, Incoming};
use hyper::{Request, StatusCode};
use quetzalworks::platform::{StoreCall, StoreClient};
use quetzalworks::{direct, http, runtime, settings};

use crate::testing::{http as caller, isolation};

/// Topic that is listed.
pub const TOPIC: &str = "keyed.test";

struct Scripted<F>(F);

impl<F> http::Handler for Scripted<F>
where
    F: Fn(Option<&[u8]>) -> Page + Send + Sync + 'static,
{
    async fn handle(&self, req: Request<Incoming>) -> http::Reply {
        let call = StoreCall::decode(req.method(), req.uri(), &Bytes::new());
        let Some(StoreCall::Newest { after, .. }) = call else {
            return http::not_found();
        };
        let (status, body) = (self.0)(after.as_deref());
        http::full(status, "application/json", body)
    }
}

/// Status and body of a page.
pub type Page = (StatusCode, Vec<u8>);

/// Lists all records of a store that answers with the pages of `script`, by the key after which
/// a page begins. `None` if the listing fails, or does not end.
pub fn list<F>(script: F) -> Option<direct::Listing>
where
    F: Fn(Option<&[u8]>) -> Page + Send + Sync + 'static,
{
    smol::block_on(async {
        let traffic = caller::traffic();
        let limits = settings::Limits::default();
        let handler = Scripted(script).into();
        let server = http::Server::bind(isolation::free_addr(), limits, &traffic, handler).await;
        let server = server.unwrap();
        newest(&StoreClient::new(server.addr(), traffic)).await
    })
}

/// Lists all records of [`TOPIC`]; `None` if the listing fails, or does not end.
pub async fn newest(store: &StoreClient) -> Option<direct::Listing> {
    let deadline = Instant::now() + Duration::from_secs(10);
    let listing = direct::newest_records(store, TOPIC);
    runtime::timeout_at(deadline, listing).await?.ok()
}
