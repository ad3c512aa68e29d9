//! Stand-ins for the scripts of this review: the platform's store, plain targets, and the start
//! of a VM. Std only, so that `rustc` alone builds them.

use std::{
    collections::BTreeMap,
    env, fs,
    io::{self, BufReader, Write as _},
    net::{SocketAddrV4, TcpListener, TcpStream},
    os::fd::FromRawFd as _,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// A JSON value.
#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = Self::value(bytes, &mut at)?;
        Some(value)
    }

    fn space(bytes: &[u8], at: &mut usize) {
        while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
            *at += 1;
        }
    }

    fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
        Self::space(bytes, at);
        match bytes.get(*at)? {
            b'{' => {
                *at += 1;
                let mut fields = BTreeMap::new();
                loop {
                    Self::space(bytes, at);
                    if bytes.get(*at)? == &b'}' {
                        *at += 1;
                        return Some(Json::Object(fields));
                    }
                    if bytes.get(*at)? == &b',' {
                        *at += 1;
                        continue;
                    }
                    let name = Self::text(bytes, at)?;
                    Self::space(bytes, at);
                    if bytes.get(*at)? != &b':' {
                        return None;
                    }
                    *at += 1;
                    fields.insert(name, Self::value(bytes, at)?);
                }
            }
            b'[' => {
                *at += 1;
                let mut items = Vec::new();
                loop {
                    Self::space(bytes, at);
                    match bytes.get(*at)? {
                        b']' => {
                            *at += 1;
                            return Some(Json::List(items));
                        }
                        b',' => *at += 1,
                        _ => items.push(Self::value(bytes, at)?),
                    }
                }
            }
            b'"' => Self::text(bytes, at).map(Json::Text),
            b't' => {
                *at += 4;
                Some(Json::Bool(true))
            }
            b'f' => {
                *at += 5;
                Some(Json::Bool(false))
            }
            b'n' => {
                *at += 4;
                Some(Json::Null)
            }
            _ => {
                let start = *at;
                while bytes.get(*at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
                    *at += 1;
                }
                std::str::from_utf8(&bytes[start..*at]).ok()?.parse().ok().map(Json::Number)
            }
        }
    }

    fn text(bytes: &[u8], at: &mut usize) -> Option<String> {
        if bytes.get(*at)? != &b'"' {
            return None;
        }
        *at += 1;
        let mut out = Vec::new();
        loop {
            match bytes.get(*at)? {
                b'"' => {
                    *at += 1;
                    return String::from_utf8(out).ok();
                }
                b'\\' => {
                    *at += 1;
                    match bytes.get(*at)? {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'u' => {
                            let code = std::str::from_utf8(bytes.get(*at + 1..*at + 5)?).ok()?;
                            let code = u32::from_str_radix(code, 16).ok()?;
                            let mut buffer = [0; 4];
                            let text = char::from_u32(code)?.encode_utf8(&mut buffer);
                            out.extend_from_slice(text.as_bytes());
                            *at += 4;
                        }
                        other => out.push(*other),
                    }
                    *at += 1;
                }
                other => {
                    out.push(*other);
                    *at += 1;
                }
            }
        }
    }

    pub fn get(&self, field: &str) -> &Json {
        match self {
            Json::Object(fields) => fields.get(field).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn as_text(&self) -> &str {
        if let Json::Text(text) = self { text } else { "" }
    }

    pub fn as_u64(&self) -> u64 {
        if let Json::Number(number) = self { *number as u64 } else { 0 }
    }

    pub fn items(&self) -> &[Json] {
        if let Json::List(items) = self { items } else { &[] }
    }
}

/// Encodes bytes as base64, as the store's rows have it.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = u32::from(chunk[0]) << 16
            | u32::from(*chunk.get(1).unwrap_or(&0)) << 8
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for place in 0..4 {
            let digit = word >> (18 - 6 * place) & 63;
            out.push(if place <= chunk.len() { DIGITS[digit as usize] as char } else { '=' });
        }
    }
    out
}

