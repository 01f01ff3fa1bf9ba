//! Explains a request from the logs of the processes.

use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::PathBuf;

use serde_json::{Map, Value};

use crate::cli;
use crate::cli::table;

/// Seconds before the end of a request whose other events are shown; most
/// deadlines are shorter.
const CONTEXT_S: f64 = 10.0;
/// Parts of the log that tell of the process and what it knows, and not of requests.
const STATE_PARTS: [&str; 5] = ["process", "store", "catalog", "rollout", "journal"];
/// Part of the log that tells of crashes, by the fingerprint of the request.
const SUSPECTS: &str = "suspects";
/// Members that each line has, or that have a column of their own.
const COMMON: [&str; 4] = ["ts", "level", "part", "msg"];

type Line = Map<String, Value>;

/// Shows the lines of the request `id` with the events before them.
pub fn run(id: &str, files: &[PathBuf], as_json: bool) -> Result<(), cli::Failure> {
    let mut lines = Vec::new();
    if files.is_empty() {
        read(io::stdin().lock(), &mut lines).map_err(cli::Failure::usage)?;
    }
    for path in files {
        let file = File::open(path)
            .and_then(|file| read(BufReader::new(file), &mut lines))
            .map_err(|err| cli::Failure::usage(format!("{}: {err}", path.display())));
        file?;
    }
    lines.sort_by(|a, b| time(a).total_cmp(&time(b)));
    let found = explain(id, &lines);
    if found.is_empty() {
        return Err(cli::Failure::Other(
            format!("no line of request {id}").into(),
        ));
    }
    if as_json {
        let found: Vec<Value> = found.into_iter().cloned().map(Value::Object).collect();
        println!("{}", Value::Array(found));
    } else {
        print!("{}", as_table(&found));
    }
    Ok(())
}

/// Lines may have a prefix, such as the name of the process, before the object.
fn read(source: impl BufRead, lines: &mut Vec<Line>) -> io::Result<()> {
    for line in source.lines() {
        let line = line?;
        let object = line.find('{').map(|start| &line[start..]);
        if let Some(Ok(line)) = object.map(serde_json::from_str) {
            lines.push(line);
        }
    }
    Ok(())
}

fn time(line: &Line) -> f64 {
    line.get("ts").and_then(Value::as_f64).unwrap_or_default()
}

fn text<'a>(line: &'a Line, member: &str) -> &'a str {
    line.get(member).and_then(Value::as_str).unwrap_or_default()
}

/// The request's lines, and before each what its process and the endpoints
/// that it used went through.
fn explain<'a>(id: &str, lines: &'a [Line]) -> Vec<&'a Line> {
    let own: Vec<&Line> = lines
        .iter()
        .filter(|line| text(line, "request") == id)
        .collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Vec::new();
    };
    let span = time(first) - CONTEXT_S..=time(last);
    let is_suspicion = |line: &Line| {
        let fingerprint = format!("fingerprint={}", text(line, "fingerprint"));
        text(line, "part") == SUSPECTS
            && time(line) <= time(last)
            && own.iter().any(|own| {
                let mut decided = text(own, "decided").split(' ');
                decided.any(|note| note == fingerprint)
            })
    };
    let concerns = |line: &Line| {
        let endpoint = text(line, "endpoint");
        STATE_PARTS.contains(&text(line, "part"))
            || (!endpoint.is_empty()
                && own
                    .iter()
                    .any(|own| text(own, "attempts").contains(endpoint)))
    };
    lines
        .iter()
        .filter(|line| {
            text(line, "request") == id
                || is_suspicion(line)
                || (span.contains(&time(line)) && concerns(line))
        })
        .collect()
}

fn as_table(lines: &[&Line]) -> cli::Table {
    let mut table = cli::Table::new(&["time", "part", "event", "details"]);
    for line in lines {
        let details: Vec<String> = line
            .iter()
            .filter(|(name, _)| !COMMON.contains(&name.as_str()))
            .map(|(name, value)| format!("{name}={}", table::cell(value)))
            .collect();
        table.row(vec![
            format!("{:.3}", time(line)),
            text(line, "part").to_owned(),
            text(line, "msg").to_owned(),
            details.join(" "),
        ]);
    }
    table
}
