"""Request handling: at-most-once claims, matching of answers, and retries."""
