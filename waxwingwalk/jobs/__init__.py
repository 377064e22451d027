"""The lifecycle of jobs, from submission to answer, and their queues."""