/// A request or a response: its first line, headers in lower case, and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads a first line and headers; `None` at the end of the connection.
pub fn read_head(reader: &mut impl io::BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if message.line.is_empty() {
            message.line = line.to_owned();
        } else if line.is_empty() {
            return Ok(Some(message));
        } else if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a message whose body has a length or chunks.
pub fn read_message(reader: &mut impl io::BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    read_body(reader, &mut message)?;
    Ok(Some(message))
}

/// Reads the body of a message whose head has been read.
pub fn read_body(reader: &mut impl io::BufRead, message: &mut Message) -> io::Result<()> {
    if message.header("transfer-encoding").contains("chunked") {
        loop {
            let mut size = String::new();
            reader.read_line(&mut size)?;
            let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            chunk.truncate(size);
            message.body.extend_from_slice(&chunk);
            if size == 0 {
                return Ok(());
            }
        }
    }
    let length = message.header("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)
}

/// Serves each request of each connection on a free port with `answer`, which writes the
/// response and returns whether the connection stays open. Returns the address.
pub fn serve<F>(answer: F) -> io::Result<String>
where
    F: Fn(Message, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
{
    serve_from_head(|_head| {}, answer)
}

/// As [`serve`]; `arrives` is told of each request as soon as its head is there.
pub fn serve_from_head<H, F>(arrives: H, answer: F) -> io::Result<String>
where
    H: Fn(&Message) + Send + Sync + 'static,
    F: Fn(Message, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?.to_string();
    let (answer, arrives) = (Arc::new(answer), Arc::new(arrives));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (answer, arrives) = (Arc::clone(&answer), Arc::clone(&arrives));
            thread::spawn(move || {
                let _ended = (|| -> io::Result<()> {
                    stream.set_nodelay(true)?;
                    let mut reader = BufReader::new(stream.try_clone()?);
                    let mut writer = stream;
                    while let Some(mut request) = read_head(&mut reader)? {
                        arrives(&request);
                        read_body(&mut reader, &mut request)?;
                        if !answer(request, &mut writer)? {
                            break;
                        }
                    }
                    Ok(())
                })();
            });
        }
    });
    Ok(address)
}

/// What the store knows of a connection of one machine.
struct Open {
    machine: String,
    /// Table whose changes it waits for; empty if it waits for none.
    waits_for: String,
    stream: TcpStream,
}

/// The address of the store for one machine, which can be made to refuse new connections.
#[derive(Clone)]
pub struct Front {
    pub address: String,
    is_closed: Arc<AtomicBool>,
}

impl Front {
    /// Refuses new connections, or accepts them again. Open ones are not touched.
    pub fn refuse(&self, is_closed: bool) {
        self.is_closed.store(is_closed, Ordering::SeqCst);
    }
}

/// A row of the store; without a value it was removed.
#[derive(Clone, Debug)]
struct Row {
    value: Option<String>,
    version: u64,
}

#[derive(Debug, Default)]
struct Rows {
    rows: BTreeMap<(String, String), Row>,
    version: u64,
    /// Changes up to this version can't be asked for any more.
    truncated_at: u64,
}

/// The platform's store: `rows-get`, `rows-feed` and `rows-tx` as PROTOCOL.md has them.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<Rows>, Condvar)>,
    open: Arc<Mutex<BTreeMap<u64, Open>>>,
    started: Instant,
}

impl Store {
    pub fn new() -> Self {
        Self { state: Arc::default(), open: Arc::default(), started: Instant::now() }
    }

