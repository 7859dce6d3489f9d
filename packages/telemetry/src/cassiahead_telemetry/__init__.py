"""Numbered log events and the stream that carries them."""
