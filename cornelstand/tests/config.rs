//! Queries on a configuration.

use cornelstand::{CellId, Config};

fn config(cells: u16) -> Config {
    serde_json::from_str(&format!(
        r#"{{ "services": {{ "quotes": {{ "kind": "model", "cells": {cells}, "estimate": 100 }} }},
             "endpoints": {{
               "e1": {{ "service": "quotes", "centre": "a", "address": "127.0.0.1:1", "cold": 1, "warm": 4 }},
               "e2": {{ "service": "quotes", "centre": "a", "address": "127.0.0.1:2", "cold": 1, "warm": 4 }},
               "e3": {{ "service": "quotes", "centre": "b", "address": "127.0.0.1:3", "cold": 1, "warm": 4 }}
             }} }}"#
    ))
    .expect("valid configuration")
}

#[test]
fn cells_divide_the_endpoints_without_overlap() {
    let config = config(2);
    let cells: Vec<CellId> = config.cells().collect();
    let counts: Vec<usize> = cells
        .iter()
        .map(|c| config.cell_endpoints(c).count())
        .collect();
    assert_eq!(counts, [2, 1]);
    for cell in &cells {
        for (name, _) in config.cell_endpoints(cell) {
            assert_eq!(config.cell_of(name).as_ref(), Some(cell));
        }
    }
}
