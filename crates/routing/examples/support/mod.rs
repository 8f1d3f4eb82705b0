//! The environment that the examples measure with.

use std::fmt::Write;
use std::sync::Arc;

use tt_model::Environment;

/// An environment with `shards` shards of two replicas each.
pub fn environment(shards: usize) -> Arc<Environment> {
    let mut searchers = String::new();
    let mut list = String::new();
    for i in 0..shards {
        let comma = if i == 0 { "" } else { "," };
        for r in 0..2 {
            let comma = if i + r == 0 { "" } else { "," };
            let (high, low) = (i / 250, i % 250);
            write!(
                searchers,
                r#"{comma}{{"name":"s{i}-{r}","address":"127.{r}.{high}.{low}:80",
                    "domain":"here","slots":2,"connections":25}}"#
            )
            .expect("writing to a string");
        }
        write!(list, r#"{comma}{{"name":"s{i}","replicas":["s{i}-0","s{i}-1"]}}"#)
            .expect("writing to a string");
    }
    let text = format!(
        r#"{{"environment":"example","domains":["here"],
            "classes":[{{"name":"c","prefer":"coverage","deadline_ms":370}}],
            "services":[{{"name":"s","class":"c","shards":["*"],
                "contract":{{"rate":1,"burst":1,"concurrency":1}}}}],
            "searchers":[{searchers}],"shards":[{list}]}}"#
    );
    Arc::new(Environment::parse(&text).unwrap_or_else(|faults| panic!("{faults}")))
}
