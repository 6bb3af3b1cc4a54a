//! Encodes frames without a copy of a long body.

use bytes::{BufMut as _, Bytes, BytesMut};
use prost::{
    Message as _,
    encoding::{WireType, encode_key, encode_varint, encoded_len_varint, key_len},
};

use super::{Frame, Kind, frame::Ended};

/// Bodies up to this length are copied into their frame.
const SMALL_BODY_BYTES: usize = 8 * 1024;
/// The tags of a request and its body, and of a request's end, its answer and the answer's body.
const REQUEST_TAG: u32 = 2;
const REQUEST_BODY_TAG: u32 = 6;
const ENDED_TAG: u32 = 4;
const ENDED_ANSWER_TAG: u32 = 2;
const ANSWER_BODY_TAG: u32 = 3;

impl Frame {
    /// Encodes the frame behind its length. A long body is not copied but returned, and follows the
    /// encoded bytes on the wire, since the order of fields is free. A frame over `max` bytes is
    /// dropped.
    pub(super) fn encode_delimited(self, max: usize, buf: &mut BytesMut) -> Bytes {
        match self.kind {
            Some(Kind::Request(mut request)) if request.body.len() > SMALL_BODY_BYTES => {
                let body = std::mem::take(&mut request.body);
                let length = request.encoded_len() + field_len(REQUEST_BODY_TAG, body.len());
                if !put_length(field_len(REQUEST_TAG, length), max, buf) {
                    return Bytes::new();
                }
                begin_field(REQUEST_TAG, length, buf);
                request.encode_raw(buf);
                begin_field(REQUEST_BODY_TAG, body.len(), buf);
                body
            }
            Some(Kind::Ended(mut ended)) if has_long_body(&ended) => {
                let mut answer = ended.answer.take().unwrap_or_default();
                let body = std::mem::take(&mut answer.body);
                let answer_length = answer.encoded_len() + field_len(ANSWER_BODY_TAG, body.len());
                let length = ended.encoded_len() + field_len(ENDED_ANSWER_TAG, answer_length);
                if !put_length(field_len(ENDED_TAG, length), max, buf) {
                    return Bytes::new();
                }
                begin_field(ENDED_TAG, length, buf);
                ended.encode_raw(buf);
                begin_field(ENDED_ANSWER_TAG, answer_length, buf);
                answer.encode_raw(buf);
                begin_field(ANSWER_BODY_TAG, body.len(), buf);
                body
            }
            kind => {
                let frame = Self { kind };
                if put_length(frame.encoded_len(), max, buf) {
                    frame.encode_raw(buf);
                }
                Bytes::new()
            }
        }
    }
}

fn has_long_body(ended: &Ended) -> bool {
    let answer = ended.answer.as_ref();
    answer.is_some_and(|it| it.body.len() > SMALL_BODY_BYTES)
}

/// Puts a frame's length before it; false if the frame is too long.
fn put_length(length: usize, max: usize, buf: &mut BytesMut) -> bool {
    let prefix = u32::try_from(length).ok().filter(|_| length <= max);
    match prefix {
        Some(prefix) => buf.put_u32(prefix),
        None => log::warn!(length = length; "frame-too-long"),
    }
    prefix.is_some()
}

/// The length of a field with `length` bytes, including its tag.
fn field_len(tag: u32, length: usize) -> usize {
    key_len(tag) + encoded_len_varint(length as u64) + length
}

/// Encodes what comes before the `length` bytes of a field.
fn begin_field(tag: u32, length: usize, buf: &mut BytesMut) {
    encode_key(tag, WireType::LengthDelimited, buf);
    encode_varint(length as u64, buf);
}
