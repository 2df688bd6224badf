"""Objects, settings, checks and the configuration in force."""
