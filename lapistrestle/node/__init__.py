"""The edge with the platform's protocols: FastCGI clients, JSON lines to runners, a binary notice board."""
