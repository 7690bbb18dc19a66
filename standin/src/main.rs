//! The `standin` command.

#[cfg(test)]
mod tests;

use std::future::Future;
use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct};
use standin::{
    account, demo, engine, entry, hosts, log, membership, permits, policy, relay, service, web,
    weights,
};
use tokio::signal::unix::{SignalKind, signal};

/// The command to run.
#[derive(Clone, Debug)]
enum Command {
    Demo,
    Permits,
    Log(log::Settings),
    Engine(engine::flags::Group),
    Service(service::Settings),
    Weights(weights::Settings),
    Hosts(hosts::Settings),
    Policy(policy::Options),
    Account(account::Options),
    Relay(relay::Settings),
    Entry(entry::Settings),
    Membership(membership::Settings),
}

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error(transparent)]
    Demo(#[from] demo::Error),
    #[error(transparent)]
    Permits(#[from] permits::Error),
    #[error(transparent)]
    Web(#[from] web::Error),
    #[error(transparent)]
    Policy(#[from] policy::Error),
    #[error(transparent)]
    Account(#[from] account::Error),
    #[error(transparent)]
    Relay(#[from] relay::Error),
    #[error(transparent)]
    Entry(#[from] entry::Error),
    #[error(transparent)]
    Membership(#[from] membership::Error),
    #[error("cannot write the report as JSON")]
    Json(#[from] serde_json::Error),
    #[error("cannot set up the runtime or a signal handler")]
    System(#[from] std::io::Error),
}

fn commands() -> OptionParser<Command> {
    let log = log::flags::parser()
        .map(Command::Log)
        .to_options()
        .descr("The platform's log service")
        .command("log");
    let engine = engine::flags::parser()
        .map(Command::Engine)
        .to_options()
        .descr("A model engine")
        .command("engine");
    let service = service::flags::parser().map(Command::Service).to_options();
    let service = service.descr("A plain service that counts executed calls").command("service");
    let weights = weights::flags::parser().map(Command::Weights).to_options();
    let weights = weights.descr("The rate-limited weight store").command("weights");
    let hosts = hosts::flags::parser()
        .map(Command::Hosts)
        .to_options()
        .descr("The list of hosts")
        .command("hosts");
    let permits = bpaf::pure(Command::Permits)
        .to_options()
        .descr("Measures the control bytes per request between entry hosts")
        .command("permits");
    let demo = bpaf::pure(Command::Demo)
        .to_options()
        .descr("Runs stand-ins, three entry hosts and one caller in this process")
        .command("demo");
    let policy = policy::options()
        .map(Command::Policy)
        .to_options()
        .descr("Replays traces with each policy and compares the results")
        .command("policy");
    let account = account::options()
        .map(Command::Account)
        .to_options()
        .descr(
            "Counts the requests that entry hosts did not serve in time, by cause, from their logs",
        )
        .command("account");
    let relay = relay::flags::parser().map(Command::Relay).to_options();
    let relay = relay
        .descr("The relay benchmark: streams of tokens with and without an entry host")
        .command("relay");
    let entry = entry::flags::parser().map(Command::Entry).to_options();
    let entry = entry
        .descr("The entry benchmark: cost of an entry host on the users' platform")
        .command("entry");
    let membership = membership::flags::parser().map(Command::Membership).to_options();
    let membership = membership
        .descr("The membership experiment: cost of control traffic and time for changes to spread")
        .command("membership");
    construct!([
        demo, account, permits, log, engine, service, weights, hosts, policy, relay, entry,
        membership
    ])
    .to_options()
    .descr("Stand-ins for the systems around nutmeghead; POST /control changes the faults of one")
}

/// Waits until a stand-in stops or a signal arrives.
async fn wait_for_stop(stopped: impl Future<Output = ()>) -> Result<(), Error> {
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        () = stopped => {}
        _ = terminate.recv() => {}
        interrupted = tokio::signal::ctrl_c() => interrupted?,
    }
    Ok(())
}

async fn run(command: Command) -> Result<(), Error> {
    match command {
        Command::Permits => {
            println!("{}", permits::run().await?);
            Ok(())
        }
        Command::Demo => Ok(demo::run().await?),
        Command::Policy(options) => {
            println!("{}", policy::run(&options)?);
            Ok(())
        }
        Command::Account(options) => {
            print!("{}", account::run(&options)?);
            Ok(())
        }
        Command::Log(settings) => {
            let server = log::Server::start(settings)?;
            println!("log listens on {}", server.address());
            wait_for_stop(server.stopped()).await
        }
        Command::Engine(group) => {
            let engines =
                group.expand().map(engine::Server::start).collect::<Result<Vec<_>, _>>()?;
            for engine in &engines {
                println!("engine listens on {}", engine.address());
            }
            let stopped = async {
                for engine in &engines {
                    engine.stopped().await;
                }
            };
            wait_for_stop(stopped).await
        }
        Command::Service(settings) => {
            let server = service::Server::start(settings)?;
            println!("service listens on {}", server.address());
            wait_for_stop(server.stopped()).await
        }
        Command::Weights(settings) => {
            let server = weights::Server::start(settings)?;
            println!("weights listens on {}", server.address());
            wait_for_stop(server.stopped()).await
        }
        Command::Hosts(settings) => {
            let server = hosts::Server::start(settings)?;
            println!("hosts listens on {}", server.address());
            wait_for_stop(server.stopped()).await
        }
        Command::Membership(settings) => {
            let report = membership::run(&settings).await?;
            if settings.json {
                println!("{}", serde_json::to_string_pretty(&report)?);
            } else {
                println!("{report}");
            }
            Ok(())
        }
        Command::Entry(settings) => {
            let report = entry::run(&settings).await?;
            if settings.json {
                println!("{}", serde_json::to_string_pretty(&report)?);
            } else {
                println!("{report}");
            }
            Ok(())
        }
        Command::Relay(settings) => {
            let report = relay::run(&settings).await?;
            if settings.json {
                println!("{}", serde_json::to_string_pretty(&report)?);
            } else {
                println!("{report}");
            }
            Ok(())
        }
    }
}

fn main() -> ExitCode {
    let command = commands().run();
    let result = tokio::runtime::Runtime::new()
        .map_err(Error::from)
        .and_then(|runtime| runtime.block_on(run(command)));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin: {error}");
            ExitCode::FAILURE
        }
    }
}
