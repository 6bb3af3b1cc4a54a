//! The table in the form that the request path asks.

use std::{collections::HashMap, hash::Hash};

use cassiashunt_types::{Class, Revision, Route, Workspace};

use crate::{
    Binding, Endpoint, Head, KeyEntry, Pattern, RequestPolicy, RowKey, Scope, Table, Verifier,
    partial::Partial,
};

/// The bits of a packed row number that one name takes.
const NAME_BITS: u32 = 21;
/// The number that stands for every name.
const ANY: u64 = 0;
/// How many rows can cover a request.
const SHAPES: usize = 8;

/// Numbers for the names of one kind that the table mentions.
#[derive(Debug)]
struct Names<T> {
    numbers: HashMap<T, u64>,
}

impl<T> Default for Names<T> {
    fn default() -> Self {
        Self {
            numbers: HashMap::new(),
        }
    }
}

impl<T: Copy + Eq + Hash> Names<T> {
    fn add(&mut self, pattern: Pattern<T>) -> u64 {
        let Pattern::Is(name) = pattern else {
            return ANY;
        };
        let next = self.numbers.len() as u64 + 1;
        *self.numbers.entry(name).or_insert(next)
    }

    /// The name's number, or nothing where no row mentions it.
    fn find(&self, name: &T) -> u64 {
        self.numbers.get(name).copied().unwrap_or(ANY)
    }
}

#[derive(Debug)]
struct Bound {
    endpoint: Endpoint,
    binding: Binding,
}

/// The compiled, immutable form of a [`Head`].
///
/// A cell comes from the most specific row that sets its column. The workspace counts most, then
/// the route, then the class: `w,r,c`, `w,r,*`, `w,*,c`, `w,*,*`, `*,r,c`, `*,r,*`, `*,*,c`,
/// `*,*,*`, and at last the built-in defaults of [`RequestPolicy`].
#[derive(Debug, Default)]
pub struct Lookup {
    revision: Revision,
    workspaces: Names<Workspace>,
    routes: Names<Route>,
    classes: Names<Class>,
    shapes: [bool; SHAPES],
    rows: HashMap<u64, Partial>,
    endpoints: HashMap<String, Vec<Bound>>,
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

    /// What the table says about a request.
    #[must_use]
    pub fn resolve(&self, workspace: Workspace, route: Route, class: Class) -> RequestPolicy {
        self.resolve_numbers(self.workspaces.find(&workspace), route, class)
    }

    /// What the table says about a request of a caller without a workspace.
    #[must_use]
    pub fn resolve_anonymous(&self, route: Route, class: Class) -> RequestPolicy {
        self.resolve_numbers(ANY, route, class)
    }

    /// What a request of this method and path, without its query, is taken for.
    ///
    /// The longest prefix wins, and then a method over `*`.
    #[must_use]
    pub fn bind(&self, method: &str, path: &str) -> Option<Binding> {
        let find = |segment| {
            let bounds: &Vec<Bound> = self.endpoints.get(segment)?;
            let fits = |bound: &&Bound| bound.endpoint.matches(method, path);
            bounds.iter().find(fits).map(|bound| bound.binding)
        };
        find(first_segment(path)).or_else(|| find(""))
    }

    /// The key whose verifier this is.
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
        let mut cells = Partial::default();
        for shape in (0..SHAPES).rev().filter(|shape| self.shapes[*shape]) {
            let row = covering(shape, names).and_then(|row| self.rows.get(&row));
            cells = row.map_or(cells, |row| cells.or(row));
        }
        cells.finish()
    }

    fn add_rows(&mut self, table: &Table) {
        for (key, row) in table.rows() {
            let number = pack([
                self.workspaces.add(key.workspace),
                self.routes.add(key.route),
                self.classes.add(key.class),
            ]);
            self.shapes[shape_of(key)] = true;
            self.rows.insert(number, Partial::new(row, scope_of(key)));
        }
    }

    fn add_routes(&mut self, table: &Table) {
        for (endpoint, binding) in table.routes() {
            let segment = first_segment(endpoint.prefix()).to_owned();
            let bound = Bound {
                endpoint: endpoint.clone(),
                binding: *binding,
            };
            self.endpoints.entry(segment).or_default().push(bound);
        }
        for bounds in self.endpoints.values_mut() {
            bounds.sort_by_key(|bound| {
                let length = bound.endpoint.prefix().len();
                (std::cmp::Reverse(length), bound.endpoint.method().is_any())
            });
        }
    }
}

/// A row's shape: one bit for each name that it gives, the workspace's highest.
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

/// The row of this shape that covers a request, unless the table lacks one of its names.
fn covering(shape: usize, names: [u64; 3]) -> Option<u64> {
    let mut row = [ANY; 3];
    for (place, bit) in [4, 2, 1].into_iter().enumerate() {
        if shape & bit == 0 {
            continue;
        }
        if names[place] == ANY {
            return None;
        }
        row[place] = names[place];
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
