"""Which entry processes are there, and who owns which backend server."""
