"""The program that answers clients: it hosts the module and does what that decides."""
