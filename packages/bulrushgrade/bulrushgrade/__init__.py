"""Coordination parts for serving a fixed fleet of model engines."""
