//! Length-delimited framing of [`Frame`]s.

use std::fmt;

use bytes::{Bytes, BytesMut};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// The longest frame, in bytes.
const MAX_FRAME_BYTES: usize = 1 << 20;

/// Why bytes could not be read as a message, or a message not written.
#[derive(Debug)]
pub enum CodecError {
    /// The length prefix is over the limit, or the frame cannot be written.
    Length(std::io::Error),
    /// The frame is no message.
    Malformed(prost::DecodeError),
}

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Length(err) => write!(f, "frame length: {err}"),
            Self::Malformed(err) => write!(f, "malformed frame: {err}"),
        }
    }
}

impl std::error::Error for CodecError {}

/// Writes messages to and reads them from a byte buffer.
#[derive(Debug)]
pub struct FrameCodec {
    inner: LengthDelimitedCodec,
}

impl Default for FrameCodec {
    fn default() -> Self {
        let inner = LengthDelimitedCodec::builder()
            .length_field_type::<u32>()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        Self { inner }
    }
}

impl FrameCodec {
    /// Appends `message` to `buf`.
    ///
    /// # Errors
    ///
    /// [`CodecError::Length`] where the message is too long.
    pub fn encode<M: Message>(
        &mut self,
        message: &M,
        buf: &mut BytesMut,
    ) -> Result<(), CodecError> {
        let bytes = Bytes::from(message.encode_to_vec());
        self.inner.encode(bytes, buf).map_err(CodecError::Length)
    }

    /// Takes the next whole message off `buf`; `None` where more bytes are needed.
    ///
    /// # Errors
    ///
    /// After an error the connection cannot be read any further.
    pub fn decode<M: Message + Default>(
        &mut self,
        buf: &mut BytesMut,
    ) -> Result<Option<M>, CodecError> {
        let Some(frame) = self.inner.decode(buf).map_err(CodecError::Length)? else {
            return Ok(None);
        };
        M::decode(frame).map(Some).map_err(CodecError::Malformed)
    }
}
