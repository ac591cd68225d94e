"""Stand-ins for the systems around catkinspread, for tests, benches and the demo."""
