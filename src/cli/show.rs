//! Commands that read from the server and show the result.

use serde_json::Value;

use crate::catalog;
use crate::cli;
use crate::cli::{flags, table};
use crate::ids;

/// Shows one object with its revision, or lists all objects of a kind.
pub async fn get(cx: &cli::Context, flags: flags::Get) -> Result<(), cli::Failure> {
    let Some(name) = flags.name else {
        let list = cx.client.read(flags.kind).await?;
        cx.print(&list, |list| {
            cli::Table::of_members(&list["items"], &["name", "revision", "object"])
        });
        return Ok(());
    };
    let id = catalog::ObjectId::new(flags.kind, name.to_string());
    let (revision, object) = require_object(cx, &id).await?;
    let with_revision = serde_json::json!({ "revision": revision, "object": object });
    cx.print(&with_revision, |value| {
        let mut table = cli::Table::of_object(&value["object"]);
        table.add_row(vec!["(revision)".into(), revision.to_string()]);
        table
    });
    Ok(())
}

/// Reads an object with its revision. Fails where it does not exist.
pub async fn require_object(
    cx: &cli::Context,
    id: &catalog::ObjectId,
) -> Result<(ids::Revision, Value), cli::Failure> {
    let object = cx.client.object(id).await?;
    object.ok_or_else(|| cli::Failure::Other(format!("no object {id}").into()))
}

/// Shows the state of the system as the entry that answers sees it.
pub async fn status(cx: &cli::Context) -> Result<(), cli::Failure> {
    let status = cx.client.read("status").await?;
    if cx.json {
        println!("{status}");
        return Ok(());
    }
    let mut summary = cli::Table::new(&["field", "value"]);
    for field in ["vm", "phase", "config", "log_available", "self_out"] {
        summary.add_row(vec![field.into(), table::cell(&status[field])]);
    }
    let endpoints = cli::Table::of_members(
        &status["endpoints"],
        &[
            "vm",
            "domain",
            "versions",
            "service",
            "warmth",
            "running",
            "queued",
            "limit",
            "accepting",
            "config",
        ],
    );
    let entries = cli::Table::of_members(
        &status["entries"],
        &[
            "vm",
            "domain",
            "connected",
            "config",
            "endpoints",
            "endpoints_config",
        ],
    );
    let rollouts = cli::Table::of_members(
        &status["rollouts"],
        &["name", "profile", "version", "state", "share"],
    );
    println!("{summary}\nEndpoints\n{endpoints}\nEntries\n{entries}\nRoll-outs\n{rollouts}");
    Ok(())
}

/// Shows the usage record of a request.
pub async fn explain(cx: &cli::Context, id: ids::RequestId) -> Result<(), cli::Failure> {
    let record = cx.client.read(format!("explain/{id}")).await?;
    if cx.json {
        println!("{record}");
        return Ok(());
    }
    let mut summary = record.clone();
    let attempts = summary["attempts"].take();
    println!("{}", cli::Table::of_object(&summary));
    let table = cli::Table::of_members(
        &attempts,
        &[
            "number", "vm", "domain", "version", "reason", "config", "result", "message",
        ],
    );
    print!("{table}");
    Ok(())
}
