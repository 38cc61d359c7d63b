//! Postcard codec for tarpc messages.
//!
//! Turns are mostly bytes, which JSON would encode as arrays of numbers.

use std::io;
use std::marker::PhantomData;
use std::pin::Pin;

use bytes::{Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tarpc::{ClientMessage, Response, tokio_serde};
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::{service, traffic};

/// Longest message, in bytes: a chain of a few hundred turns.
pub const MAX_FRAME: usize = 16 << 20;

/// Codec that decodes `In` and encodes `Out`.
#[derive(Debug)]
pub struct Postcard<In, Out>(PhantomData<fn() -> (In, Out)>);

impl<In, Out> Default for Postcard<In, Out> {
    fn default() -> Self {
        Self(PhantomData)
    }
}

impl<In, Out: Serialize> tokio_serde::Serializer<Out> for Postcard<In, Out> {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, item: &Out) -> io::Result<Bytes> {
        let buf = postcard::to_stdvec(item).map_err(invalid)?;
        Ok(Bytes::from(buf))
    }
}

impl<In: DeserializeOwned, Out> tokio_serde::Deserializer<In> for Postcard<In, Out> {
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, src: &BytesMut) -> io::Result<In> {
        postcard::from_bytes(src).map_err(invalid)
    }
}

/// Codec of a replica's caller, which counts messages to and from other data centres.
#[derive(Clone, Copy, Debug)]
pub struct Caller {
    /// Whether the replica is in another data centre.
    pub is_remote: bool,
}

impl tokio_serde::Serializer<ClientMessage<service::ReplicaRequest>> for Caller {
    type Error = io::Error;

    fn serialize(
        self: Pin<&mut Self>,
        item: &ClientMessage<service::ReplicaRequest>,
    ) -> io::Result<Bytes> {
        let buf = postcard::to_stdvec(item).map_err(invalid)?;
        if self.is_remote {
            traffic::count_request(item, buf.len());
        }
        Ok(Bytes::from(buf))
    }
}

impl tokio_serde::Deserializer<Response<service::ReplicaResponse>> for Caller {
    type Error = io::Error;

    fn deserialize(
        self: Pin<&mut Self>,
        src: &BytesMut,
    ) -> io::Result<Response<service::ReplicaResponse>> {
        let message = postcard::from_bytes(src).map_err(invalid)?;
        if self.is_remote {
            traffic::count_reply(&message, src.len());
        }
        Ok(message)
    }
}

/// Length-delimited frames on a connection.
pub fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME)
        .new_framed(stream)
}

fn invalid(err: postcard::Error) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, err)
}
