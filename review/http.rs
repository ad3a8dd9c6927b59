//! Minimal HTTP/1.1: reading and writing of messages over blocking sockets.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or a response.
pub struct Message {
    /// Request line or status line, without the line end.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Status code of a response, 0 if the start line is not a status line.
    pub fn status(&self) -> u16 {
        let code = self.start.split(' ').nth(1);
        code.and_then(|c| c.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }
}

fn invalid(cause: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, cause)
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end_matches(['\r', '\n']).to_owned())
}

fn read_chunks(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let size = read_line(reader)?;
        let size = size.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(size, 16).map_err(|_| invalid("chunk size"))?;
        let at = body.len();
        body.resize(at + size, 0);
        reader.read_exact(&mut body[at..])?;
        if size == 0 {
            while !read_line(reader)?.is_empty() {}
            return Ok(body);
        }
        read_line(reader)?;
    }
}

/// Reads the start line and the headers of a message.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Message> {
    let start = read_line(reader)?;
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or_else(|| invalid("header line"))?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
    Ok(Message {
        start,
        headers,
        body: Vec::new(),
    })
}

/// Reads the body that belongs to a head.
pub fn read_body(
    message: &mut Message,
    reader: &mut impl BufRead,
    is_response: bool,
) -> io::Result<()> {
    let chunked = message
        .header("transfer-encoding")
        .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
    if chunked {
        message.body = read_chunks(reader)?;
    } else if let Some(length) = message.header("content-length") {
        let length = length.parse().map_err(|_| invalid("content length"))?;
        message.body.resize(length, 0);
        reader.read_exact(&mut message.body)?;
    } else if is_response && ![204, 304].contains(&message.status()) {
        reader.read_to_end(&mut message.body)?;
    }
    Ok(())
}

/// Reads a request (`is_response` false) or a response, with its whole body.
pub fn read(reader: &mut impl BufRead, is_response: bool) -> io::Result<Message> {
    let mut message = read_head(reader)?;
    read_body(&mut message, reader, is_response)?;
    Ok(message)
}

/// How a request states the end of its body.
#[derive(Clone, Copy, Eq, PartialEq)]
pub enum Framing {
    Length,
    Chunks,
}

/// Writes a request with its body.
pub fn write_request(
    socket: &mut impl Write,
    start: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    framing: Framing,
) -> io::Result<()> {
    let mut bytes = format!("{start} HTTP/1.1\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    match framing {
        Framing::Length => {
            if !body.is_empty() || !start.starts_with("GET") {
                bytes.extend_from_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
            }
            bytes.extend_from_slice(b"\r\n");
            bytes.extend_from_slice(body);
        }
        Framing::Chunks => {
            bytes.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n");
            for chunk in body.chunks(512) {
                bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
                bytes.extend_from_slice(chunk);
                bytes.extend_from_slice(b"\r\n");
            }
            bytes.extend_from_slice(b"0\r\n\r\n");
        }
    }
    socket.write_all(&bytes)
}

/// Sends one request on a new connection and reads the response.
pub fn call(
    address: SocketAddr,
    start: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    framing: Framing,
    limit: Duration,
) -> io::Result<Message> {
    let mut socket = TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1)))?;
    socket.set_nodelay(true)?;
    socket.set_read_timeout(Some(limit))?;
    socket.set_write_timeout(Some(limit))?;
    write_request(&mut socket, start, headers, body, framing)?;
    let end = Instant::now() + limit;
    let response = read(&mut BufReader::new(socket), true);
    if Instant::now() > end {
        return Err(io::ErrorKind::TimedOut.into());
    }
    response
}
