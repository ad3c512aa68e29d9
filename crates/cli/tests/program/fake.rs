//! A fake operator interface of a VM with canned responses, and a runner of the program under test.

use std::{
    collections, fs,
    io::{BufRead as _, BufReader, Read as _, Write as _},
    net,
    os::unix::fs::PermissionsExt as _,
    path, process, sync, thread,
};

/// The credential that the fake VM accepts.
pub const CREDENTIAL: &str = "sixteen-or-more-characters";

/// A request as the fake VM received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Method and path.
    pub line: String,
    pub body: String,
}

/// A fake VM with responses by `METHOD PATH`; an empty response closes the
/// connection without an answer.
pub struct Vm {
    pub address: net::SocketAddr,
    requests: sync::Arc<sync::Mutex<Vec<Request>>>,
}

impl Vm {
    pub fn new(answers: &[(&str, &str)]) -> Self {
        let owned = |(line, answer): &(&str, &str)| (line.to_string(), answer.to_string());
        let answers: collections::BTreeMap<_, _> = answers.iter().map(owned).collect();
        let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let requests = sync::Arc::new(sync::Mutex::new(Vec::new()));
        let log = sync::Arc::clone(&requests);
        thread::spawn(move || {
            for stream in listener.incoming() {
                serve(&stream.unwrap(), &answers, &log);
            }
        });
        Self { address, requests }
    }

    pub fn requests(&self) -> Vec<Request> {
        self.requests.lock().unwrap().clone()
    }
}

/// Serves one request and closes the connection.
fn serve(
    mut stream: &net::TcpStream,
    answers: &collections::BTreeMap<String, String>,
    log: &sync::Mutex<Vec<Request>>,
) {
    let mut reader = BufReader::new(stream);
    let mut head = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or(0) == 0 || line == "\r\n" {
            break;
        }
        head.push(line.trim_end().to_owned());
    }
    let Some(first) = head.first() else {
        return;
    };
    let line = first.trim_end_matches(" HTTP/1.1").to_owned();
    let field = |name: &str| {
        let value = |line: &String| {
            let (field, value) = line.split_once(": ")?;
            field.eq_ignore_ascii_case(name).then(|| value.to_owned())
        };
        head.iter().find_map(value)
    };
    let length = field("content-length").map_or(0, |length| length.parse().unwrap());
    let mut body = vec![0; length];
    reader.read_exact(&mut body).unwrap();
    let body = String::from_utf8(body).unwrap();
    log.lock().unwrap().push(Request { line: line.clone(), body });
    let allowed = field("authorization") == Some(format!("Bearer {CREDENTIAL}"));
    let refused = r#"{"refused":{"reason":"no such path"}}"#.to_owned();
    let (status, answer) = match answers.get(&line) {
        _ if !allowed => ("401 Unauthorized", String::new()),
        Some(answer) if answer.is_empty() => return,
        Some(answer) => ("200 OK", answer.clone()),
        None => ("404 Not Found", refused),
    };
    let length = answer.len();
    let response = format!(
        "HTTP/1.1 {status}\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{answer}"
    );
    stream.write_all(response.as_bytes()).unwrap();
}

/// Exit code and output of a run of the program.
#[derive(Debug)]
pub struct Run {
    pub code: i32,
    pub out: String,
    pub err: String,
}

/// Runs the program in `directory` with the credential in its environment.
pub fn run(directory: &path::Path, arguments: &[&str]) -> Run {
    let output =
        command(directory, arguments).env("PRIMROSEPLANK_CREDENTIAL", CREDENTIAL).output().unwrap();
    to_run(&output)
}

/// Runs the program without a credential.
pub fn run_without_credential(directory: &path::Path, arguments: &[&str]) -> Run {
    to_run(&command(directory, arguments).output().unwrap())
}

fn command(directory: &path::Path, arguments: &[&str]) -> process::Command {
    let mut command = process::Command::new(env!("CARGO_BIN_EXE_primroseplank"));
    command.args(arguments).current_dir(directory).env_clear();
    command
}

fn to_run(output: &process::Output) -> Run {
    Run {
        code: output.status.code().unwrap(),
        out: String::from_utf8(output.stdout.clone()).unwrap(),
        err: String::from_utf8(output.stderr.clone()).unwrap(),
    }
}

/// Mode bits of a file.
pub fn mode(file: &path::Path) -> u32 {
    fs::metadata(file).unwrap().permissions().mode() & 0o777
}

/// Sets the mode bits of a file.
pub fn set_mode(file: &path::Path, mode: u32) {
    fs::set_permissions(file, fs::Permissions::from_mode(mode)).unwrap();
}
