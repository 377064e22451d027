"""Jobs: their life from submission to answer, and the queue they wait in."""
