//! Connection and output settings that the commands share.

use std::env;
use std::fs;
use std::path::Path;

use serde_json::Value;

use crate::cli;
use crate::cli::flags;

/// Environment variable that holds the operators' token.
const TOKEN_VAR: &str = "QUETZALWORKS_TOKEN";
/// Environment variable that holds the address of an entry (`host:port`).
const SERVER_VAR: &str = "QUETZALWORKS_SERVER";
/// Address of an entry where none is given: that of the demo.
const DEFAULT_SERVER: &str = "127.0.0.1:8080";

/// Connection and output settings that the commands share.
#[derive(Debug)]
pub struct Context {
    /// Client of the operators' API.
    pub client: cli::Client,
    /// Whether the output is JSON instead of tables and text.
    pub json: bool,
}

impl Context {
    /// Creates the context from the command line, else from the environment.
    /// Fails where there is no token or the address cannot be resolved.
    pub fn new(flags: &flags::Quetzalworks) -> Result<Self, cli::Failure> {
        let server = flags
            .server
            .clone()
            .or_else(|| env::var(SERVER_VAR).ok())
            .unwrap_or_else(|| DEFAULT_SERVER.into());
        let author = flags
            .author
            .clone()
            .or_else(|| env::var("USER").ok())
            .unwrap_or_else(|| "operator".into());
        let token = token(flags.token_file.as_deref())?;
        Ok(Self {
            client: cli::Client::new(&server, token.trim(), &author)?,
            json: flags.json,
        })
    }

    /// Prints the value as JSON or as the table that `table` builds from it.
    pub fn print(&self, value: &Value, table: impl FnOnce(&Value) -> cli::Table) {
        if self.json {
            println!("{value}");
        } else {
            print!("{}", table(value));
        }
    }

    /// Prints one line: the value as JSON, or the text.
    pub fn print_line(&self, value: &Value, text: &str) {
        if self.json {
            println!("{value}");
        } else {
            println!("{text}");
        }
    }
}

fn token(file: Option<&Path>) -> Result<String, cli::Failure> {
    match file {
        Some(path) => fs::read_to_string(path)
            .map_err(|err| cli::Failure::usage(format!("{}: {err}", path.display()))),
        None => env::var(TOKEN_VAR)
            .map_err(|_| cli::Failure::usage(format!("needs --token-file or ${TOKEN_VAR}"))),
    }
}
