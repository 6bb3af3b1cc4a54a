//! Lookups in a table, and refusal of invalid tables.

use cassiashunt_mesh::{
    ClientLimits, InvalidTable, Repeat, RouteRow, ServiceRow, SiteTable, Target, WorkspaceRow,
};
use cassiashunt_types::prelude::*;

fn service(name: &str) -> Service {
    name.parse().expect("a valid name")
}

fn route(name: &str, host: &str, prefix: &str) -> RouteRow {
    RouteRow {
        name: name.parse().expect("a valid name"),
        host: host.into(),
        prefix: prefix.into(),
        repeat: Repeat::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_secs(1),
        rank: 1,
        targets: vec![Target {
            service: service("shop"),
            weight: 1.0,
        }],
        max_attempts: 2,
        is_public: false,
    }
}

fn workspace(name: &str, key: &str) -> WorkspaceRow {
    WorkspaceRow {
        name: name.parse().expect("a valid name"),
        full_name: name.into(),
        keys: vec![key.into()],
        rank: 1,
        rate: 1.0,
        burst: 1.0,
    }
}

fn table(routes: Vec<RouteRow>, workspaces: Vec<WorkspaceRow>) -> Result<SiteTable, InvalidTable> {
    SiteTable::new(
        1,
        routes,
        vec![ServiceRow::new(service("shop"))],
        workspaces,
        ClientLimits::default(),
    )
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let routes = vec![
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/x/y/z/"),
    ];
    let table = table(routes, Vec::new()).expect("the table is valid");
    let found = |host, path| table.route(host, path).map(|route| route.name.to_string());
    assert_eq!(found("a.example", "/x/y/z/1").as_deref(), Some("long"));
    assert_eq!(found("A.Example:8080", "/x/1").as_deref(), Some("short"));
    assert_eq!(found("a.example", "/x"), None);
    assert_eq!(found("c.example", "/x/"), None);
}

#[test]
fn invalid_tables_are_refused() {
    let same = vec![
        route("a", "a.example", "/x/"),
        route("b", "a.example", "/x/"),
    ];
    assert!(matches!(
        table(same, Vec::new()),
        Err(InvalidTable::DuplicateRoute(..))
    ));
    let missing_slash = vec![route("a", "a.example", "/x")];
    assert!(matches!(
        table(missing_slash, Vec::new()),
        Err(InvalidTable::MissingSlash(_))
    ));
    let no_host = vec![route("a", "", "/x/")];
    assert!(matches!(
        table(no_host, Vec::new()),
        Err(InvalidTable::NoHost(_))
    ));
    let unknown = RouteRow {
        targets: vec![Target {
            service: service("nowhere"),
            weight: 1.0,
        }],
        ..route("a", "a.example", "/x/")
    };
    assert!(matches!(
        table(vec![unknown], Vec::new()),
        Err(InvalidTable::UnknownService(..))
    ));
    let shared = vec![workspace("first", "key"), workspace("second", "key")];
    assert!(matches!(
        table(Vec::new(), shared),
        Err(InvalidTable::SharedKey(..))
    ));
}

#[test]
fn a_key_belongs_to_one_workspace() {
    let workspaces = vec![workspace("first", "key-1"), workspace("second", "key-2")];
    let table = table(Vec::new(), workspaces).expect("the table is valid");
    let owner = |key| table.workspace_of_key(key).map(|row| row.name.to_string());
    assert_eq!(owner("key-2").as_deref(), Some("second"));
    assert_eq!(owner("key-3"), None);
}
