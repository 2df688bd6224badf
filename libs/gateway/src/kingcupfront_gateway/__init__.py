"""The gateway: serves named HTTP routes from crowded targets."""
