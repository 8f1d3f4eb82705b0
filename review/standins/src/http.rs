//! A minimal HTTP/1.1 on blocking sockets.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;

pub type Headers = Vec<(String, String)>;

/// A request as a server reads it.
#[derive(Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

/// A response as a client reads it.
#[derive(Debug, Clone)]
pub struct Response {
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
}

pub fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
}

fn read_line(reader: &mut BufReader<TcpStream>) -> io::Result<String> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(String::from_utf8_lossy(&line).trim_end().to_owned())
}

fn read_headers(reader: &mut BufReader<TcpStream>) -> io::Result<Headers> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

fn read_body(reader: &mut BufReader<TcpStream>, headers: &Headers) -> io::Result<Vec<u8>> {
    let chunked = header(headers, "transfer-encoding").is_some_and(|it| it.contains("chunked"));
    let mut body = Vec::new();
    if chunked {
        loop {
            let size = read_line(reader)?;
            let size = usize::from_str_radix(size.split(';').next().unwrap_or(""), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let start = body.len();
            body.resize(start + size, 0);
            reader.read_exact(&mut body[start..])?;
            read_line(reader)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }
    let length = header(headers, "content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
    body.resize(length, 0);
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Reads the next request of a connection. An error means that the connection has ended.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Request> {
    let line = read_line(reader)?;
    let mut words = line.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default().to_owned();
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers)?;
    Ok(Request { method, target, headers, body })
}

/// Reads a response to a request other than HEAD.
pub fn read_response(reader: &mut BufReader<TcpStream>) -> io::Result<Response> {
    let line = read_line(reader)?;
    let status = line.split(' ').nth(1).and_then(|it| it.parse().ok());
    let status = status.ok_or_else(|| io::Error::from(io::ErrorKind::InvalidData))?;
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers)?;
    Ok(Response { status, headers, body })
}

/// Writes a response with a body of known length.
pub fn write_response(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = format!("HTTP/1.1 {status} x\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        bytes.push_str(&format!("{name}: {value}\r\n"));
    }
    bytes.push_str("\r\n");
    let mut bytes = bytes.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// The value of a parameter in the query of a target, percent-decoded.
pub fn parameter(target: &str, name: &str) -> Option<String> {
    let query = target.split_once('?')?.1;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs.into_iter().find(|(key, _)| *key == name)?.1;
    let bytes = value.as_bytes();
    let mut decoded = Vec::new();
    let mut place = 0;
    while place < bytes.len() {
        let hex = value.get(place + 1..place + 3).and_then(|it| u8::from_str_radix(it, 16).ok());
        match (bytes[place], hex) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                place += 3;
            }
            (b'+', _) => {
                decoded.push(b' ');
                place += 1;
            }
            (byte, _) => {
                decoded.push(byte);
                place += 1;
            }
        }
    }
    String::from_utf8(decoded).ok()
}
