//! `primroseplank`: the operators' command line.

use std::{io::Write as _, process};

use clap::Parser as _;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

#[tokio::main(flavor = "current_thread")]
async fn main() -> process::ExitCode {
    let done = cli::run(cli::args::Line::parse()).await;
    let done = done.unwrap_or_else(|error| {
        eprintln!("primroseplank: {error}");
        cli::Outcome::new(error.kind().exit(), String::new())
    });
    // Whoever reads the output may have gone already.
    let written = std::io::stdout().write_all(done.text.as_bytes());
    match written {
        Ok(()) => done.exit.into(),
        Err(_) => cli::Exit::Unknown.into(),
    }
}
