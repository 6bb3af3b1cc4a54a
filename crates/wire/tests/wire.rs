//! Framing, handshake and seals, with damaged and hostile input.

use bytes::{Bytes, BytesMut};
use cassiashunt_property::check;
use cassiashunt_types::{NodeId, Reason, Refusal, prelude::Duration};
use cassiashunt_wire::*;

fn frame(request: u64, data: &'static [u8]) -> Frame {
    Frame::new(
        request,
        Body::Chunk(Chunk {
            data: Bytes::from_static(data),
        }),
    )
}

#[test]
fn frames_survive_any_split_of_the_stream() {
    check(|u| {
        let mut codec = FrameCodec::default();
        let mut stream = BytesMut::new();
        let sent = [frame(1, b"one"), frame(2, b""), frame(3, b"three")];
        for f in &sent {
            codec.encode(f, &mut stream).expect("small frames fit");
        }
        let (mut buf, mut read) = (BytesMut::new(), Vec::new());
        while !stream.is_empty() {
            let n = u.int_in_range(1..=stream.len())?;
            buf.extend_from_slice(&stream.split_to(n));
            while let Some(f) = codec
                .decode::<Frame>(&mut buf)
                .expect("the stream is whole")
            {
                read.push(f);
            }
        }
        assert_eq!(read, sent);
        Ok(())
    });
}

#[test]
fn a_frame_of_a_kind_that_this_build_does_not_know_has_no_body() {
    let mut codec = FrameCodec::default();
    let mut buf = BytesMut::new();
    // Length 5; field 1 (the request) is 7; field 100 is an empty message.
    buf.extend_from_slice(&[0, 0, 0, 5, 0x08, 7, 0xa2, 0x06, 0]);
    let read = codec.decode::<Frame>(&mut buf).expect("well formed");
    let expected = Frame {
        request: 7,
        body: None,
    };
    assert_eq!(read, Some(expected));
}

#[test]
fn arbitrary_bytes_never_panic_the_decoder() {
    check(|u| {
        let mut buf = BytesMut::from(u.bytes(u.len().min(256))?);
        let mut codec = FrameCodec::default();
        while let Ok(Some(_)) = codec.decode::<Frame>(&mut buf) {}
        Ok(())
    });
}

#[test]
fn a_length_prefix_over_the_limit_is_refused_before_it_is_buffered() {
    let mut buf = BytesMut::from(&[0xff, 0xff, 0xff, 0xff, 0][..]);
    let read = FrameCodec::default().decode::<Frame>(&mut buf);
    assert!(matches!(read, Err(CodecError::Length(_))));
}

#[test]
fn every_refusal_survives_the_wire() {
    for &reason in Reason::ALL {
        for refusal in [Refusal::not_run(reason), Refusal::may_have_run(reason)] {
            let refusal = refusal.retry_after(Duration::from_millis(250));
            assert_eq!(Refusal::from(&Refused::from(refusal)), refusal);
        }
    }
}

#[test]
fn nodes_with_the_same_secret_shake_hands() {
    let secret = Secret::new(b"secret");
    let dialer = Dialer::new(NodeId(1));
    let listener = Listener::new(NodeId(2), &secret, dialer.hello().clone()).expect("same version");
    let (seen, proof) = dialer
        .finish(&secret, listener.welcome())
        .expect("same secret");
    assert_eq!(seen, NodeId(2));
    assert_eq!(listener.finish(&secret, &proof), Ok(NodeId(1)));
}

#[test]
fn a_peer_with_another_secret_is_refused_on_both_sides() {
    let (ours, theirs) = (Secret::new(b"ours"), Secret::new(b"theirs"));
    let dialer = Dialer::new(NodeId(1));
    let listener = Listener::new(NodeId(2), &theirs, dialer.hello().clone()).expect("same version");
    let refused = dialer.finish(&ours, listener.welcome()).err();
    assert_eq!(refused, Some(HandshakeError::Credential));
    let forged = Proof { code: vec![0; 32] };
    assert_eq!(
        listener.finish(&ours, &forged),
        Err(HandshakeError::Credential)
    );
    let dialer = Dialer::new(NodeId(1));
    let listener = Listener::new(NodeId(2), &ours, dialer.hello().clone()).expect("same version");
    assert_eq!(
        listener.finish(&ours, &Proof { code: vec![] }),
        Err(HandshakeError::Credential)
    );
}

#[test]
fn a_damaged_or_misdirected_datagram_is_dropped() {
    let secret = Secret::new(b"secret");
    let (a, b) = (
        Seal::new(NodeId(1), secret.clone()),
        Seal::new(NodeId(2), secret),
    );
    let datagram = a.seal(Some(NodeId(2)), Kind::Member, b"hello".to_vec());
    assert_eq!(b.open(&datagram).expect("sealed for b").payload, b"hello");
    for at in 0..datagram.len() {
        let mut damaged = datagram.clone();
        damaged[at] ^= 1;
        assert!(b.open(&damaged).is_err(), "byte {at}");
    }
    let other = Seal::new(NodeId(3), Secret::new(b"secret"));
    assert_eq!(other.open(&datagram), Err(SealError::Misdirected));
    assert_eq!(b.open(&[]), Err(SealError::Short));
}
