//! Commands that run without a server.

use std::fs;
use std::path::Path;

use serde_json::json;

use crate::cli;
use crate::cli::flags;
use crate::platform;
use crate::settings;
use crate::standin;

/// File name extension of settings files in the platform's format.
const PLATFORM_FORMAT: &str = "toml";

/// Checks a settings file: with the extension `toml` one in the platform's
/// format, otherwise one of the daemon. Fails where it is invalid.
pub fn check(path: &Path, as_json: bool) -> Result<(), cli::Failure> {
    let unusable = |err| cli::Failure::usage(format!("{}: {err}", path.display()));
    let is_platform = path.extension().is_some_and(|kind| kind == PLATFORM_FORMAT);
    let (role, vm) = if is_platform {
        let settings = platform::direct_settings::load(path).map_err(unusable)?;
        ("direct entry".to_owned(), settings.vm)
    } else {
        let settings = settings::load(path).map_err(unusable)?;
        (settings.role.to_string(), settings.vm)
    };
    if as_json {
        println!("{}", json!({ "valid": true, "vm": vm }));
    } else {
        println!("{}: valid settings of {role} {vm}", path.display());
    }
    Ok(())
}

/// Creates a certificate for each VM, signed by a new authority whose key is not stored.
pub fn certs(flags: &flags::Certs, as_json: bool) -> Result<(), cli::Failure> {
    if flags.vms.is_empty() {
        return Err(cli::Failure::usage("needs the name of at least one VM"));
    }
    let failed = |err: &dyn std::fmt::Display| cli::Failure::Other(err.to_string().into());
    fs::create_dir_all(&flags.dir).map_err(|err| failed(&err))?;
    let authority = standin::Authority::generate().map_err(|err| failed(&err))?;
    for vm in &flags.vms {
        let files = authority
            .issue(vm, &flags.dir)
            .map_err(|err| failed(&err))?;
        if as_json {
            println!("{}", json!({ "vm": vm, "tls": files }));
        } else {
            println!(
                "{vm}: {}, {}",
                files.cert_file.display(),
                files.key_file.display()
            );
        }
    }
    Ok(())
}
