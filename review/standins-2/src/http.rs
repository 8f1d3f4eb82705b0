//! Blocking HTTP/1.1 messages, as far as the stand-ins need them.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;

#[derive(Debug, Default, Clone)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, ahead: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut buffer = [0; 16 * 1024];
        let length = self.stream.read(&mut buffer)?;
        self.ahead.extend_from_slice(&buffer[..length]);
        Ok(length)
    }

    /// Reads the head of the next message; `None` if the connection has ended before it.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some(end) = self.ahead.windows(4).position(|it| it == b"\r\n\r\n") {
                let head: Vec<u8> = self.ahead.drain(..end + 4).collect();
                let text = String::from_utf8_lossy(&head).into_owned();
                let mut lines = text.split("\r\n");
                let start = lines.next().unwrap_or_default().to_owned();
                let headers = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
                    .collect();
                return Ok(Some(Message { start, headers, body: Vec::new() }));
            }
            if self.fill()? == 0 {
                return match self.ahead.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    /// Reads the body that belongs to a head with a length or in chunks. Without either, an answer
    /// (`to_end`) lasts until the connection ends.
    pub fn read_body(&mut self, message: &mut Message, to_end: bool) -> io::Result<()> {
        let chunked = message
            .header("transfer-encoding")
            .is_some_and(|it| it.eq_ignore_ascii_case("chunked"));
        let length = message.header("content-length").and_then(|it| it.parse().ok());
        match (chunked, length) {
            (true, _) => loop {
                let line = self.read_line()?;
                let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                let data = self.read_exactly(size + 2)?;
                if size == 0 {
                    return Ok(());
                }
                message.body.extend_from_slice(&data[..size]);
            },
            (false, Some(length)) => {
                message.body = self.read_exactly(length)?;
                Ok(())
            }
            (false, None) if to_end => {
                while self.fill()? > 0 {}
                message.body = std::mem::take(&mut self.ahead);
                Ok(())
            }
            (false, None) => Ok(()),
        }
    }

    pub fn read_message(&mut self, to_end: bool) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else { return Ok(None) };
        self.read_body(&mut message, to_end)?;
        Ok(Some(message))
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.ahead.windows(2).position(|it| it == b"\r\n") {
                let line: Vec<u8> = self.ahead.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn read_exactly(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.ahead.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.ahead.drain(..length).collect())
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Whether the peer has closed the connection, without taking bytes from it.
    pub fn is_closed(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let result = self.stream.peek(&mut [0]);
        let _ = self.stream.set_nonblocking(false);
        match result {
            Ok(0) => true,
            Ok(_) => false,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

/// An answer with a length.
pub fn answer(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
