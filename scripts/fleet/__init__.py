"""Starts a whole fleet of runshelf on loopback addresses, for the demo and for trials."""
