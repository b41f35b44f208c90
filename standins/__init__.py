"""Stand-ins for the systems outside the product; for development only."""
