//! Query decisions: planning, snapshot choice, hedges, retries and coverage.
