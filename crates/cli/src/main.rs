//! `primroseplank`: the operators' command line.

use std::{io::Write as _, process};

use clap::Parser as _;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

#[tokio::main(flavor = "current_thread")]
async fn main() -> process::ExitCode {
    let result = cli::run(cli::args::Line::parse()).await;
    let outcome = result.unwrap_or_else(|error| {
        eprintln!("primroseplank: {error}");
        cli::Outcome::new(error.kind().exit(), String::new())
    });
    // The reader may have closed the pipe; println! would panic then.
    let written = std::io::stdout().write_all(outcome.text.as_bytes());
    match written {
        Ok(()) => outcome.exit.into(),
        Err(_) => cli::Exit::Unknown.into(),
    }
}
