//! Path and headers of the request that runs an item.

use amaranth_wire::batch_entry::ItemRequest;
use http::header::HOST;
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderName, HeaderValue};

use crate::attempt::strip_connection_headers;

/// Result of reading an item's head; the error names the invalid part.
pub type Result<T> = std::result::Result<T, String>;

/// Head of an item's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ItemHead {
    /// Path and query.
    pub path: PathAndQuery,
    /// Headers of the item, without those of a single connection, and the host of its route.
    pub headers: HeaderMap,
}

impl ItemHead {
    /// Reads the head of an item of a route at a host.
    pub fn new(input: &ItemRequest, host: &str) -> Result<Self> {
        let path = input.path.parse();
        let path = path.map_err(|e| format!("path {:?}: {e}", input.path))?;
        let mut headers = HeaderMap::new();
        for (name, value) in &input.headers {
            let key: HeaderName = name
                .parse()
                .map_err(|e| format!("header name {name:?}: {e}"))?;
            headers.insert(key, header_value(name, value)?);
        }
        // A length that isn't the body's would make the upstream take the next request for the rest of it.
        strip_connection_headers(&mut headers);
        headers.insert(HOST, header_value("host", host)?);
        Ok(Self { path, headers })
    }
}

fn header_value(name: &str, value: &str) -> Result<HeaderValue> {
    HeaderValue::from_str(value).map_err(|e| format!("header {name:?}: {e}"))
}
