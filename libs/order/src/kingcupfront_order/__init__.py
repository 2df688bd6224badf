"""Orders to model engines."""
