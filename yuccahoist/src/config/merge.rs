//! JSON merge patch (RFC 7396).

use serde_json::{Map, Value};

/// Merges `patch` into `target`: a null removes a field, and any value other than an object replaces the target.
pub fn merge(target: &mut Value, patch: &Value) {
    let Value::Object(fields) = patch else {
        *target = patch.clone();
        return;
    };
    if !target.is_object() {
        *target = Value::Object(Map::new());
    }
    let Value::Object(object) = target else { return };
    for (key, value) in fields {
        if value.is_null() {
            object.remove(key);
        } else {
            merge(object.entry(key.as_str()).or_insert(Value::Null), value);
        }
    }
}
