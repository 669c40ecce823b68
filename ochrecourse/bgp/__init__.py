"""A BGP speaker that only announces: service addresses, exactly while their gateway is fit to serve."""
