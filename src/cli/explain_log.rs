//! Command that explains a request from the logs of the processes.

use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::PathBuf;

use serde_json::{Map, Value};

use crate::cli;
use crate::cli::table;

/// Seconds before the first line of a request from which other events are shown.
/// A request is logged at its end, and most deadlines are shorter.
const CONTEXT_S: f64 = 10.0;
/// Parts of the log about the state of the process, not about requests.
const STATE_PARTS: [&str; 5] = ["process", "store", "catalog", "rollout", "journal"];
/// Part of the log about crashes, by the fingerprint of the request.
const SUSPECTS_PART: &str = "suspects";
/// Members that have a column of their own or, like the level, are not shown.
const OMITTED_MEMBERS: [&str; 4] = ["ts", "level", "part", "msg"];

type Line = Map<String, Value>;

/// Shows the lines of the request `id` with the events around it. Reads standard
/// input where there are no files; fails where no line belongs to the request.
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
    let found = select_lines(id, &lines);
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

/// Reads the log lines of a source and ignores other lines. A line may have a
/// prefix, such as the name of the process, before its JSON object.
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

/// Selects the lines of the request, the crash events of its fingerprint up to its
/// end, and the lines from shortly before it up to its end about the state of
/// processes or about endpoints that it used.
fn select_lines<'a>(id: &str, lines: &'a [Line]) -> Vec<&'a Line> {
    let request_lines: Vec<&Line> = lines
        .iter()
        .filter(|line| text(line, "request") == id)
        .collect();
    let (Some(first), Some(last)) = (request_lines.first(), request_lines.last()) else {
        return Vec::new();
    };
    let span = time(first) - CONTEXT_S..=time(last);
    let concerns_fingerprint = |line: &Line| {
        let fingerprint = format!("fingerprint={}", text(line, "fingerprint"));
        text(line, "part") == SUSPECTS_PART
            && time(line) <= time(last)
            && request_lines.iter().any(|request_line| {
                let mut decided = text(request_line, "decided").split(' ');
                decided.any(|note| note == fingerprint)
            })
    };
    let is_context = |line: &Line| {
        let endpoint = text(line, "endpoint");
        STATE_PARTS.contains(&text(line, "part"))
            || (!endpoint.is_empty()
                && request_lines
                    .iter()
                    .any(|request_line| text(request_line, "attempts").contains(endpoint)))
    };
    lines
        .iter()
        .filter(|line| {
            text(line, "request") == id
                || concerns_fingerprint(line)
                || (span.contains(&time(line)) && is_context(line))
        })
        .collect()
}

fn as_table(lines: &[&Line]) -> cli::Table {
    let mut table = cli::Table::new(&["time", "part", "event", "details"]);
    for line in lines {
        let details: Vec<String> = line
            .iter()
            .filter(|(name, _)| !OMITTED_MEMBERS.contains(&name.as_str()))
            .map(|(name, value)| format!("{name}={}", table::cell(value)))
            .collect();
        table.add_row(vec![
            format!("{:.3}", time(line)),
            text(line, "part").to_owned(),
            text(line, "msg").to_owned(),
            details.join(" "),
        ]);
    }
    table
}
