"""What every host of the module does alike, free of transport."""
