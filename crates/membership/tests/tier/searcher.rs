//! A searcher that counts what runs and what is connected, by true time. It knows nothing
//! of owners and promises.

/// A searcher's limits and what it runs.
#[derive(Debug)]
pub struct Searcher {
    pub slots: u32,
    pub connections: u32,
    /// Its wall clock less the true time.
    pub clock_error: i64,
    running: Vec<Run>,
    pub refused: u64,
}

#[derive(Debug)]
struct Run {
    work: u64,
    end_ms: u64,
    reply_to: usize,
}

/// Something to tell a daemon.
#[derive(Debug, Clone, Copy)]
pub struct Reply {
    pub work: u64,
    pub to: usize,
}

impl Searcher {
    pub fn new(slots: u32, connections: u32, clock_error: i64) -> Searcher {
        Searcher { slots, connections, clock_error, running: Vec::new(), refused: 0 }
    }

    /// Starts work, or refuses it because its deadline has passed by this machine's clock.
    pub fn arrive(
        &mut self,
        work: u64,
        deadline_ms: u64,
        run_ms: u64,
        reply_to: usize,
        now_ms: u64,
    ) -> Option<Reply> {
        let deadline = deadline_ms.saturating_add_signed(-self.clock_error);
        if now_ms >= deadline {
            self.refused += 1;
            return Some(Reply { work, to: reply_to });
        }
        self.running.push(Run { work, end_ms: deadline.min(now_ms + run_ms), reply_to });
        None
    }

    /// Ends work that is done or past its deadline.
    pub fn advance(&mut self, now_ms: u64) -> Vec<Reply> {
        self.running
            .extract_if(.., |run| run.end_ms <= now_ms)
            .map(|run| Reply { work: run.work, to: run.reply_to })
            .collect()
    }

    pub fn busy(&self) -> usize {
        self.running.len()
    }
}
