//! A caller's side of HTTP/1.1, as far as the cases need it.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// An answer; `status` is 0 if none came, or if it was not whole.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
    /// What ended it, if it isn't whole.
    pub error: String,
}

/// Sends `request` over a new connection and reads the answer, for at most `wait`.
pub async fn exchange(to: SocketAddr, request: &[u8], wait: Duration) -> Answer {
    match tokio::time::timeout(wait, try_exchange(to, request)).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(err)) => Answer {
            error: format!("the connection broke: {err}"),
            ..Answer::default()
        },
        Err(_) => Answer {
            error: "no whole answer in time".to_owned(),
            ..Answer::default()
        },
    }
}

async fn try_exchange(to: SocketAddr, request: &[u8]) -> io::Result<Answer> {
    let mut stream = TcpStream::connect(to).await?;
    stream.set_nodelay(true)?;
    stream.write_all(request).await?;
    read_answer(&mut stream).await
}

/// Reads one answer.
pub async fn read_answer(stream: &mut TcpStream) -> io::Result<Answer> {
    let mut buf = Vec::new();
    let end = loop {
        if let Some(at) = buf.windows(4).position(|part| part == b"\r\n\r\n") {
            break at + 4;
        }
        if stream.read_buf(&mut buf).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    };
    let head = String::from_utf8_lossy(&buf[..end]).into_owned();
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let length = header(&head, "content-length").and_then(|text| text.parse::<usize>().ok());
    let mut rest = buf.split_off(end);
    let body = match length {
        Some(length) => {
            while rest.len() < length {
                if stream.read_buf(&mut rest).await? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
            rest
        }
        None if header(&head, "transfer-encoding").is_some() => read_chunks(stream, rest).await?,
        None => Vec::new(),
    };
    Ok(Answer {
        status,
        body,
        error: String::new(),
    })
}

async fn read_chunks(stream: &mut TcpStream, mut buf: Vec<u8>) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line = loop {
            if let Some(at) = buf.windows(2).position(|part| part == b"\r\n") {
                break at;
            }
            if stream.read_buf(&mut buf).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let size = String::from_utf8_lossy(&buf[..line]).trim().to_owned();
        let size = usize::from_str_radix(&size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        while buf.len() < line + 2 + size + 2 {
            if stream.read_buf(&mut buf).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        body.extend_from_slice(&buf[line + 2..line + 2 + size]);
        buf.drain(..line + 2 + size + 2);
        if size == 0 {
            return Ok(body);
        }
    }
}

/// The value of a header of `head`.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.split("\r\n").find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}
