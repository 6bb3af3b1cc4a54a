//! Limits of workspaces while their home is restarted.

mod support;

use std::{
    io::{Read as _, Write as _},
    net::{TcpListener, TcpStream},
};

use prost::Message as _;
use support::site::{Site, read};

/// The frames of a link that this test sends or waits for.
#[derive(Clone, PartialEq, prost::Message)]
struct Frame {
    #[prost(message, optional, tag = "5")]
    load: Option<Load>,
    #[prost(message, optional, tag = "9")]
    delegate: Option<Delegate>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct Load {
    #[prost(uint64, tag = "10")]
    table_version: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct Delegate {}

fn send_load(stream: &mut TcpStream, table_version: u64) {
    let load = Some(Load { table_version });
    let bytes = Frame {
        load,
        delegate: None,
    }
    .encode_to_vec();
    let length = u32::try_from(bytes.len()).expect("the frame is too long");
    let sent = stream.write_all(&[&length.to_be_bytes(), &bytes[..]].concat());
    sent.expect("the node closed the link");
}

fn await_delegate(stream: &mut TcpStream) {
    loop {
        let mut length = [0; 4];
        stream.read_exact(&mut length).expect("the link ended");
        let mut bytes = vec![0; u32::from_be_bytes(length) as usize];
        stream.read_exact(&mut bytes).expect("the link ended");
        let frame = Frame::decode(&bytes[..]).expect("not a frame");
        if frame.delegate.is_some() {
            return;
        }
    }
}

/// The home's link is lost just after the node has chosen homes, and is up again before the next
/// time.
#[test]
fn a_new_start_of_a_home_without_a_table_refuses_no_request() {
    let site = Site::start("site-homes", &["shop"]);
    let home = TcpListener::bind("127.0.0.1:0").expect("cannot bind a port on loopback");
    let address = home.local_addr().expect("the listener has no address");
    let entry = site.store.value("cassiashunt/nodes/node-0");
    let entry = entry.expect("the node has no entry");
    let mut entry: serde_json::Value = serde_json::from_slice(&entry).expect("not JSON");
    entry["address"] = address.to_string().into();
    entry["incarnation"] = 7.into();
    entry["service"] = "desk".into();
    site.store
        .put("cassiashunt/nodes/node-1", &entry.to_string());
    for round in 0..8 {
        let (mut old, _) = home.accept().expect("no link");
        send_load(&mut old, 1);
        await_delegate(&mut old);
        await_delegate(&mut old);
        drop(old);
        let (mut new, _) = home.accept().expect("no link");
        send_load(&mut new, 0);
        let status = site.members[0].status_of(&read("shop"));
        assert_eq!(status, 200, "round {round}");
    }
}
