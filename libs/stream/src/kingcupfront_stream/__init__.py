"""Token streams from engines to callers."""
