"""Faults against real processes on loopback, judged by the servers' execution records."""
