"""Checkers of the five rules. They read only the tape recorded at the sockets, never what the program
reports."""
