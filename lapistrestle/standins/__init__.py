"""Scripted counterparts: a manual network, runners, package store, roster, clients, and days of trouble."""
