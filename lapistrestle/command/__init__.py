"""The commands of the program `lapistrestle`."""
