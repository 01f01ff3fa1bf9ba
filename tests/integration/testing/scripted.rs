//! Server whose answers are written out in the test.

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode, Uri};
use quetzalworks::{http, settings};

use crate::testing::{http as caller, isolation};

/// Status and body of an answer.
pub type Answer = (StatusCode, Vec<u8>);

struct Scripted<F>(F);

impl<F> http::Handler for Scripted<F>
where
    F: Fn(&Method, &Uri) -> Answer + Send + Sync + 'static,
{
    async fn handle(&self, req: Request<Incoming>) -> http::Reply {
        let (status, body) = (self.0)(req.method(), req.uri());
        http::full(status, "application/json", body)
    }
}

/// Starts a server that answers by the script.
pub async fn bind<F>(script: F) -> http::Server
where
    F: Fn(&Method, &Uri) -> Answer + Send + Sync + 'static,
{
    let limits = settings::Limits::default();
    let handler = Scripted(script).into();
    http::Server::bind(isolation::free_addr(), limits, &caller::traffic(), handler)
        .await
        .unwrap()
}
