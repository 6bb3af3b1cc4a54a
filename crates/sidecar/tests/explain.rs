//! The text by which a request is explained.

use std::time::Duration;

use cassiashunt_sidecar::explain::{
    Explanation, Fate, Price, RouteView, ServerView, WorkspaceView,
};

#[test]
fn the_text_has_a_line_for_each_thing_that_the_fate_rests_on() {
    let explained = Explanation {
        node: "node-1".into(),
        request: "GET shop.example/desk/read/1".into(),
        is_in_touch: true,
        table_version: 7,
        fate: Fate::Partly {
            bottleneck: "desk".into(),
            fraction: 0.42,
            room_in: Duration::from_millis(1_500),
        },
        route: Some(RouteView {
            name: "desk-read".into(),
            matches: "shop.example/desk/read/".into(),
            may_repeat: true,
            rank: 1,
            priority: 216,
            objective: Duration::from_millis(300),
            timeout: Duration::from_millis(1_500),
            targets: vec![("desk".into(), 1.0)],
        }),
        workspace: Some(WorkspaceView {
            name: "first".into(),
            rank: 0,
            rate: 400.0,
            burst: 80.0,
            tokens: 12.25,
        }),
        prices: vec![Price {
            service: "desk".into(),
            slot_time: Duration::from_millis(220),
            slots: 58.0,
            busy: 61.0,
            admitted: 0.5,
        }],
        servers: vec![
            ServerView {
                service: "desk".into(),
                owner: "node-2".into(),
                domain: "east".into(),
                slots: 8,
                utilisation: 0.75,
                cost: 0.875,
                left_out: None,
            },
            ServerView {
                service: "desk".into(),
                owner: "node-3".into(),
                domain: "west".into(),
                slots: 8,
                left_out: Some("it takes no more work"),
                ..ServerView::default()
            },
        ],
    };
    assert_eq!(
        explained.to_string(),
        "\
request    GET shop.example/desk/read/1
node       node-1, in touch, table version 7
fate       42% of such requests sent, the others refused with 503 shed: desk is short of room, for 1500 ms more as expected
route      desk-read (shop.example/desk/read/), may repeat, rank 1, priority 216, objective 300 ms, time limit 1500 ms
target     desk, 100% of the requests
workspace  first, rank 0, limit 400/s and 80 in a burst, 12.2 at this node now
price      desk: 220 ms of a slot, 61 of 58 slots busy, 50% of its priority let in
server     desk at node-2 in east: 75% of 8 slots, cost 0.875
server     desk at node-3 in west: 0% of 8 slots, left out: it takes no more work
"
    );
}

#[test]
fn a_refusal_is_told_with_its_status_and_its_ground() {
    let explained = Explanation {
        fate: Fate::Refused {
            status: 404,
            reason: "unknown-route",
            because: "no route matches host and path".into(),
        },
        ..Explanation::default()
    };
    let text = explained.to_string();
    assert!(
        text.contains("refused with 404 unknown-route: no route matches host and path"),
        "{text}"
    );
}
