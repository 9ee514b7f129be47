//! Addresses of the workers of a rack.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Place of the worker's number in a template, counted from 1.
const NUMBER: &str = "{worker}";

/// One address per worker, `ip:port`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged, expecting = "a template such as \"10.1.1.{worker}:8080\" or a list of \"ip:port\"")]
pub enum Addresses {
    /// Address with `{worker}` in place of the worker's number, counted from 1.
    Template(String),
    /// Address of each worker in the order of their numbers.
    List(Vec<String>),
}

impl Addresses {
    /// Address of the worker with this number, counted from 1.
    ///
    /// # Errors
    ///
    /// Fails with the text that is not an address, or with an empty text if there is none for the worker.
    pub fn resolve(&self, number: u32) -> Result<SocketAddr, String> {
        let text = match self {
            Self::Template(template) => template.replace(NUMBER, &number.to_string()),
            Self::List(list) => list.get(number.saturating_sub(1) as usize).cloned().unwrap_or_default(),
        };
        text.parse().map_err(|_| text)
    }
}
