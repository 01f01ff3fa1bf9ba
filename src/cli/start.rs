//! Entry point of the tool: parses the command line and runs the command.

use std::process::ExitCode;

use crate::cli;
use crate::cli::{change, explain_log, flags, local, show, target, watch};

/// Runs the command of the command line and returns its exit code.
#[must_use]
pub fn main() -> ExitCode {
    let flags = flags::Quetzalworks::from_env_or_exit();
    let json = flags.json;
    match smol::block_on(run(flags)) {
        Ok(()) => cli::Exit::Ok.into(),
        Err(err) => {
            if json {
                println!("{}", err.json());
            }
            eprintln!("quetzalworks: {err}");
            err.exit().into()
        }
    }
}

async fn run(flags: flags::Quetzalworks) -> Result<(), cli::Failure> {
    match &flags.subcommand {
        flags::QuetzalworksCmd::Check(check) => return local::check(&check.path, flags.json),
        flags::QuetzalworksCmd::Certs(certs) => return local::certs(certs, flags.json),
        flags::QuetzalworksCmd::ExplainLog(it) => {
            return explain_log::run(&it.id, &it.files, flags.json);
        }
        _ => {}
    }
    let cx = cli::Context::new(&flags)?;
    remote(&cx, flags.subcommand).await
}

async fn remote(cx: &cli::Context, command: flags::QuetzalworksCmd) -> Result<(), cli::Failure> {
    match command {
        flags::QuetzalworksCmd::Get(get) => show::get(cx, get).await,
        flags::QuetzalworksCmd::Put(put) => change::put(cx, put).await,
        flags::QuetzalworksCmd::Delete(delete) => change::delete(cx, delete).await,
        flags::QuetzalworksCmd::Out(out) => change::set_out(cx, out.place, &out.name, true).await,
        flags::QuetzalworksCmd::Back(back) => {
            change::set_out(cx, back.place, &back.name, false).await
        }
        flags::QuetzalworksCmd::Withdraw(it) => change::set_withdrawn(cx, &it.version, true).await,
        flags::QuetzalworksCmd::Publish(publish) => change::publish(cx, publish).await,
        flags::QuetzalworksCmd::Rollout(rollout) => match rollout.subcommand {
            flags::RolloutCmd::Start(start) => change::start_rollout(cx, start).await,
            flags::RolloutCmd::Pause(it) => change::set_paused(cx, &it.name, true).await,
            flags::RolloutCmd::Resume(it) => change::set_paused(cx, &it.name, false).await,
            flags::RolloutCmd::Stop(it) => change::stop_rollout(cx, &it.name).await,
        },
        flags::QuetzalworksCmd::Status(_) => show::status(cx).await,
        flags::QuetzalworksCmd::Explain(explain) => show::explain(cx, explain.id).await,
        flags::QuetzalworksCmd::Watch(it) => match it.what {
            target::WatchTarget::Rollout => watch::rollout(cx, &it.name).await,
            target::WatchTarget::Domain => watch::domain(cx, &it.name).await,
        },
        flags::QuetzalworksCmd::Check(_)
        | flags::QuetzalworksCmd::Certs(_)
        | flags::QuetzalworksCmd::ExplainLog(_) => Ok(()),
    }
}