    /// Serves one machine on an address of its own.
    pub fn serve_machine(&self, machine: &str) -> io::Result<Front> {
        static LAST: AtomicU64 = AtomicU64::new(0);
        let mut listener = Some(TcpListener::bind("127.0.0.1:0")?);
        let address = listener.as_ref().unwrap().local_addr()?.to_string();
        let front = Front { address, is_closed: Arc::default() };
        let (store, own, machine) = (self.clone(), front.clone(), machine.to_owned());
        thread::spawn(move || {
            loop {
                if own.is_closed.load(Ordering::SeqCst) {
                    listener = None;
                } else if listener.is_none() {
                    listener = TcpListener::bind(&own.address).ok();
                }
                let accepted = listener.as_ref().and_then(|listener| {
                    listener.set_nonblocking(true).ok()?;
                    listener.accept().ok()
                });
                let Some((stream, _)) = accepted else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let (store, machine) = (store.clone(), machine.clone());
                let id = LAST.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || {
                    let _ended = store.serve_connection(id, &machine, stream);
                    store.open.lock().unwrap().remove(&id);
                });
            }
        });
        Ok(front)
    }

    fn serve_connection(&self, id: u64, machine: &str, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let open = Open {
            machine: machine.to_owned(),
            waits_for: String::new(),
            stream: stream.try_clone()?,
        };
        self.open.lock().unwrap().insert(id, open);
        let set = |table: &str| {
            if let Some(open) = self.open.lock().unwrap().get_mut(&id) {
                table.clone_into(&mut open.waits_for);
            }
        };
        while let Some(request) = read_message(&mut reader)? {
            let feed = request.line.split_once("rows-feed?table=").map(|(_, rest)| rest);
            set(feed.and_then(|rest| rest.split('&').next()).unwrap_or_default());
            self.answer(&request, &mut stream)?;
            set("");
        }
        Ok(())
    }

    /// Tables for whose changes a machine waits now.
    pub fn waits(&self, machine: &str) -> Vec<String> {
        let open = self.open.lock().unwrap();
        let own = open.values().filter(|open| open.machine == machine);
        own.map(|open| open.waits_for.clone()).filter(|table| !table.is_empty()).collect()
    }

    /// Discards the history and closes the connections that wait for changes, if `is_due`
    /// holds for the tables for which each machine waits. Returns whether it did.
    pub fn compact_if(&self, is_due: impl Fn(&str, &[&str]) -> bool) -> bool {
        let mut rows = self.state.0.lock().unwrap();
        let open = self.open.lock().unwrap();
        let mut waits: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for open in open.values() {
            let tables = waits.entry(&open.machine).or_default();
            if !open.waits_for.is_empty() {
                tables.push(&open.waits_for);
            }
        }
        if !waits.iter().all(|(machine, tables)| is_due(machine, tables)) {
            return false;
        }
        rows.truncated_at = rows.version;
        for open in open.values().filter(|open| !open.waits_for.is_empty()) {
            let _closed = open.stream.shutdown(std::net::Shutdown::Both);
        }
        true
    }

    /// The store's newest version.
    pub fn version(&self) -> u64 {
        self.state.0.lock().unwrap().version
    }

    /// Writes a row as the operator or a target.
    pub fn put(&self, table: &str, key: &str, text: &str) {
        let mut rows = self.state.0.lock().unwrap();
        rows.version += 1;
        let row = Row { value: Some(base64(text.as_bytes())), version: rows.version };
        rows.rows.insert((table.to_owned(), key.to_owned()), row);
        self.state.1.notify_all();
    }

    pub fn serve(&self) -> io::Result<String> {
        let store = self.clone();
        serve(move |request, stream| store.answer(&request, stream))
    }

    fn page(&self, rows: &Rows, table: &str, keep: impl Fn(&str, &Row) -> bool) -> (String, bool) {
        let mut found: Vec<_> = rows
            .rows
            .iter()
            .filter(|((of, key), row)| of == table && keep(key, row))
            .collect();
        found.sort_by_key(|(_, row)| row.version);
        let texts: Vec<_> = found
            .iter()
            .map(|((table, key), row)| {
                let value = match &row.value {
                    Some(value) => format!("\"value\":\"{value}\""),
                    None => "\"removed\":true".to_owned(),
                };
                let version = row.version;
                format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",{value},\"ver\":{version}}}")
            })
            .collect();
        let now = 1 + self.started.elapsed().as_millis();
        let (list, version) = (texts.join(","), rows.version);
        let page = format!("{{\"rows\":[{list}],\"hasMore\":false,\"ver\":{version},\"nowMs\":{now}}}");
        (page, texts.is_empty())
    }

    fn answer(&self, request: &Message, stream: &mut TcpStream) -> io::Result<bool> {
        let target = request.line.split(' ').nth(1).unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.into_iter().find(|(key, _)| *key == name).map_or("", |(_, value)| value)
        };
        let (status, body) = match path {
            "/primroseplank/rows-get" => {
                let rows = self.state.0.lock().unwrap();
                (200, self.page(&rows, field("table"), |_, row| row.value.is_some()).0)
            }
            "/primroseplank/rows-feed" => {
                let after: u64 = field("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(field("waitMs").parse().unwrap_or(0));
                let until = Instant::now() + wait;
                let mut rows = self.state.0.lock().unwrap();
                loop {
                    if after < rows.truncated_at {
                        break (410, "{}".to_owned());
                    }
                    let (page, is_empty) =
                        self.page(&rows, field("table"), |_, row| row.version > after);
                    let left = until.saturating_duration_since(Instant::now());
                    if !is_empty || left.is_zero() {
                        break (200, page);
                    }
                    rows = self.state.1.wait_timeout(rows, left).unwrap().0;
                }
            }
            "/primroseplank/rows-tx" => self.transact(request),
            _ => (404, "{}".to_owned()),
        };
        respond(stream, status, &[("content-type", "application/json")], body.as_bytes())?;
        Ok(true)
    }

    fn transact(&self, request: &Message) -> (u16, String) {
        let text = String::from_utf8_lossy(&request.body);
        let Some(call) = Json::parse(&text) else {
            return (400, "{}".to_owned());
        };
        let place = |row: &Json| {
            (row.get("table").as_text().to_owned(), row.get("key").as_text().to_owned())
        };
        let mut rows = self.state.0.lock().unwrap();
        let version_of = |rows: &Rows, row: &Json| {
            rows.rows.get(&place(row)).filter(|row| row.value.is_some()).map_or(0, |row| row.version)
        };
        let expected = call.get("expected").items();
        if expected.iter().any(|row| version_of(&rows, row) != row.get("ver").as_u64()) {
            let places: Vec<_> = expected.iter().map(place).collect();
            let table = places[0].0.clone();
            let keep = |key: &str, row: &Row| {
                row.value.is_some() && places.iter().any(|(_, expected)| expected == key)
            };
            return (412, self.page(&rows, &table, keep).0);
        }
        rows.version += 1;
        let version = rows.version;
        for row in call.get("put").items() {
            let value = Some(row.get("value").as_text().to_owned());
            rows.rows.insert(place(row), Row { value, version });
        }
        for row in call.get("remove").items() {
            rows.rows.insert(place(row), Row { value: None, version });
        }
        self.state.1.notify_all();
        let now = 1 + self.started.elapsed().as_millis();
        (200, format!("{{\"ver\":{version},\"nowMs\":{now}}}"))
    }
}

