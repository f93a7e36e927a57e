"""Purge of cached prompt parts (§6): part revisions, their tables and the channels that announce changes."""
