//! Operators' actions on a cluster, and the configuration its processes have applied.

use hyper::Method;
use quetzalworks::standin::{Faults, TcpProxy, UdpProxy};
use serde_json::{Value, json};

use crate::testing::cluster::{Cluster, Node};
use crate::testing::http::{self, Answer};
use crate::testing::wait;

/// Reads an object and its revision through an entry; `None` if it does not
/// exist or the entry does not answer.
pub fn get(cluster: &Cluster, entry: usize, id: &str) -> Option<(u64, Value)> {
    let path = format!("/admin/v1/{id}");
    let answer = http::try_get(cluster.entry_addr(entry), &path, &cluster.operator_token).ok()?;
    let revision = answer.header("etag")?.trim_matches('"').parse().ok()?;
    (answer.status == 200).then(|| (revision, answer.json()))
}

/// Writes an object through an entry on a base revision, where 0 creates it;
/// `None` if the entry does not answer.
pub fn put(
    cluster: &Cluster,
    entry: usize,
    id: &str,
    base: u64,
    content: &Value,
) -> Option<Answer> {
    let bearer = format!("Bearer {}", cluster.operator_token);
    let quoted = format!("\"{base}\"");
    let condition = if base == 0 {
        ("if-none-match", "*")
    } else {
        ("if-match", quoted.as_str())
    };
    http::send(
        cluster.entry_addr(entry),
        &Method::PUT,
        &format!("/admin/v1/{id}"),
        &[("authorization", bearer.as_str()), condition],
        content.to_string().as_bytes(),
    )
    .ok()
}

/// Changes members of an object and returns the offset of the accepted record;
/// panics on a refusal. An entry that has not applied the last change yet returns
/// an old revision, which leads to a conflict; the change is retried then.
pub fn change(cluster: &Cluster, entry: usize, id: &str, members: &Value) -> u64 {
    let mut accepted = None;
    wait::until("the configuration change is accepted", || {
        let (base, mut content) = get(cluster, entry, id).unwrap_or((0, json!({})));
        crate::testing::spec::merge(&mut content, members);
        let answer = put(cluster, entry, id, base, &content).unwrap();
        let is_conflict = answer.json()["error"]["number"] == 3002;
        assert!(
            is_conflict || answer.status < 300,
            "{id}: {}",
            answer.text()
        );
        accepted = answer
            .header("etag")
            .filter(|_| !is_conflict)
            .and_then(|etag| etag.trim_matches('"').parse::<u64>().ok());
        accepted.is_some()
    });
    accepted.unwrap() - 1
}

/// Returns the offset of the last configuration record that a process has
/// applied, from its metrics; `None` if it does not answer.
pub fn config_offset(node: &Node) -> Option<u64> {
    let answer = http::try_get(node.operations_addr, "/metrics", "").ok()?;
    let text = answer.text();
    let line = text
        .lines()
        .find(|line| line.starts_with("quetzalworks_config_offset"))?;
    line.rsplit(' ').next()?.parse().ok()
}

/// Returns whether all of these processes have applied the record at `offset`.
pub fn all_applied<'a>(nodes: impl IntoIterator<Item = &'a Node>, offset: u64) -> bool {
    nodes
        .into_iter()
        .all(|node| config_offset(node) >= Some(offset))
}

/// Returns the system's status as reported by an entry; `null` if it does not answer.
pub fn status(cluster: &Cluster, entry: usize) -> Value {
    let addr = cluster.entry_addr(entry);
    http::try_get(addr, "/admin/v1/status", &cluster.operator_token)
        .map(|answer| answer.json())
        .unwrap_or_default()
}

/// Returns the state of the first rollout in an entry's status, empty if there is none.
pub fn rollout_state(cluster: &Cluster, entry: usize) -> String {
    let state = &status(cluster, entry)["rollouts"][0]["state"];
    state.as_str().unwrap_or_default().to_owned()
}

/// Waits until an entry reports the first rollout in this state.
pub fn wait_rollout(cluster: &Cluster, entry: usize, state: &str) {
    wait::until(state, || rollout_state(cluster, entry) == state);
}

/// Cuts or restores the links between these processes and the log.
pub fn set_log_cut<'a>(nodes: impl IntoIterator<Item = &'a Node>, cut: bool) {
    nodes
        .into_iter()
        .filter_map(|node| node.log_proxy.as_ref())
        .for_each(|proxy: &TcpProxy| proxy.set(faults(cut)));
}

/// Cuts or restores the links between the entries and these processes.
pub fn set_peers_cut<'a>(nodes: impl IntoIterator<Item = &'a Node>, cut: bool) {
    nodes
        .into_iter()
        .filter_map(|node| node.peer_proxy.as_ref())
        .for_each(|proxy: &UdpProxy| proxy.set(faults(cut)));
}

fn faults(cut: bool) -> Faults {
    if cut {
        Faults::cut()
    } else {
        Faults::default()
    }
}
