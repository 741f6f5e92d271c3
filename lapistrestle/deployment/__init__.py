"""JSON5 files to checked values, then to the plain map that the module is handed."""
