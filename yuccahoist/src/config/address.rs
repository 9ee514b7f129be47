//! Worker addresses in the rack sections.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Placeholder in a template for the number of the worker.
const NUMBER_PLACEHOLDER: &str = "{worker}";

/// Addresses of the workers of a rack, one `ip:port` per worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged, expecting = "a template such as \"10.1.1.{worker}:8080\" or a list of \"ip:port\"")]
pub enum Addresses {
    /// Template in which `{worker}` stands for the number of the worker, counted from 1.
    Template(String),
    /// One address per worker, in the order of the worker numbers.
    List(Vec<String>),
}

impl Addresses {
    /// Returns the address of the worker with this number, counted from 1.
    ///
    /// # Errors
    ///
    /// Returns the text that is not a valid address; it is empty if the list has no entry for the worker.
    pub fn resolve(&self, number: u32) -> Result<SocketAddr, String> {
        let text = match self {
            Self::Template(template) => template.replace(NUMBER_PLACEHOLDER, &number.to_string()),
            Self::List(list) => list.get(number.saturating_sub(1) as usize).cloned().unwrap_or_default(),
        };
        text.parse().map_err(|_| text)
    }
}
