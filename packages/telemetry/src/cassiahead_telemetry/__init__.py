"""Numbered log events, log handlers, metrics and background tasks."""
