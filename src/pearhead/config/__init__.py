"""Startup files, descriptions of a deployment, and the view that routers hold of it."""
