//! A chart as it is written in TOML.

use serde::Deserialize;

/// The whole file.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(crate) struct File {
    pub states: Vec<String>,
    pub events: Vec<String>,
    pub initial: String,
    #[serde(default, rename = "final")]
    pub last: Vec<String>,
    #[serde(default)]
    pub transitions: Vec<Row>,
}

/// One `[[transitions]]` table; it stands for a transition from each state in `from`.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(crate) struct Row {
    pub from: Vec<String>,
    pub event: String,
    pub to: String,
    pub action: Option<String>,
}
