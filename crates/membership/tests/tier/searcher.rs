//! A model of a searcher that counts the sub-queries that it runs, by true time. It knows nothing
//! of owners and leases.

/// A searcher's limits and the sub-queries that it runs.
#[derive(Debug)]
pub struct Searcher {
    pub slots: u32,
    pub connections: u32,
    /// Its wall clock minus the true time, in milliseconds.
    pub clock_error: i64,
    running: Vec<Run>,
    /// How many sub-queries were refused because their deadlines had passed.
    pub refused: u64,
}

#[derive(Debug)]
struct Run {
    sub_query: u64,
    end_ms: u64,
    reply_to: usize,
}

/// Tells a daemon that a sub-query has ended or was refused.
#[derive(Debug, Clone, Copy)]
pub struct Reply {
    pub sub_query: u64,
    pub to: usize,
}

impl Searcher {
    pub fn new(slots: u32, connections: u32, clock_error: i64) -> Searcher {
        Searcher { slots, connections, clock_error, running: Vec::new(), refused: 0 }
    }

    /// Starts a sub-query, or refuses it if its deadline has passed by this searcher's clock.
    pub fn arrive(
        &mut self,
        sub_query: u64,
        deadline_ms: u64,
        run_ms: u64,
        reply_to: usize,
        now_ms: u64,
    ) -> Option<Reply> {
        let deadline = deadline_ms.saturating_add_signed(-self.clock_error);
        if now_ms >= deadline {
            self.refused += 1;
            return Some(Reply { sub_query, to: reply_to });
        }
        self.running.push(Run { sub_query, end_ms: deadline.min(now_ms + run_ms), reply_to });
        None
    }

    /// Ends the sub-queries that are finished or past their deadlines.
    pub fn advance(&mut self, now_ms: u64) -> Vec<Reply> {
        self.running
            .extract_if(.., |run| run.end_ms <= now_ms)
            .map(|run| Reply { sub_query: run.sub_query, to: run.reply_to })
            .collect()
    }

    pub fn busy(&self) -> usize {
        self.running.len()
    }
}
