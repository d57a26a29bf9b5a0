"""Runs the soak's command line."""

from soak.run import app

app()