/// Writes a response with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Writes the entry of a plain target to the store every 1.2 s, as targets do.
pub fn register(store: &Store, id: &str, service: &str, address: &str, slots: u32) {
    let (store, id) = (store.clone(), id.to_owned());
    let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
    let fixed = format!(
        "\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"z1\",\"version\":\"v1\",\
         \"slots\":{slots},\"state\":\"ready\",\"coldLeftMs\":0,\"born\":{born}"
    );
    thread::spawn(move || {
        for seq in 1.. {
            store.put("servers", &id, &format!("{{{fixed},\"seq\":{seq}}}"));
            thread::sleep(Duration::from_millis(1_200));
        }
    });
}

/// A record of what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn new(path: &str) -> io::Result<Self> {
        Ok(Self { started: Instant::now(), file: Arc::new(Mutex::new(fs::File::create(path)?)) })
    }

    pub fn note(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let line = format!("{at:8.3} {text}\n");
        print!("{line}");
        let _written = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// A VM of the project, started with the command of the deploy file. Killed when dropped.
pub struct Vm {
    pub child: Child,
    pub caller: String,
    pub balancer: String,
    dir: PathBuf,
}

impl Vm {
    /// Starts the VM `name` before the store at `store`, with the project's own template of
    /// the settings.
    pub fn start(name: &str, store: &str, bounds: &[(&str, &str)]) -> io::Result<Self> {
        let dir = env::temp_dir().join(format!("review-2-{}-{name}", std::process::id()));
        fs::create_dir_all(&dir)?;
        let mut text = fs::read_to_string("platform/settings.yaml")?;
        // All VMs of a deployment have one credential, also where each reaches the store through
        // an address of its own.
        text = text.replace("primroseplank@{{platform.address}}", "primroseplank@store");
        let free = || -> io::Result<u16> {
            Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?.port())
        };
        let caller = format!("127.0.0.1:{}", free()?);
        let balancer = format!("127.0.0.1:{}", free()?);
        let (peer, metrics) = (free()?.to_string(), free()?.to_string());
        let values = [
            ("nodeName", name),
            ("zone", "z1"),
            ("ip", "127.0.0.1"),
            ("portRange.0", peer.as_str()),
            ("portRange.1", metrics.as_str()),
            ("listen.frontend", caller.as_str()),
            ("listen.ready", balancer.as_str()),
            ("platform.address", store),
        ];
        for (field, value) in values.iter().chain(bounds) {
            text = text.replace(&format!("{{{{{field}}}}}"), value);
        }
        // A placeholder without a value is filled in with nothing, as DEPLOY.md has it.
        while let (Some(from), Some(to)) = (text.find("{{"), text.find("}}")) {
            text.replace_range(from..to + 2, "");
        }
        let file = dir.join("local.json");
        fs::write(&file, text)?;
        let log = fs::File::create(dir.join("log"))?;
        let child = Command::new("target/release/primroseplankd")
            .args(["--relay", "--settings"])
            .arg(&file)
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .spawn()?;
        Ok(Self { child, caller, balancer, dir })
    }

    /// Waits until it says that it is ready.
    pub fn wait_until_ready(&self) -> io::Result<()> {
        for _ in 0..100 {
            thread::sleep(Duration::from_millis(100));
            if self.is_ready() {
                return Ok(());
            }
        }
        Err(io::Error::other("the VM does not become ready"))
    }

    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<u16> {
            let mut stream = TcpStream::connect(&self.balancer)?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            stream.write_all(b"GET /primroseplank/readyz HTTP/1.1\r\nhost: x\r\n\r\n")?;
            let answer = read_message(&mut BufReader::new(stream))?;
            Ok(answer.map_or(0, |answer| answer.status()))
        };
        ask().unwrap_or(0) == 200
    }

    /// Sends a signal to the process by its id.
    pub fn signal(&self, signal: i32) -> io::Result<()> {
        unsafe extern "C" {
            fn kill(id: i32, signal: i32) -> i32;
        }
        let id = i32::try_from(self.child.id()).map_err(io::Error::other)?;
        // SAFETY: the call has no memory arguments; the process is a child that is not reaped.
        match unsafe { kill(id, signal) } {
            0 => Ok(()),
            _ => Err(io::Error::last_os_error()),
        }
    }

    /// Resident memory in MB.
    pub fn memory_mb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
        line.split_whitespace().nth(1).and_then(|kb| kb.parse::<u64>().ok()).unwrap_or(0) / 1_024
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        let _killed = self.child.kill();
        let _ended = self.child.wait();
        if env::var("KEEP").is_err() {
            let _removed = fs::remove_dir_all(&self.dir);
        }
    }
}

