//! The compiled form of the table, for lookups on the request path.

use std::{collections::HashMap, hash::Hash};

use cassiashunt_types::{Class, Revision, Route, Workspace};

use crate::{
    Binding, Endpoint, Head, KeyEntry, Pattern, RequestPolicy, RowKey, Scope, Table, Verifier,
    partial::Partial,
};

/// The bits of a packed row key that one name number occupies; three fit in a `u64`.
const NAME_BITS: u32 = 21;
/// The number of the wildcard, and of names that no row contains.
const WILDCARD: u64 = 0;
/// The number of row shapes, and so the maximum number of rows that match a request.
const SHAPE_COUNT: usize = 8;

/// Assigns numbers to the workspaces, routes or classes that appear in row keys.
#[derive(Debug)]
struct NameNumbers<T> {
    numbers: HashMap<T, u64>,
}

impl<T> Default for NameNumbers<T> {
    fn default() -> Self {
        Self {
            numbers: HashMap::new(),
        }
    }
}

impl<T: Copy + Eq + Hash> NameNumbers<T> {
    fn add(&mut self, pattern: Pattern<T>) -> u64 {
        let Pattern::Is(name) = pattern else {
            return WILDCARD;
        };
        let next = self.numbers.len() as u64 + 1;
        *self.numbers.entry(name).or_insert(next)
    }

    /// The name's number, or [`WILDCARD`] if no row contains the name.
    fn find(&self, name: &T) -> u64 {
        self.numbers.get(name).copied().unwrap_or(WILDCARD)
    }
}

#[derive(Debug)]
struct BoundEndpoint {
    endpoint: Endpoint,
    binding: Binding,
}

/// The compiled, immutable form of a [`Head`].
///
/// Each column's value comes from the most specific row that sets it. The workspace has the
/// highest precedence, then the route, then the class: `w,r,c`, `w,r,*`, `w,*,c`, `w,*,*`,
/// `*,r,c`, `*,r,*`, `*,*,c`, `*,*,*`, and finally the built-in defaults of [`RequestPolicy`].
#[derive(Debug, Default)]
pub struct Lookup {
    revision: Revision,
    workspaces: NameNumbers<Workspace>,
    routes: NameNumbers<Route>,
    classes: NameNumbers<Class>,
    shapes: [bool; SHAPE_COUNT],
    rows: HashMap<u64, Partial>,
    endpoints: HashMap<String, Vec<BoundEndpoint>>,
    keys: HashMap<Verifier, KeyEntry>,
}

impl Lookup {
    /// Compiles a head.
    #[must_use]
    pub fn new(head: &Head) -> Self {
        let mut lookup = Self {
            revision: head.revision(),
            ..Self::default()
        };
        lookup.add_rows(head.table());
        lookup.add_routes(head.table());
        for (id, record) in head.keys().iter() {
            let entry = KeyEntry {
                id,
                workspace: record.workspace,
                state: record.state,
                changed: record.changed,
            };
            lookup.keys.insert(record.verifier, entry);
        }
        lookup
    }

    /// The revision of the head.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// The policy for the requests of a workspace, route and class.
    #[must_use]
    pub fn resolve(&self, workspace: Workspace, route: Route, class: Class) -> RequestPolicy {
        self.resolve_numbers(self.workspaces.find(&workspace), route, class)
    }

    /// The policy for requests of callers without a workspace, which only rows with the workspace
    /// `*` match.
    #[must_use]
    pub fn resolve_anonymous(&self, route: Route, class: Class) -> RequestPolicy {
        self.resolve_numbers(WILDCARD, route, class)
    }

    /// The binding of a request with this method and path (without the query), or `None` if no
    /// endpoint matches.
    ///
    /// The longest matching prefix takes precedence, then a named method over `*`.
    #[must_use]
    pub fn bind(&self, method: &str, path: &str) -> Option<Binding> {
        let find_in = |segment| {
            let candidates: &Vec<BoundEndpoint> = self.endpoints.get(segment)?;
            let matches = |bound: &&BoundEndpoint| bound.endpoint.matches(method, path);
            candidates.iter().find(matches).map(|bound| bound.binding)
        };
        find_in(first_segment(path)).or_else(|| find_in(""))
    }

    /// The key with this verifier, or `None` if it is not known.
    #[must_use]
    pub fn key(&self, verifier: &Verifier) -> Option<KeyEntry> {
        self.keys.get(verifier).copied()
    }

    fn resolve_numbers(&self, workspace: u64, route: Route, class: Class) -> RequestPolicy {
        let names = [
            workspace,
            self.routes.find(&route),
            self.classes.find(&class),
        ];
        let mut merged = Partial::default();
        for shape in (0..SHAPE_COUNT).rev().filter(|shape| self.shapes[*shape]) {
            let row = packed_key(shape, names).and_then(|key| self.rows.get(&key));
            merged = row.map_or(merged, |row| merged.or(row));
        }
        merged.finish()
    }

    fn add_rows(&mut self, table: &Table) {
        for (key, row) in table.rows() {
            let packed = pack([
                self.workspaces.add(key.workspace),
                self.routes.add(key.route),
                self.classes.add(key.class),
            ]);
            self.shapes[shape_of(key)] = true;
            self.rows.insert(packed, Partial::new(row, scope_of(key)));
        }
    }

    fn add_routes(&mut self, table: &Table) {
        for (endpoint, binding) in table.routes() {
            let segment = first_segment(endpoint.prefix()).to_owned();
            let bound = BoundEndpoint {
                endpoint: endpoint.clone(),
                binding: *binding,
            };
            self.endpoints.entry(segment).or_default().push(bound);
        }
        for candidates in self.endpoints.values_mut() {
            candidates.sort_by_key(|bound| {
                let length = bound.endpoint.prefix().len();
                (std::cmp::Reverse(length), bound.endpoint.method().is_any())
            });
        }
    }
}

/// The shape of a row: one bit for each of its names that is not `*`, 4 for the workspace, 2 for
/// the route and 1 for the class. A higher shape is more specific.
fn shape_of(key: &RowKey) -> usize {
    let bit = |any: bool, bit: usize| if any { 0 } else { bit };
    bit(key.workspace.is_any(), 4) + bit(key.route.is_any(), 2) + bit(key.class.is_any(), 1)
}

fn scope_of(key: &RowKey) -> Scope {
    Scope {
        route: !key.route.is_any(),
        class: !key.class.is_any(),
    }
}

/// The packed key of the row of this shape that would match a request, or `None` if no row
/// contains one of the names.
fn packed_key(shape: usize, names: [u64; 3]) -> Option<u64> {
    let mut row = [WILDCARD; 3];
    for (index, bit) in [4, 2, 1].into_iter().enumerate() {
        if shape & bit == 0 {
            continue;
        }
        if names[index] == WILDCARD {
            return None;
        }
        row[index] = names[index];
    }
    Some(pack(row))
}

fn pack(row: [u64; 3]) -> u64 {
    row.into_iter()
        .fold(0, |packed, name| packed << NAME_BITS | name)
}

fn first_segment(path: &str) -> &str {
    let path = path.strip_prefix('/').unwrap_or(path);
    path.split('/').next().unwrap_or_default()
}
