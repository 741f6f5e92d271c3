"""What can go wrong in a day, by kind: how it begins and how it ends. Each may overlap any other."""
