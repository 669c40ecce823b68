"""A BGP speaker that only announces routes: service addresses, while their gateway is fit to serve."""