/// Bounds of a small deployment, as the settings have them.
pub const BOUNDS: [(&str, &str); 8] = [
    ("bounds.leaseMs", "3000"),
    ("bounds.graceS", "8"),
    ("bounds.retryBudgetRatio", "0.2"),
    ("bounds.retrySlack", "56"),
    ("bounds.quotaWindowS", "8"),
    ("bounds.quotaOverage", "0.1"),
    ("bounds.quotaSlack", "17000"),
    ("contracts", "base,drain,config,cost,retry,recover,fleet,stream,engine,tenants,quota,platform"),
];

/// Whether the disruption is left out.
pub fn is_calm() -> bool {
    env::var("TROUBLE").is_ok_and(|value| value == "0")
}

/// Connects with the segment size of an Ethernet link rather than that of the loopback
/// interface, and with a receive buffer of 64 KB, as a caller on another machine does.
pub fn connect_as_remote(address: &str) -> io::Result<TcpStream> {
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    const SEGMENT_BYTES: i32 = 1_460;
    const BUFFER_BYTES: i32 = 64 * 1024;
    #[repr(C)]
    struct Address {
        family: u16,
        port: [u8; 2],
        ip: [u8; 4],
        zero: [u8; 8],
    }
    unsafe extern "C" {
        fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
        fn connect(fd: i32, address: *const Address, length: u32) -> i32;
    }
    let address: SocketAddrV4 = address.parse().map_err(io::Error::other)?;
    let address = Address {
        family: AF_INET as u16,
        port: address.port().to_be_bytes(),
        ip: address.ip().octets(),
        zero: [0; 8],
    };
    // SAFETY: the pointers are valid for the calls, and the descriptor is owned here.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        for (level, name, value) in
            [(IPPROTO_TCP, TCP_MAXSEG, SEGMENT_BYTES), (SOL_SOCKET, SO_RCVBUF, BUFFER_BYTES)]
        {
            if setsockopt(fd, level, name, &value, 4) != 0 {
                return Err(io::Error::last_os_error());
            }
        }
        if connect(fd, &address, 16) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}
