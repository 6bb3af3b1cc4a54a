//! What a node spends on telling peers of strikes.

mod support;

use std::{
    io::{Read as _, Write as _},
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

use cassiashunt_standin::site::open;
use prost::Message as _;
use support::site::Site;

/// The most memory that a node may use.
const MAX_NODE_BYTES: u64 = 64 << 20;
/// The most requests with strikes that a node keeps.
const MAX_SUSPECTS: u64 = 1_024;

/// The frames of a link that this test sends.
#[derive(Clone, PartialEq, prost::Message)]
struct Frame {
    #[prost(message, optional, tag = "1")]
    hello: Option<Hello>,
    #[prost(message, optional, tag = "14")]
    up: Option<Up>,
    #[prost(message, optional, tag = "18")]
    strikes: Option<Strikes>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct Hello {
    #[prost(uint64, tag = "1")]
    incarnation: u64,
    #[prost(string, tag = "2")]
    name: String,
}

/// A report of the aggregation tree, with an empty sum.
#[derive(Clone, PartialEq, prost::Message)]
struct Up {
    #[prost(bytes = "vec", optional, tag = "1")]
    sum: Option<Vec<u8>>,
    #[prost(message, optional, tag = "5")]
    known: Option<Known>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct Known {
    #[prost(fixed64, tag = "3")]
    strikes: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct Strikes {
    #[prost(message, repeated, tag = "1")]
    strikes: Vec<Strike>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct Strike {
    #[prost(fixed64, tag = "1")]
    fingerprint: u64,
    #[prost(fixed64, tag = "2")]
    owner: u64,
    #[prost(uint32, tag = "3")]
    number: u32,
}

fn send(stream: &mut TcpStream, frame: &Frame) {
    let bytes = frame.encode_to_vec();
    let length = u32::try_from(bytes.len()).expect("the frame is too long");
    let sent = stream.write_all(&[&length.to_be_bytes(), &bytes[..]].concat());
    sent.expect("the node closed the link");
}

fn report(known: u64) -> Frame {
    Frame {
        up: Some(Up {
            sum: Some(Vec::new()),
            known: Some(Known { strikes: known }),
        }),
        ..Frame::default()
    }
}

/// A link to a node that knows as many strikes as it keeps.
fn link_to_full_node(site: &Site) -> TcpStream {
    let mut stream = open(site.members[0].peers).expect("cannot connect to the node");
    let hello = Hello {
        incarnation: 7,
        name: "stranger".into(),
    };
    let strikes = (1..=MAX_SUSPECTS).map(|fingerprint| Strike {
        fingerprint,
        owner: 7,
        number: 1,
    });
    let frame = Frame {
        hello: Some(hello),
        ..Frame::default()
    };
    send(&mut stream, &frame);
    let strikes = Strikes {
        strikes: strikes.collect(),
    };
    let frame = Frame {
        strikes: Some(strikes),
        ..Frame::default()
    };
    send(&mut stream, &frame);
    stream
}

#[test]
fn strikes_for_a_peer_that_reads_slowly_do_not_fill_the_memory() {
    let site = Site::start("site-strikes-memory", &["shop"]);
    let mut stream = link_to_full_node(&site);
    // Each report tells of other strikes than the last, as while servers crash.
    for known in 1..=3_000 {
        send(&mut stream, &report(known));
    }
    // Longer than the node takes to answer the reports.
    thread::sleep(Duration::from_secs(6));
    let (peak, _) = site.members[0].node.resource_usage();
    assert!(peak <= MAX_NODE_BYTES, "{peak} bytes");
}

#[test]
fn a_peer_is_told_of_no_more_strikes_in_a_second_than_a_node_keeps() {
    let site = Site::start("site-strikes-rate", &["shop"]);
    let mut stream = link_to_full_node(&site);
    let began = Instant::now();
    for known in 1..=100 {
        send(&mut stream, &report(known));
        thread::sleep(Duration::from_millis(10));
    }
    let timeout = stream.set_read_timeout(Some(Duration::from_millis(300)));
    timeout.expect("cannot set the timeout");
    let mut received = 0;
    let mut length = [0; 4];
    while stream.read_exact(&mut length).is_ok() && began.elapsed() < Duration::from_secs(4) {
        let mut bytes = vec![0; u32::from_be_bytes(length) as usize];
        let read = stream.read_exact(&mut bytes);
        read.expect("the node closed the link");

        let frame = Frame::decode(&bytes[..]).expect("not a frame");
        received += frame.strikes.map_or(0, |it| it.strikes.len());
    }
    let seconds = began.elapsed().as_secs() + 1;
    let most = (1 + seconds) * MAX_SUSPECTS;
    assert!(received as u64 <= most, "{received} strikes in {seconds} s");
}
