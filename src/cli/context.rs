//! What the commands share.

use std::env;
use std::fs;
use std::path::Path;

use serde_json::Value;

use crate::cli;
use crate::cli::flags;

/// Environment variable with the operators' token.
const TOKEN_VAR: &str = "QUETZALWORKS_TOKEN";
/// Environment variable with the address of an entry.
const SERVER_VAR: &str = "QUETZALWORKS_SERVER";
/// The demo's address.
const DEFAULT_SERVER: &str = "127.0.0.1:8080";

/// What the commands share.
#[derive(Debug)]
pub struct Context {
    /// The server.
    pub client: cli::Client,
    /// Whether JSON is printed.
    pub json: bool,
}

impl Context {
    /// From the command line and the environment.
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

    /// Prints JSON, or else the table.
    pub fn print(&self, value: &Value, table: impl FnOnce(&Value) -> cli::Table) {
        if self.json {
            println!("{value}");
        } else {
            print!("{}", table(value));
        }
    }

    /// Prints JSON on one line, or else the text.
    pub fn say(&self, value: &Value, text: &str) {
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
