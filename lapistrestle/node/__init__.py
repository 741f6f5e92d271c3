"""The platform's protocol as one more way in and out of the edge. No decision is made here."""
