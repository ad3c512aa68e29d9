//! Stand-ins of the platform's store, of servers and of clients for the scripts of this review,
//! and the scripts themselves: `stand-in-3 CASE FOLDER`, started in the repository root.
//! Standard library only. With TROUBLE=0 a case leaves its disruption out.

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    fs,
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

// ---------------------------------------------------------------- JSON and base64

#[derive(Clone, Debug)]
enum Json {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => {
                fields.iter().find(|(key, _)| key == name).map_or(&Json::Null, |(_, value)| value)
            }
            _ => &Json::Null,
        }
    }
    fn text(&self) -> &str {
        if let Json::Text(text) = self { text } else { "" }
    }
    fn number(&self) -> f64 {
        if let Json::Number(number) = self { *number } else { 0.0 }
    }
    fn list(&self) -> &[Json] {
        if let Json::List(items) = self { items } else { &[] }
    }
}

fn parse_json(bytes: &[u8]) -> Json {
    let mut at = 0;
    parse_value(bytes, &mut at)
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Json {
    skip_space(bytes, at);
    match bytes.get(*at) {
        Some(b'{') => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip_space(bytes, at);
                match bytes.get(*at) {
                    Some(b'"') => {
                        let key = parse_text(bytes, at);
                        skip_space(bytes, at);
                        *at += 1;
                        fields.push((key, parse_value(bytes, at)));
                    }
                    Some(b',') => *at += 1,
                    _ => {
                        *at += 1;
                        return Json::Object(fields);
                    }
                }
            }
        }
        Some(b'[') => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip_space(bytes, at);
                match bytes.get(*at) {
                    Some(b']') | None => {
                        *at += 1;
                        return Json::List(items);
                    }
                    Some(b',') => *at += 1,
                    _ => items.push(parse_value(bytes, at)),
                }
            }
        }
        Some(b'"') => Json::Text(parse_text(bytes, at)),
        Some(b't') => {
            *at += 4;
            Json::Bool
        }
        Some(b'f') => {
            *at += 5;
            Json::Bool
        }
        Some(b'n') | None => {
            *at += 4;
            Json::Null
        }
        _ => {
            let start = *at;
            while bytes.get(*at).is_some_and(|byte| b"+-.0123456789eE".contains(byte)) {
                *at += 1;
            }
            *at = (*at).max(start + 1);
            let text = std::str::from_utf8(&bytes[start..*at]).unwrap_or("0");
            Json::Number(text.parse().unwrap_or(0.0))
        }
    }
}

fn parse_text(bytes: &[u8], at: &mut usize) -> String {
    *at += 1;
    let mut text = Vec::new();
    while let Some(&byte) = bytes.get(*at) {
        *at += 1;
        match byte {
            b'"' => break,
            b'\\' => {
                let escaped = bytes.get(*at).copied().unwrap_or(b'"');
                *at += 1;
                match escaped {
                    b'n' => text.push(b'\n'),
                    b't' => text.push(b'\t'),
                    b'u' => {
                        let code = std::str::from_utf8(&bytes[*at..*at + 4]).unwrap_or("0020");
                        *at += 4;
                        let code = u32::from_str_radix(code, 16).unwrap_or(32);
                        let mut buffer = [0; 4];
                        let letter = char::from_u32(code).unwrap_or(' ');
                        text.extend_from_slice(letter.encode_utf8(&mut buffer).as_bytes());
                    }
                    other => text.push(other),
                }
            }
            other => text.push(other),
        }
    }
    String::from_utf8_lossy(&text).into_owned()
}

fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for letter in text.chars() {
        match letter {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            '\n' => quoted.push_str("\\n"),
            other => quoted.push(other),
        }
    }
    quoted.push('"');
    quoted
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn to_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let number = chunk.iter().fold(0_u32, |sum, byte| sum << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for index in 0..4 {
            if index <= chunk.len() {
                text.push(char::from(DIGITS[(number >> (18 - 6 * index) & 63) as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

// ---------------------------------------------------------------- HTTP

#[derive(Clone, Debug, Default)]
struct Head {
    first: String,
    fields: Vec<(String, String)>,
}

impl Head {
    fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
    fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or("")
    }
    fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads a head; `None` at the end of the connection.
fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            if head.first.is_empty() {
                continue;
            }
            return Ok(Some(head));
        }
        if head.first.is_empty() {
            head.first = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            head.fields.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

fn read_body(reader: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    let length = head.field("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn query<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = path.split_once('?')?;
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

// ---------------------------------------------------------------- the platform's store

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    rows: BTreeMap<Key, (Option<String>, u64)>,
    version: u64,
}

struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    fn start() -> io::Result<(Arc<Self>, SocketAddr)> {
        let store = Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        });
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let served = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&served);
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok((store, address))
    }

    /// Writes a row as the operator or a server.
    fn put(&self, table: &str, key: &str, text: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let key = (table.to_owned(), String::new(), key.to_owned());
        rows.rows.insert(key, (Some(to_base64(text.as_bytes())), version));
        drop(rows);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        while let Some(head) = read_head(&mut reader)? {
            let body = read_body(&mut reader, &head)?;
            thread::sleep(Duration::from_millis(4));
            let (status, text) = self.answer(&head, &body);
            write!(
                writer,
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            )?;
        }
        Ok(())
    }

    fn answer(&self, head: &Head, body: &[u8]) -> (u16, String) {
        let path = head.word(1);
        match path.split('?').next().unwrap_or("") {
            "/primroseplank/rows-get" => self.read(path),
            "/primroseplank/rows-feed" => self.feed(path),
            "/primroseplank/rows-tx" => self.write(&parse_json(body)),
            _ => (404, "{}".to_owned()),
        }
    }

    fn page(&self, rows: &Rows, found: &[(&Key, &(Option<String>, u64))]) -> String {
        let mut text = String::from("{\"rows\":[");
        for (index, (key, (value, version))) in found.iter().enumerate() {
            let comma = if index > 0 { "," } else { "" };
            let value = match value {
                Some(value) => format!("\"value\":{}", quote(value)),
                None => "\"removed\":true".to_owned(),
            };
            let _ = write!(
                text,
                "{comma}{{\"table\":{},\"part\":{},\"key\":{},\"ver\":{version},{value}}}",
                quote(&key.0),
                quote(&key.1),
                quote(&key.2)
            );
        }
        let now_ms = 1 + self.started.elapsed().as_millis();
        let _ = write!(text, "],\"hasMore\":false,\"ver\":{},\"nowMs\":{now_ms}}}", rows.version);
        text
    }

    fn read(&self, path: &str) -> (u16, String) {
        let table = query(path, "table").unwrap_or("");
        let from = query(path, "from").unwrap_or("").replace("%00", "\0");
        let rows = self.rows.lock().unwrap();
        let found: Vec<_> = rows
            .rows
            .iter()
            .filter(|(key, row)| key.0 == table && key.2 >= from && row.0.is_some())
            .collect();
        (200, self.page(&rows, &found))
    }

    fn feed(&self, path: &str) -> (u16, String) {
        let table = query(path, "table").unwrap_or("").to_owned();
        let after: u64 = query(path, "after").and_then(|text| text.parse().ok()).unwrap_or(0);
        let wait = query(path, "waitMs").and_then(|text| text.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut rows = self.rows.lock().unwrap();
        loop {
            let mut found: Vec<_> =
                rows.rows.iter().filter(|(key, row)| key.0 == table && row.1 > after).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                found.sort_by_key(|(_, row)| row.1);
                return (200, self.page(&rows, &found));
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn write(&self, body: &Json) -> (u16, String) {
        let key = |row: &Json| {
            let text = |name| row.get(name).text().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let mut rows = self.rows.lock().unwrap();
        let expected = body.get("expected").list();
        let is_conflict = expected.iter().any(|row| {
            let found = rows.rows.get(&key(row)).filter(|found| found.0.is_some());
            found.map_or(0, |found| found.1) != row.get("ver").number() as u64
        });
        if is_conflict {
            let keys: Vec<_> = expected.iter().map(key).collect();
            let found: Vec<_> =
                rows.rows.iter().filter(|(known, _)| keys.contains(known)).collect();
            return (412, self.page(&rows, &found));
        }
        rows.version += 1;
        let version = rows.version;
        for row in body.get("put").list() {
            rows.rows.insert(key(row), (Some(row.get("value").text().to_owned()), version));
        }
        for row in body.get("remove").list() {
            rows.rows.insert(key(row), (None, version));
        }
        drop(rows);
        self.changed.notify_all();
        let now_ms = 1 + self.started.elapsed().as_millis();
        (200, format!("{{\"ver\":{version},\"nowMs\":{now_ms}}}"))
    }
}

// ---------------------------------------------------------------- processes of the system

struct Vm {
    child: Child,
    caller: SocketAddr,
    balancer: SocketAddr,
}

impl Vm {
    /// Starts the program of the deploy file with the platform's template filled in. If `peer`
    /// is given, the others reach its port `peer.0` by the address `peer.1`.
    fn start(
        folder: &Path,
        name: &str,
        zone: &str,
        store: SocketAddr,
        peer: Option<(SocketAddr, SocketAddr)>,
    ) -> io::Result<Self> {
        let mut text = fs::read_to_string("platform/settings.yaml")?;
        let mut peer_address = "127.0.0.1:0".to_owned();
        if let Some((address, advertised)) = peer {
            peer_address = address.to_string();
            text = text.replace("peer:\n", &format!("peer:\n  advertised: \"{advertised}\"\n"));
        }
        // The bounds of the site `mscx-plank`.
        for (field, value) in [
            ("nodeName", name),
            ("zone", zone),
            ("ip}}:{{portRange.0", &peer_address),
            ("ip}}:{{portRange.1", "127.0.0.1:0"),
            ("listen.frontend", "127.0.0.1:0"),
            ("listen.ready", "127.0.0.1:0"),
            ("platform.address", &store.to_string()),
            ("bounds.leaseMs", "3000"),
            ("bounds.graceS", "8"),
            ("bounds.retryBudgetRatio", "0.2"),
            ("bounds.retrySlack", "52"),
            ("bounds.quotaWindowS", "8"),
            ("bounds.quotaOverage", "0.1"),
            ("bounds.quotaSlack", "17000"),
            ("bounds.coldOverage", ""),
            ("bounds.coldSlack", ""),
            (
                "contracts",
                "base,drain,config,cost,retry,recover,fleet,stream,engine,tenants,quota,platform",
            ),
        ] {
            text = text.replace(&format!("{{{{{field}}}}}"), value);
        }
        let file = folder.join(format!("{name}.yaml"));
        fs::write(&file, text)?;
        let log = folder.join(format!("{name}.log"));
        let out = fs::File::create(&log)?;
        let child = Command::new("target/release/primroseplankd")
            .args(["--relay", "--settings"])
            .arg(&file)
            .stdin(Stdio::null())
            .stderr(out.try_clone()?)
            .stdout(out)
            .spawn()?;
        let mut vm = Self {
            child,
            caller: ([127, 0, 0, 1], 0).into(),
            balancer: ([127, 0, 0, 1], 0).into(),
        };
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            let text = fs::read_to_string(&log).unwrap_or_default();
            let listening = text.lines().find(|line| line.contains("\"listening\""));
            if let Some(line) = listening {
                let line = parse_json(line.as_bytes());
                let address = |name| line.get(name).text().parse().map_err(io::Error::other);
                (vm.caller, vm.balancer) = (address("caller")?, address("balancer")?);
                return Ok(vm);
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(io::Error::other("the VM does not listen"))
    }

    fn is_ready(&self) -> bool {
        let ask = || -> io::Result<u16> {
            let mut stream = TcpStream::connect(self.balancer)?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            write!(stream, "GET /primroseplank/readyz HTTP/1.1\r\nHost: x\r\n\r\n")?;
            Ok(read_head(&mut BufReader::new(stream))?.unwrap_or_default().status())
        };
        matches!(ask(), Ok(200))
    }

    fn wait_ready(&self) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if self.is_ready() {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(io::Error::other("the VM is not ready"))
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

// ---------------------------------------------------------------- record

#[derive(Clone)]
struct Record {
    started: Instant,
    lines: Arc<Mutex<fs::File>>,
}

impl Record {
    fn new(folder: &Path) -> io::Result<Self> {
        let file = fs::File::create(folder.join("record.txt"))?;
        Ok(Self { started: Instant::now(), lines: Arc::new(Mutex::new(file)) })
    }
    fn note(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut lines = self.lines.lock().unwrap();
        let _ = writeln!(lines, "{at:9.3} s  {text}");
        println!("{at:9.3} s  {text}");
    }
}

// ---------------------------------------------------------------- helpers of cases

/// A configuration with one plain service.
fn plain_config(version: u64, kind: &str, timeout_ms: u64, attempts: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"host\":\"desk.example\",\
         \"pathPrefix\":\"/desk/\",\"routeKind\":\"{kind}\",\"timeoutMs\":{timeout_ms},\
         \"targetLatencyMs\":800,\"priority\":1,\"service\":\"desk\",\"maxAttempts\":{attempts},\
         \"public\":false,\"sticky\":false,\"resumable\":false}}],\
         \"services\":[{{\"name\":\"desk\",\"healthPath\":\"/healthz\",\"maxConns\":96,\
         \"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[\"key-1\"],\"priority\":1,\
         \"unit\":\"tokens\",\"uncachedTokens\":200,\"ratePerS\":0,\"burst\":0}}]}}"
    )
}

fn entry(service: &str, address: SocketAddr, sequence: u64, state: &str) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"north\",\"version\":\"1\",\
         \"slots\":6,\"state\":\"{state}\",\"coldLeftMs\":0,\"seq\":{sequence},\"born\":1700000000000}}"
    )
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (case, folder) = (arguments[1].as_str(), PathBuf::from(&arguments[2]));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let temporary = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
    let run = || -> io::Result<bool> {
        fs::create_dir_all(&temporary)?;
        let record = Record::new(&folder)?;
        match case {
            "silent-links" => silent_links(&temporary, &record, has_trouble),
            _ => Err(io::Error::other("unknown case")),
        }
    };
    let result = run();
    let _ = fs::remove_dir_all(&temporary);
    std::process::exit(match result {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(cause) => {
            eprintln!("the case could not run: {cause}");
            2
        }
    });
}

// ---------------------------------------------------------------- case: silent connections between VMs

/// A link in front of a VM's peer port. Connections that are open may go silent for good;
/// new ones work.
struct PeerLink {
    address: SocketAddr,
    open: Mutex<Vec<(String, Arc<std::sync::atomic::AtomicBool>)>>,
}

impl PeerLink {
    fn start(to: SocketAddr) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let link = Arc::new(Self { address: listener.local_addr()?, open: Mutex::default() });
        let own = Arc::clone(&link);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let link = Arc::clone(&own);
                thread::spawn(move || link.serve(stream, to));
            }
        });
        Ok(link)
    }

    fn serve(&self, near: TcpStream, to: SocketAddr) -> io::Result<()> {
        let far = TcpStream::connect(to)?;
        near.set_nodelay(true)?;
        far.set_nodelay(true)?;
        // The handshake names the VM that has dialled.
        let mut first = vec![0; 4_096];
        let mut near_reader = near.try_clone()?;
        let count = near_reader.read(&mut first)?;
        let text = String::from_utf8_lossy(&first[..count]).to_lowercase();
        let name = text
            .lines()
            .find_map(|line| line.strip_prefix("x-vm:"))
            .unwrap_or("")
            .trim()
            .to_owned();
        let is_silent = Arc::new(std::sync::atomic::AtomicBool::new(false));
        self.open.lock().unwrap().push((name, Arc::clone(&is_silent)));
        let mut far_writer = far.try_clone()?;
        far_writer.write_all(&first[..count])?;
        let back_silent = Arc::clone(&is_silent);
        let (mut far_reader, mut near_writer) = (far, near.try_clone()?);
        thread::spawn(move || pump(&mut far_reader, &mut near_writer, &back_silent));
        pump(&mut near_reader, &mut far_writer, &is_silent);
        Ok(())
    }

    /// Makes the connections that `dialler` has opened go silent; returns their number.
    fn silence(&self, dialler: &str) -> usize {
        let open = self.open.lock().unwrap();
        let own = open.iter().filter(|(name, _)| name == dialler);
        own.map(|(_, is_silent)| is_silent.store(true, std::sync::atomic::Ordering::SeqCst)).count()
    }
}

fn pump(from: &mut TcpStream, to: &mut TcpStream, is_silent: &std::sync::atomic::AtomicBool) {
    let mut buffer = vec![0; 65_536];
    while let Ok(count) = from.read(&mut buffer) {
        let drops = is_silent.load(std::sync::atomic::Ordering::SeqCst);
        if count == 0 {
            if !drops {
                let _ = to.shutdown(std::net::Shutdown::Write);
            }
            return;
        }
        if !drops && to.write_all(&buffer[..count]).is_err() {
            return;
        }
    }
}

fn free_port() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// A server that runs what it gets and notes the tenant.
fn serve_small(stream: TcpStream, record: &Record) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    while let Some(head) = read_head(&mut reader)? {
        read_body(&mut reader, &head)?;
        let id = head.field("attempt-id").unwrap_or("").to_owned();
        if head.word(1) != "/healthz" {
            let tenant = head.field("tenant").unwrap_or("");
            record.note(&format!("server i-desk-1 runs {id} of {tenant}"));
        }
        write!(
            writer,
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: 3e1b.07.5a2\r\n\
             Content-Length: 2\r\n\r\nok"
        )?;
    }
    Ok(())
}

/// Sends one request with the key; returns the status.
fn ask(vm: &Vm, id: &str, key: &str) -> io::Result<u16> {
    let stream = TcpStream::connect(vm.caller)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    write!(
        &stream,
        "GET /desk/list HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {id}\r\n\
         Deadline-Ms: 1500\r\nAuthorization: Bearer {key}\r\n\r\n"
    )?;
    Ok(read_head(&mut BufReader::new(stream))?.unwrap_or_default().status())
}

fn silent_links(temporary: &Path, record: &Record, has_trouble: bool) -> io::Result<bool> {
    let (store, store_address) = Store::start()?;
    let desk = TcpListener::bind("127.0.0.1:0")?;
    let desk_address = desk.local_addr()?;
    let desk_record = record.clone();
    thread::spawn(move || {
        for stream in desk.incoming().flatten() {
            let record = desk_record.clone();
            thread::spawn(move || serve_small(stream, &record));
        }
    });
    store.put("servers", "i-desk-1", &entry("desk", desk_address, 1, "ready"));
    let config = plain_config(7, "idempotent", 1_500, 1);
    let with_keys = |version: u64, keys: &str| {
        config
            .replace("\"version\":7", &format!("\"version\":{version}"))
            .replace("\"key-1\"", keys)
    };
    store.put("op", "config", &with_keys(7, "\"key-1\",\"key-2\""));
    let mut links = Vec::new();
    let mut vms = Vec::new();
    for name in ["edge-north-1", "edge-north-2", "edge-north-3", "edge-north-4"] {
        let port = free_port()?;
        let link = PeerLink::start(port)?;
        vms.push(Vm::start(temporary, name, "north", store_address, Some((port, link.address)))?);
        links.push(link);
    }
    for vm in &vms {
        vm.wait_ready()?;
    }
    thread::sleep(Duration::from_secs(5));
    let silent = "edge-north-4";
    if has_trouble {
        let count: usize = links.iter().map(|link| link.silence(silent)).sum();
        record.note(&format!("{count} open connections that {silent} has dialled go silent"));
    }
    thread::sleep(Duration::from_secs(4));
    store.put("op", "config", &with_keys(11, "\"key-1\""));
    record.note("the store acknowledges version 11, without the key key-2");
    thread::sleep(Duration::from_secs(4));
    let mut late = 0;
    for round in 0..20 {
        for (index, vm) in vms.iter().enumerate() {
            let id = format!("{:016x}", round * 16 + index + 1);
            let status = ask(vm, &id, "key-2")?;
            if status != 401 {
                late += 1;
                record.note(&format!("edge-north-{} answers {id} with key-2: {status}", index + 1));
            }
        }
        thread::sleep(Duration::from_millis(500));
    }
    record.note(&format!("{late} of 80 requests with the removed key were not refused"));
    record.note(if late == 0 { "CONFIG held" } else { "CONFIG broken" });
    Ok(late == 0)
}
