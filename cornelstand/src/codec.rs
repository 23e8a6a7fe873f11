//! Codec for messages between instances.

use std::io;
use std::marker::PhantomData;
use std::pin::Pin;

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use tokio_serde::{Deserializer, Serializer};

/// Postcard codec that decodes `In` and encodes `Out` messages.
pub(crate) struct Postcard<In, Out>(PhantomData<fn(Out) -> In>);

impl<In, Out> Default for Postcard<In, Out> {
    fn default() -> Self {
        Self(PhantomData)
    }
}

impl<In, Out: Serialize> Serializer<Out> for Postcard<In, Out> {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, item: &Out) -> io::Result<Bytes> {
        postcard::to_stdvec(item).map(Bytes::from).map_err(invalid)
    }
}

impl<In, Out> Deserializer<In> for Postcard<In, Out>
where
    In: for<'de> Deserialize<'de>,
{
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, frame: &BytesMut) -> io::Result<In> {
        postcard::from_bytes(frame).map_err(invalid)
    }
}

fn invalid(error: postcard::Error) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}
